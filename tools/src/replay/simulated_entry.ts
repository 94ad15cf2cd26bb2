/**
 * An entry on the fake clock: the gateway's own state, placer and learner,
 * with simulated targets in place of sockets.
 */
import { AttemptRecorder } from "@bamboolane/gateway/attempt_recorder";
import type { GatewayRequest } from "@bamboolane/gateway/gateway_request";
import type { GatewaySettings } from "@bamboolane/gateway/gateway_settings";
import { GatewayState } from "@bamboolane/gateway/gateway_state";
import { RequestPlacer } from "@bamboolane/gateway/request_placer";
import { RoundTripEstimates } from "@bamboolane/gateway/round_trip_estimates";
import type { AttemptEnd } from "@bamboolane/gateway/send_attempt";
import { StateTable } from "@bamboolane/gateway/state_store";
import type { CallerDialect } from "@bamboolane/gateway/caller_dialect";
import { createNoopLogger } from "@bamboolane/logger/create_logger";
import { createNoopMetrics } from "@bamboolane/metrics/create_metrics";
import type { Placement } from "@bamboolane/steering/place_request";
import type {
  EntryRecord,
  StateRow,
} from "@bamboolane/steering/steering_config";
import type { EventQueue } from "./event_queue.ts";
import type { ReplayArm } from "./replay_arm.ts";
import type { SimulatedTarget, TargetEnd } from "./simulated_target.ts";

/** What an entry needs of the replay. */
export interface EntryWorld {
  clock: EventQueue;
  arm: ReplayArm;
  random: () => number;
  targets: ReadonlyMap<string, SimulatedTarget>;
  rows: readonly StateRow[];
  /** One way between regions. Unit: milliseconds. */
  betweenRegionsMillis: number;
  dataCentres: Record<string, string>;
}

/** How a request left the entry. */
export type RequestEnd =
  | { kind: "served" }
  | { kind: "refused"; retryAfterMillis: number }
  | { kind: "failed" };

/** One way inside a region. Unit: milliseconds. */
const insideRegionMillis = 1;
/** How often a waiting line is looked at while nothing else happens. */
const lineTickMillis = 25;
/** A way between regions is that long by default. */
const silentLog = createNoopLogger();

/** One entry. */
export class SimulatedEntry {
  readonly record: EntryRecord;
  readonly #world: EntryWorld;
  #state!: GatewayState;
  #placer!: RequestPlacer;
  #learner!: AttemptRecorder;
  readonly #ends = new Map<GatewayRequest, (end: RequestEnd) => void>();

  constructor(record: EntryRecord, world: EntryWorld) {
    this.record = record;
    this.#world = world;
    this.restart([]);
  }

  get state(): GatewayState {
    return this.#state;
  }

  get placer(): RequestPlacer {
    return this.#placer;
  }

  /** Begins a new life that knows the published rows and the entries only. */
  restart(entries: readonly EntryRecord[]): void {
    const { rows, random, arm, clock } = this.#world;
    const settings = this.#settings();
    const state = new GatewayState(settings, silentLog);
    const nowMillis = clock.nowMillis;
    for (const table of [StateTable.operator, StateTable.targets]) {
      state.applySnapshot(table, rows, { version: rows.length, nowMillis });
    }
    for (const entry of entries) {
      if (entry.id !== this.record.id) state.members.apply(entry.id, entry, 1);
    }
    state.members.isComplete = arm.usesPriorShare;
    const roundTrips = new RoundTripEstimates(settings);
    this.#state = state;
    this.#placer = new RequestPlacer({
      settings,
      state,
      roundTrips,
      random,
      decisions: arm.decisions,
    });
    this.#learner = new AttemptRecorder({
      state,
      dialect: {} as CallerDialect,
      roundTrips,
      log: silentLog,
      metrics: createNoopMetrics(),
    });
  }

  #settings(): GatewaySettings {
    const { id, dataCentre, region } = this.record;
    const listen = {
      callers: "",
      readiness: "",
      directory: "",
      state: "",
      peers: "",
      metrics: "",
    };
    return {
      instance: { id, dataCentre, region },
      listen,
      storeAddress: "",
      seeds: [],
      dataCentres: this.#world.dataCentres,
      graceMillis: 0,
      lookupTtlMillis: 0,
      retryBudget: { ratio: 0, allowance: 0, windowMillis: 10_000 },
      log: { level: "error" },
    };
  }

  /** Own requests in flight by target. */
  inFlight(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const target of this.#state.targets.all()) {
      if (target.ownInFlight > 0) {
        counts.set(target.record.id, target.ownInFlight);
      }
    }
    return counts;
  }

  /** Takes a request as the runner does: refuses, sends, or lets it wait. */
  run(request: GatewayRequest, onEnd: (end: RequestEnd) => void): void {
    const { nowMillis } = this.#world.clock;
    const { queue: line } = this.#placer.serviceState(request.service);
    const placement = this.#placer.place(request, nowMillis);
    const admission = this.#placer.admit(request, placement, nowMillis);
    if (admission.kind === "refuse") {
      return onEnd({
        kind: "refused",
        retryAfterMillis: admission.retryAfterMillis,
      });
    }
    this.#ends.set(request, onEnd);
    if (placement.kind === "send" && line.length === 0) {
      return this.#send(request, placement);
    }
    line.add(request);
    this.#world.clock.after(
      request.expiresAtMillis - nowMillis,
      () => {
        if (line.remove(request)) {
          this.#finish(request, { kind: "refused", retryAfterMillis: 100 });
        }
      },
    );
    this.#drain(request.service);
  }

  #drain(service: string): void {
    const { queue: line } = this.#placer.serviceState(service);
    while (line.length > 0) {
      const { nowMillis } = this.#world.clock;
      const workMillis = this.#state.estimate(service, 0).meanMillis();
      const request = line.take(nowMillis, { workMillis });
      if (request === undefined) return;
      const placement = this.#placer.place(request, nowMillis);
      if (placement.kind !== "send") {
        line.add(request);
        this.#world.clock.after(lineTickMillis, () => this.#drain(service));
        return;
      }
      this.#send(request, placement);
    }
  }

  #send(
    request: GatewayRequest,
    placement: Placement & { kind: "send" },
  ): void {
    const { clock, targets, betweenRegionsMillis } = this.#world;
    const sentAtMillis = clock.nowMillis;
    const { target } = placement;
    const state = this.#state;
    const simulated = targets.get(target.record.id) as SimulatedTarget;
    const wayMillis = simulated.region === this.record.region
      ? insideRegionMillis
      : betweenRegionsMillis;
    const queued = target.inFlight(sentAtMillis) >= target.record.slots;
    this.#placer.serviceState(request.service).departures.add(1, sentAtMillis);
    target.recordSend(request.object, sentAtMillis);
    request.triedTargets.add(target.record.id);
    const onTargetEnd = (end: TargetEnd) => {
      const load = simulated.load;
      clock.after(wayMillis, () => {
        // An entry that restarted meanwhile has lost the request.
        if (state !== this.#state) {
          return this.#finish(request, { kind: "failed" });
        }
        target.recordEnd();
        target.recordLoad(load, clock.nowMillis);
        this.#learner.recordAttempt(request, {
          target,
          placement,
          end: attemptEndOf(end),
          tookMillis: clock.nowMillis - sentAtMillis,
          queuedAtTarget: queued,
          newConnection: false,
          nowMillis: clock.nowMillis,
        });
        this.#conclude(request, end);
        this.#drain(request.service);
      });
    };
    clock.after(wayMillis, () =>
      simulated.take({
        object: request.object ?? "",
        deadlineAtMillis: request.expiresAtMillis,
        onEnd: onTargetEnd,
      }));
  }

  #conclude(request: GatewayRequest, end: TargetEnd): void {
    switch (end.kind) {
      case "done":
        return this.#finish(request, { kind: "served" });
      case "expired":
        return this.#finish(request, { kind: "failed" });
      case "refused":
        return this.#finish(request, {
          kind: "refused",
          retryAfterMillis: this.#placer.estimate(request).meanMillis(),
        });
    }
  }

  #finish(request: GatewayRequest, end: RequestEnd): void {
    const onEnd = this.#ends.get(request);
    this.#ends.delete(request);
    onEnd?.(end);
  }
}

function attemptEndOf(end: TargetEnd): AttemptEnd {
  switch (end.kind) {
    case "done":
      return {
        kind: "answered",
        answer: { status: 200, headers: [], body: Buffer.alloc(0) },
        closesConnection: false,
      };
    case "expired":
      return {
        kind: "answered",
        answer: { status: 504, headers: [], body: Buffer.alloc(0) },
        closesConnection: false,
      };
    case "refused":
      return { kind: "not-run", status: 503, closesConnection: false };
  }
}
