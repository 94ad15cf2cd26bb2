/**
 * Slots of one target: its running requests, its latency, and the slots that
 * are free.
 */
import { Lane } from "@bamboolane/types/fleet";
import { LatencyAverage } from "@bamboolane/route/latency_average";
import type { TargetView } from "@bamboolane/route/choose_target";

/** A request that holds a slot. */
export interface RunningRequest {
  id: string;
  member: string;
  lane: Lane;
  startedAtMillis: number;
  /** Running time above which an interactive request counts as bulk. */
  bulkAfterMillis: number;
  suspect: boolean;
}

/** State of a target that is determined outside the pool. */
export interface TargetStatus {
  /** The target is draining, by configuration or by its own signal. */
  draining: boolean;
  /** The target refuses connections. */
  down: boolean;
}

/** Consecutive failures after which a target is ejected. */
const FAILURES_TO_EJECT = 5;
/** How long a target stays ejected. */
const EJECTION_MILLIS = 3000;

/** State of one target inside a pool. */
export class TargetSlots {
  readonly id: string;
  slots: number;
  status: TargetStatus = { draining: false, down: false };
  readonly #running = new Map<string, RunningRequest>();
  readonly #latency = new LatencyAverage();
  #consecutiveFailures = 0;
  #ejectedUntilMillis = 0;

  constructor(id: string, slots: number) {
    this.id = id;
    this.slots = slots;
  }

  get inFlight(): number {
    return this.#running.size;
  }

  get ejectedUntilMillis(): number {
    return this.#ejectedUntilMillis;
  }

  /** Slots held by bulk requests, including interactive ones that exceed `bulkAfterMillis`. */
  bulkInFlight(nowMillis: number): number {
    let count = 0;
    for (const request of this.#running.values()) {
      const exceedsLimit =
        nowMillis - request.startedAtMillis > request.bulkAfterMillis;
      if (request.lane === Lane.bulk || exceedsLimit) count++;
    }
    return count;
  }

  runsSuspect(): boolean {
    return [...this.#running.values()].some((request) => request.suspect);
  }

  start(request: RunningRequest): void {
    this.#running.set(request.id, request);
  }

  /** Finishes a request; returns undefined if it held no slot here. */
  finish(id: string): RunningRequest | undefined {
    const request = this.#running.get(id);
    this.#running.delete(id);
    return request;
  }

  observe(durationMillis: number, nowMillis: number): void {
    this.#latency.observe(durationMillis, nowMillis);
  }

  recordSuccess(): void {
    this.#consecutiveFailures = 0;
  }

  /** Counts a failure. Returns true if the target should be ejected. */
  recordFailure(): boolean {
    this.#consecutiveFailures++;
    return this.#consecutiveFailures >= FAILURES_TO_EJECT;
  }

  eject(nowMillis: number): void {
    this.#ejectedUntilMillis = nowMillis + EJECTION_MILLIS;
    this.#consecutiveFailures = 0;
  }

  /**
   * Expected latency of a new request: the average, or the elapsed time of the
   * longest-running interactive request if that is higher. Unit: milliseconds.
   */
  expectedMillis(nowMillis: number): number {
    let expectedLatencyMillis = this.#latency.read();
    for (const request of this.#running.values()) {
      const elapsedMillis = nowMillis - request.startedAtMillis;
      if (
        request.lane === Lane.interactive &&
        elapsedMillis > expectedLatencyMillis
      ) {
        expectedLatencyMillis = elapsedMillis;
      }
    }
    return expectedLatencyMillis;
  }

  /** Number of slots that a request of `lane` may take now. */
  freeFor(
    lane: Lane,
    options: { bulkShare: number; nowMillis: number },
  ): number {
    if (this.status.draining || this.status.down) return 0;
    const free = Math.max(0, this.slots - this.inFlight);
    if (lane === Lane.interactive) return free;
    const bulkSlots = Math.floor(this.slots * options.bulkShare);
    return Math.min(
      free,
      Math.max(0, bulkSlots - this.bulkInFlight(options.nowMillis)),
    );
  }

  /** State of the target as seen by a request of `lane`. */
  view(
    lane: Lane,
    options: { bulkShare: number; nowMillis: number },
  ): TargetView {
    return {
      id: this.id,
      slots: this.slots,
      inFlight: this.inFlight,
      free: this.freeFor(lane, options),
      latencyMillis: this.expectedMillis(options.nowMillis),
      ejected: this.#ejectedUntilMillis > options.nowMillis,
    };
  }
}
