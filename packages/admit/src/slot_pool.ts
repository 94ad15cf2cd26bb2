/**
 * Aggregate of one service's targets in one data centre. It admits, queues
 * or refuses, never holds more slots than targets have nor more requests
 * than the cap allows, and picks the target. It owns no sockets and no
 * timers: time comes in with each call, results go out as events.
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

/** A request that asks for a slot. */
export interface PoolRequest {
  id: string;
  member: string;
  lane: Lane;
  /** Time at which waiting for a slot ends, on the pool's clock. */
  waitUntilMillis: number;
  bulkShare: number;
  bulkAfterMillis: number;
  /** Targets that this request must not use (again). */
  avoid?: readonly string[];
  /** Was in flight on a target that crashed; runs beside no other suspect. */
  suspect?: boolean;
}

/** What the pool decided about a request. */
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
  /** Requests that may run at once. */
  capInFlight: number;
  /** Requests that may wait in each lane. */
  queueLimit: number;
  /** Part of the targets that may be set aside at once. */
  maxEjectedShare: number;
}

/** Target of a pool. */
export interface PoolTarget {
  id: string;
  slots: number;
}

/** How a request that held a slot ended. */
export type FinishKind = "success" | "failure" | "refused" | "cancelled";

/** Counts of a pool at one moment. */
export interface PoolStatus {
  slots: number;
  inFlight: number;
  freeSlots: number;
  queued: number;
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

interface Waiting extends PoolRequest {
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

/** After this many interactive grants in a row, waiting bulk gets a turn. */
const interactiveRun = 4;

/** The slot pool of a service in a data centre. */
export class SlotPool {
  readonly #targets = new Map<string, TargetSlots>();
  readonly #queues: Record<Lane, FairQueue<Waiting>>;
  readonly #options: SlotPoolOptions;
  readonly #strategy: TargetStrategy;
  readonly #holders = new Map<string, string>();
  #limits: PoolLimits = { capInFlight: 0, queueLimit: 0, maxEjectedShare: 0 };
  #run = 0;
  #paused = false;

  constructor(options: SlotPoolOptions) {
    this.#options = options;
    this.#strategy = options.strategy ?? { kind: "expected-finish" };
    this.#queues = {
      interactive: new FairQueue(options),
      bulk: new FairQueue(options),
    };
  }

  /** Applies a configuration. Slots in use stay counted until they end. */
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

  /** Records a sign that a target leaves, or no longer does. */
  setDraining(target: string, draining: boolean): void {
    const known = this.#targets.get(target);
    if (known) known.status.draining = draining;
  }

  /** Records whether a target accepts connections. */
  setDown(target: string, down: boolean): void {
    const known = this.#targets.get(target);
    if (known) known.status.down = down;
  }

  /** While paused, requests wait and none is admitted. */
  setPaused(paused: boolean): void {
    this.#paused = paused;
  }

  /** Asks for a slot; the first event is the request's own. */
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

  /** In a full queue the member with most waiting gives way to one with fewer. */
  #makeRoom(queue: FairQueue<Waiting>, member: string): PoolEvent[] | "full" {
    if (queue.size < this.#limits.queueLimit) return [];
    const longest = queue.longest();
    if (
      longest === undefined || queue.sizeOf(longest) <= queue.sizeOf(member) + 1
    ) return "full";
    const evicted = queue.popNewest(longest);
    if (evicted === undefined) return "full";
    return [{ kind: "refused", id: evicted.id, code: this.#refusalCode() }];
  }

  /** Takes one more slot for a hedge, only where one is free at once. */
  offerHedge(request: PoolRequest, nowMillis: number): PoolEvent {
    const waiting = this.#queues.interactive.size > 0;
    const admitted = waiting ? undefined : this.#tryAdmit(
      { ...request, queuedAtMillis: nowMillis },
      nowMillis,
    );
    return admitted ??
      { kind: "refused", id: request.id, code: ResultCode.overloaded };
  }

  /** Ends a request that held a slot, then admits what may go next. */
  finish(
    id: string,
    how: FinishKind,
    options: { durationMillis: number; nowMillis: number },
  ): PoolEvent[] {
    const { nowMillis } = options;
    const target = this.#targets.get(this.#holders.get(id) ?? "");
    this.#holders.delete(id);
    const request = target?.finish(id);
    if (target && request) this.#learn(target, request, { how, ...options });
    if (target && target.slots === 0 && target.inFlight === 0) {
      this.#targets.delete(target.id);
    }
    return this.advance(nowMillis);
  }

  /** Withdraws a request that waits. */
  withdraw(id: string): boolean {
    const removed = [Lane.interactive, Lane.bulk].flatMap((lane) =>
      this.#queues[lane].remove((item) => item.id === id)
    );
    return removed.length > 0;
  }

  /** Refuses what waited too long and admits what may go next. */
  advance(nowMillis: number): PoolEvent[] {
    const events: PoolEvent[] = [];
    for (const lane of [Lane.interactive, Lane.bulk]) {
      const late = this.#queues[lane].remove((item) =>
        item.waitUntilMillis <= nowMillis
      );
      for (const item of late) {
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

  /** Refuses everything that waits; used when ownership moves away. */
  refuseWaiting(code: ResultCodeInfo): PoolEvent[] {
    return [Lane.interactive, Lane.bulk].flatMap((lane) =>
      this.#queues[lane].remove(() => true).map((item): PoolEvent => ({
        kind: "refused",
        id: item.id,
        code,
      }))
    );
  }

  /** Counts at this moment. */
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

  /** Requests that hold a slot, over all targets. */
  get inFlight(): number {
    return this.#holders.size;
  }

  /** Cap in force. */
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

  #tryAdmit(request: Waiting, nowMillis: number): PoolEvent | undefined {
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

  /** Lets waiting bulk in after a run of interactive grants, so it can't starve. */
  #admitNext(nowMillis: number): PoolEvent | undefined {
    const bulkFirst = this.#run >= interactiveRun && this.#queues.bulk.size > 0;
    const order = bulkFirst
      ? [Lane.bulk, Lane.interactive]
      : [Lane.interactive, Lane.bulk];
    for (const lane of order) {
      const next = this.#queues[lane].peek();
      if (next === undefined) continue;
      const admitted = this.#tryAdmit(next, nowMillis);
      if (admitted === undefined) continue;
      this.#queues[lane].pop();
      this.#run = lane === Lane.interactive ? this.#run + 1 : 0;
      return admitted;
    }
    return undefined;
  }

  #learn(
    target: TargetSlots,
    request: { lane: Lane },
    result: { how: FinishKind; durationMillis: number; nowMillis: number },
  ): void {
    switch (result.how) {
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

  /** Sets a target aside, but never more than the allowed part of the pool. */
  #ejectIfAllowed(target: TargetSlots, nowMillis: number): void {
    const all = [...this.#targets.values()].filter((t) => t.slots > 0);
    const aside = all.filter((t) => t.ejectedUntilMillis > nowMillis).length;
    if (aside + 1 <= all.length * this.#limits.maxEjectedShare) {
      target.eject(nowMillis);
    }
  }
}
