/**
 * Slot pool of one service's targets in one data centre. It admits, queues or
 * refuses requests and picks the target. It never uses more slots than a target
 * has and never admits more requests than the cap allows. It has no sockets and
 * no timers: the time is passed to each call, and results are returned as
 * events.
 */
import { Lane } from "@bamboolane/types/fleet";
import {
  ResultCode,
  type ResultCodeInfo,
} from "@bamboolane/errors/result_code";
import {
  chooseTarget,
  type Random,
  type TargetStrategy,
} from "@bamboolane/route/choose_target";
import { FairQueue } from "./fair_queue.ts";
import { TargetSlots } from "./target_slots.ts";

/** A request for a slot. */
export interface PoolRequest {
  id: string;
  member: string;
  lane: Lane;
  /** Latest time to wait for a slot, on the pool's clock. */
  waitUntilMillis: number;
  /** Share of a target's slots that bulk requests may hold. */
  bulkShare: number;
  /** Running time above which an interactive request counts as bulk. */
  bulkAfterMillis: number;
  /** Ids of targets that this request must not use, such as those already tried. */
  avoid?: readonly string[];
  /** Was in flight on a target that crashed; never runs beside another suspect on a target. */
  suspect?: boolean;
}

/** Decision of the pool about a request. */
export type PoolEvent =
  | {
    kind: "admitted";
    id: string;
    target: string;
    reason: string;
    waitedMillis: number;
  }
  | { kind: "queued"; id: string; position: number }
  | { kind: "refused"; id: string; code: ResultCodeInfo };

/** Limits of a pool. */
export interface PoolLimits {
  /** Maximum number of requests that run at once. */
  capInFlight: number;
  /** Maximum number of requests that wait in each lane. */
  queueLimit: number;
  /** Maximum share of the targets that may be ejected at once. */
  maxEjectedShare: number;
}

/** A target of a pool. */
export interface PoolTarget {
  id: string;
  slots: number;
}

/** How a request that held a slot ended. */
export type FinishKind = "success" | "failure" | "refused" | "cancelled";

/** State of a pool at a point in time. */
export interface PoolStatus {
  /** Slots of the targets that are neither draining nor down. */
  slots: number;
  inFlight: number;
  /** Free slots among `slots`, limited by what the cap still allows. */
  freeSlots: number;
  queued: number;
  /** Median expected latency of the same targets; 0 if none is known. */
  typicalMillis: number;
  targets: {
    id: string;
    slots: number;
    inFlight: number;
    latencyMillis: number;
    draining: boolean;
    down: boolean;
    ejected: boolean;
  }[];
}

interface WaitingRequest extends PoolRequest {
  queuedAtMillis: number;
}

/** Options of {@link SlotPool}. */
export interface SlotPoolOptions {
  random: Random;
  weightOf: (member: string) => number;
  strategy?: TargetStrategy;
  /** One queue for all lanes; kept as a baseline for the `hol` bench. */
  singleQueue?: boolean;
}

/** After this many interactive admissions in a row, a waiting bulk request is tried first. */
const MAX_CONSECUTIVE_INTERACTIVE = 4;

/** Slot pool of a service in a data centre. */
export class SlotPool {
  readonly #targets = new Map<string, TargetSlots>();
  readonly #queues: Record<Lane, FairQueue<WaitingRequest>>;
  readonly #options: SlotPoolOptions;
  readonly #strategy: TargetStrategy;
  readonly #holders = new Map<string, string>();
  #limits: PoolLimits = { capInFlight: 0, queueLimit: 0, maxEjectedShare: 0 };
  #consecutiveInteractive = 0;
  #paused = false;

  constructor(options: SlotPoolOptions) {
    this.#options = options;
    this.#strategy = options.strategy ?? { kind: "expected-finish" };
    this.#queues = {
      interactive: new FairQueue(options),
      bulk: new FairQueue(options),
    };
  }

  /** Applies a configuration. Slots in use stay counted until their requests finish. */
  configure(targets: readonly PoolTarget[], limits: PoolLimits): void {
    this.#limits = limits;
    const wanted = new Set(targets.map((target) => target.id));
    for (const target of targets) {
      const known = this.#targets.get(target.id);
      if (known) known.slots = target.slots;
      else {this.#targets.set(
          target.id,
          new TargetSlots(target.id, target.slots),
        );}
    }
    for (const [id, target] of this.#targets) {
      if (wanted.has(id)) continue;
      target.slots = 0;
      if (target.inFlight === 0) this.#targets.delete(id);
    }
  }

  /** Records whether a target is draining. */
  setDraining(target: string, draining: boolean): void {
    const known = this.#targets.get(target);
    if (known) known.status.draining = draining;
  }

  /** Records whether a target is down, that is, refuses connections. */
  setDown(target: string, down: boolean): void {
    const known = this.#targets.get(target);
    if (known) known.status.down = down;
  }

  /** While the pool is paused, requests wait and none is admitted. */
  setPaused(paused: boolean): void {
    this.#paused = paused;
  }

  /**
   * Requests a slot. The first event concerns this request, further ones
   * concern evicted requests.
   */
  offer(request: PoolRequest, nowMillis: number): PoolEvent[] {
    const { id } = request;
    const queue = this.#queues[this.#queueLane(request.lane)];
    const usable = this.#usableTargets().some((t) =>
      !request.avoid?.includes(t.id)
    );
    if (!usable) return [{ kind: "refused", id, code: ResultCode.noTarget }];
    if (queue.size === 0) {
      const admitted = this.#tryAdmit(
        { ...request, queuedAtMillis: nowMillis },
        nowMillis,
      );
      if (admitted) {
        queue.chargeDirect(request.member);
        return [admitted];
      }
    }
    if (request.waitUntilMillis <= nowMillis) {
      return [{ kind: "refused", id, code: this.#refusalCode() }];
    }
    const evicted = this.#makeRoom(queue, request.member);
    if (evicted === "full") {
      return [{ kind: "refused", id, code: this.#refusalCode() }];
    }
    queue.push({ ...request, queuedAtMillis: nowMillis });
    return [{ kind: "queued", id, position: queue.size }, ...evicted];
  }

  /**
   * Makes room in a full queue for a member with few waiting requests: evicts
   * the newest request of the member that has the most requests waiting.
   * Returns "full" if that member has at most one more waiting than `member`.
   */
  #makeRoom(
    queue: FairQueue<WaitingRequest>,
    member: string,
  ): PoolEvent[] | "full" {
    if (queue.size < this.#limits.queueLimit) return [];
    const memberWithMostWaiting = queue.longestMember();
    if (
      memberWithMostWaiting === undefined ||
      queue.sizeOf(memberWithMostWaiting) <= queue.sizeOf(member) + 1
    ) return "full";
    const evicted = queue.popNewest(memberWithMostWaiting);
    if (evicted === undefined) return "full";
    return [{ kind: "refused", id: evicted.id, code: this.#refusalCode() }];
  }

  /**
   * Requests another slot for a hedge; refuses unless one is free immediately
   * and no interactive request is waiting.
   */
  offerHedge(request: PoolRequest, nowMillis: number): PoolEvent {
    const waiting = this.#queues.interactive.size > 0;
    const admitted = waiting ? undefined : this.#tryAdmit(
      { ...request, queuedAtMillis: nowMillis },
      nowMillis,
    );
    return admitted ??
      { kind: "refused", id: request.id, code: ResultCode.overloaded };
  }

  /**
   * Releases the slot of a request and records how it ended, for the target's
   * latency and ejection. Then admits waiting requests.
   */
  finish(
    id: string,
    kind: FinishKind,
    options: { durationMillis: number; nowMillis: number },
  ): PoolEvent[] {
    const { nowMillis } = options;
    const target = this.#targets.get(this.#holders.get(id) ?? "");
    this.#holders.delete(id);
    const request = target?.finish(id);
    if (target && request) this.#record(target, request, { kind, ...options });
    if (target && target.slots === 0 && target.inFlight === 0) {
      this.#targets.delete(target.id);
    }
    return this.advance(nowMillis);
  }

  /** Removes a waiting request; returns false if it was not waiting. */
  withdraw(id: string): boolean {
    const removed = [Lane.interactive, Lane.bulk].flatMap((lane) =>
      this.#queues[lane].remove((item) => item.id === id)
    );
    return removed.length > 0;
  }

  /** Refuses requests that waited too long, then admits waiting requests. */
  advance(nowMillis: number): PoolEvent[] {
    const events: PoolEvent[] = [];
    for (const lane of [Lane.interactive, Lane.bulk]) {
      const timedOut = this.#queues[lane].remove((item) =>
        item.waitUntilMillis <= nowMillis
      );
      for (const item of timedOut) {
        events.push({
          kind: "refused",
          id: item.id,
          code: ResultCode.queueTimeout,
        });
      }
    }
    for (;;) {
      const admitted = this.#admitNext(nowMillis);
      if (admitted === undefined) return events;
      events.push(admitted);
    }
  }

  /** Refuses all waiting requests, when another instance takes over the pool. */
  refuseWaiting(code: ResultCodeInfo): PoolEvent[] {
    return [Lane.interactive, Lane.bulk].flatMap((lane) =>
      this.#queues[lane].remove(() => true).map((item): PoolEvent => ({
        kind: "refused",
        id: item.id,
        code,
      }))
    );
  }

  /** Returns the current state. */
  status(nowMillis: number): PoolStatus {
    const targets = [...this.#targets.values()].map((target) => ({
      id: target.id,
      slots: target.slots,
      inFlight: target.inFlight,
      latencyMillis: target.expectedMillis(nowMillis),
      draining: target.status.draining,
      down: target.status.down,
      ejected: target.ejectedUntilMillis > nowMillis,
    }));
    const usable = targets.filter((t) => !t.draining && !t.down);
    const slots = usable.reduce((sum, t) => sum + t.slots, 0);
    const free = usable.reduce(
      (sum, t) => sum + Math.max(0, t.slots - t.inFlight),
      0,
    );
    const inFlight = this.#holders.size;
    const latencies = usable.map((t) => t.latencyMillis).filter((v) => v > 0);
    const room = Math.max(0, this.#limits.capInFlight - inFlight);
    return {
      slots,
      inFlight,
      freeSlots: Math.min(free, room),
      queued: this.#queues.interactive.size + this.#queues.bulk.size,
      typicalMillis:
        latencies.sort((a, b) => a - b)[Math.floor(latencies.length / 2)] ?? 0,
      targets,
    };
  }

  /** Number of requests that hold a slot, over all targets. */
  get inFlight(): number {
    return this.#holders.size;
  }

  /** Cap on running requests, as configured last. */
  get capInFlight(): number {
    return this.#limits.capInFlight;
  }

  #queueLane(lane: Lane): Lane {
    return this.#options.singleQueue ? Lane.interactive : lane;
  }

  #usableTargets(): TargetSlots[] {
    return [...this.#targets.values()].filter((t) =>
      t.slots > 0 && !t.status.draining && !t.status.down
    );
  }

  #refusalCode(): ResultCodeInfo {
    const atCap = this.#holders.size >= this.#limits.capInFlight;
    return atCap ? ResultCode.capReached : ResultCode.overloaded;
  }

  #tryAdmit(request: WaitingRequest, nowMillis: number): PoolEvent | undefined {
    if (this.#paused || this.#holders.size >= this.#limits.capInFlight) {
      return undefined;
    }
    const bulkShare = this.#options.singleQueue ? 1 : request.bulkShare;
    const lane = this.#queueLane(request.lane);
    const views = [...this.#targets.values()]
      .filter((t) => t.slots > 0 && !request.avoid?.includes(t.id))
      .filter((t) => !request.suspect || !t.runsSuspect())
      .map((t) => t.view(lane, { bulkShare, nowMillis }));
    const choice = chooseTarget(this.#strategy, views, this.#options.random);
    if (choice.kind !== "target") return undefined;
    const target = this.#targets.get(choice.id) as TargetSlots;
    target.start({
      id: request.id,
      member: request.member,
      lane: request.lane,
      startedAtMillis: nowMillis,
      bulkAfterMillis: request.bulkAfterMillis,
      suspect: request.suspect ?? false,
    });
    this.#holders.set(request.id, target.id);
    const waitedMillis = nowMillis - request.queuedAtMillis;
    return {
      kind: "admitted",
      id: request.id,
      target: choice.id,
      reason: choice.reason,
      waitedMillis,
    };
  }

  /**
   * Admits the next request. Bulk is tried first after consecutive interactive
   * admissions, so that it can't starve.
   */
  #admitNext(nowMillis: number): PoolEvent | undefined {
    const bulkFirst =
      this.#consecutiveInteractive >= MAX_CONSECUTIVE_INTERACTIVE &&
      this.#queues.bulk.size > 0;
    const order = bulkFirst
      ? [Lane.bulk, Lane.interactive]
      : [Lane.interactive, Lane.bulk];
    for (const lane of order) {
      const next = this.#queues[lane].peek();
      if (next === undefined) continue;
      const admitted = this.#tryAdmit(next, nowMillis);
      if (admitted === undefined) continue;
      this.#queues[lane].pop();
      this.#consecutiveInteractive = lane === Lane.interactive
        ? this.#consecutiveInteractive + 1
        : 0;
      return admitted;
    }
    return undefined;
  }

  #record(
    target: TargetSlots,
    request: { lane: Lane },
    result: { kind: FinishKind; durationMillis: number; nowMillis: number },
  ): void {
    switch (result.kind) {
      case "success":
        target.recordSuccess();
        if (request.lane === Lane.interactive) {
          target.observe(result.durationMillis, result.nowMillis);
        }
        return;
      case "failure":
        if (target.recordFailure()) {
          this.#ejectIfAllowed(target, result.nowMillis);
        }
        return;
      case "cancelled":
        if (
          request.lane === Lane.interactive &&
          result.durationMillis > target.expectedMillis(result.nowMillis)
        ) {
          target.observe(result.durationMillis, result.nowMillis);
        }
        return;
      case "refused":
        return;
    }
  }

  /** Ejects a target unless the maximum share of the pool is ejected already. */
  #ejectIfAllowed(target: TargetSlots, nowMillis: number): void {
    const all = [...this.#targets.values()].filter((t) => t.slots > 0);
    const ejectedCount =
      all.filter((t) => t.ejectedUntilMillis > nowMillis).length;
    if (ejectedCount + 1 <= all.length * this.#limits.maxEjectedShare) {
      target.eject(nowMillis);
    }
  }
}
