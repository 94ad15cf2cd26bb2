/**
 * The slots of one target: what runs there, how fast it is, and whether it
 * may take more.
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
  /** Latency under which a request of its route counts as usual. */
  bulkAfterMillis: number;
  suspect: boolean;
}

/** Facts about a target that come from outside the pool. */
export interface TargetStatus {
  /** A first sign says that the target leaves. */
  draining: boolean;
  /** The target accepts no connection. */
  down: boolean;
}

/** Consecutive failures after which a target is set aside. */
const failuresToEject = 5;
/** Unit: milliseconds. */
const ejectionMillis = 3000;

/** State of one target inside a pool. */
export class TargetSlots {
  readonly id: string;
  slots: number;
  status: TargetStatus = { draining: false, down: false };
  readonly #running = new Map<string, RunningRequest>();
  readonly #latency = new LatencyAverage();
  #failures = 0;
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

  /** Slots held by bulk, counting interactive requests that overstay. */
  bulkInFlight(nowMillis: number): number {
    let count = 0;
    for (const request of this.#running.values()) {
      const overstays =
        nowMillis - request.startedAtMillis > request.bulkAfterMillis;
      if (request.lane === Lane.bulk || overstays) count++;
    }
    return count;
  }

  runsSuspect(): boolean {
    return [...this.#running.values()].some((request) => request.suspect);
  }

  start(request: RunningRequest): void {
    this.#running.set(request.id, request);
  }

  /** Ends a request; undefined where it held no slot here. */
  finish(id: string): RunningRequest | undefined {
    const request = this.#running.get(id);
    this.#running.delete(id);
    return request;
  }

  observe(durationMillis: number, nowMillis: number): void {
    this.#latency.observe(durationMillis, nowMillis);
  }

  recordSuccess(): void {
    this.#failures = 0;
  }

  /** Counts a failure. True when the target should be set aside. */
  recordFailure(): boolean {
    this.#failures++;
    return this.#failures >= failuresToEject;
  }

  eject(nowMillis: number): void {
    this.#ejectedUntilMillis = nowMillis + ejectionMillis;
    this.#failures = 0;
  }

  /** Latency that a new request should expect. Unit: milliseconds. */
  expectedMillis(nowMillis: number): number {
    let expected = this.#latency.read();
    for (const request of this.#running.values()) {
      const elapsed = nowMillis - request.startedAtMillis;
      if (request.lane === Lane.interactive && elapsed > expected) {
        expected = elapsed;
      }
    }
    return expected;
  }

  /** Slots that a request of `lane` may take now. */
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
