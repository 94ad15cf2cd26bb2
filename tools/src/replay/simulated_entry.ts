/**
 * An entry on the simulated clock. Uses the gateway's state, request placer and
 * attempt recorder, with simulated targets in place of sockets.
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

/** Clock, targets and options that the entries of a replay share. */
export interface SimulationContext {
  clock: EventQueue;
  arm: ReplayArm;
  random: () => number;
  targets: ReadonlyMap<string, SimulatedTarget>;
  rows: readonly StateRow[];
  /** One-way latency between regions. */
  interRegionMillis: number;
  /** Region of each data centre. */
  dataCentres: Record<string, string>;
}

/** How a request ended at the entry. */
export type RequestEnd =
  | { kind: "served" }
  | { kind: "refused"; retryAfterMillis: number }
  | { kind: "failed" };

/** One-way latency inside a region. */
const INTRA_REGION_MILLIS = 1;
/** Interval at which queued requests are placed again while no attempt ends. */
const QUEUE_POLL_MILLIS = 25;
const noopLog = createNoopLogger();

/** A simulated entry. */
export class SimulatedEntry {
  readonly record: EntryRecord;
  readonly #context: SimulationContext;
  #state!: GatewayState;
  #placer!: RequestPlacer;
  #recorder!: AttemptRecorder;
  readonly #ends = new Map<GatewayRequest, (end: RequestEnd) => void>();

  constructor(record: EntryRecord, context: SimulationContext) {
    this.record = record;
    this.#context = context;
    this.restart([]);
  }

  get state(): GatewayState {
    return this.#state;
  }

  get placer(): RequestPlacer {
    return this.#placer;
  }

  /** Starts anew with only the published rows and the records of the entries. */
  restart(entries: readonly EntryRecord[]): void {
    const { rows, random, arm, clock } = this.#context;
    const settings = this.#settings();
    const state = new GatewayState(settings, noopLog);
    const nowMillis = clock.nowMillis;
    for (const table of [StateTable.operator, StateTable.targets]) {
      state.applySnapshot(table, rows, { version: rows.length, nowMillis });
    }
    for (const entry of entries) {
      if (entry.id !== this.record.id) state.members.apply(entry.id, entry, 1);
    }
    // Without a complete list the initial remote share isn't estimated.
    state.members.isComplete = arm.usesInitialRemoteShare;
    const roundTrips = new RoundTripEstimates(settings);
    this.#state = state;
    this.#placer = new RequestPlacer({
      settings,
      state,
      roundTrips,
      random,
      decisions: arm.decisions,
    });
    this.#recorder = new AttemptRecorder({
      state,
      dialect: {} as CallerDialect,
      roundTrips,
      log: noopLog,
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
      dataCentres: this.#context.dataCentres,
      graceMillis: 0,
      lookupTtlMillis: 0,
      retryBudget: { ratio: 0, allowance: 0, windowMillis: 10_000 },
      log: { level: "error" },
    };
  }

  /** This entry's requests in flight, by target. */
  inFlight(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const target of this.#state.targets.all()) {
      if (target.ownInFlight > 0) {
        counts.set(target.record.id, target.ownInFlight);
      }
    }
    return counts;
  }

  /** Handles a request as the gateway does: refuses, sends or queues it. */
  run(request: GatewayRequest, onEnd: (end: RequestEnd) => void): void {
    const { nowMillis } = this.#context.clock;
    const { queue } = this.#placer.serviceState(request.service);
    const placement = this.#placer.place(request, nowMillis);
    const admission = this.#placer.admit(request, placement, nowMillis);
    if (admission.kind === "refuse") {
      return onEnd({
        kind: "refused",
        retryAfterMillis: admission.retryAfterMillis,
      });
    }
    this.#ends.set(request, onEnd);
    if (placement.kind === "send" && queue.length === 0) {
      return this.#send(request, placement);
    }
    queue.add(request);
    this.#context.clock.after(
      request.expiresAtMillis - nowMillis,
      () => {
        if (queue.remove(request)) {
          this.#finish(request, { kind: "refused", retryAfterMillis: 100 });
        }
      },
    );
    this.#sendWaiting(request.service);
  }

  #sendWaiting(service: string): void {
    const { queue } = this.#placer.serviceState(service);
    while (queue.length > 0) {
      const { nowMillis } = this.#context.clock;
      const workMillis = this.#state.estimate(service, Infinity).meanMillis();
      const request = queue.take(nowMillis, { workMillis });
      if (request === undefined) return;
      const placement = this.#placer.place(request, nowMillis);
      if (placement.kind !== "send") {
        queue.add(request);
        this.#context.clock.after(
          QUEUE_POLL_MILLIS,
          () => this.#sendWaiting(service),
        );
        return;
      }
      this.#send(request, placement);
    }
  }

  #send(
    request: GatewayRequest,
    placement: Placement & { kind: "send" },
  ): void {
    const { clock, targets, interRegionMillis } = this.#context;
    const sentAtMillis = clock.nowMillis;
    const { target } = placement;
    const state = this.#state;
    const simulatedTarget = targets.get(target.record.id) as SimulatedTarget;
    const latencyMillis = simulatedTarget.region === this.record.region
      ? INTRA_REGION_MILLIS
      : interRegionMillis;
    const slotsBusy = target.inFlight(sentAtMillis) >= target.record.slots;
    this.#placer.serviceState(request.service).departures.add(1, sentAtMillis);
    target.recordSend(request.object, sentAtMillis);
    request.triedTargets.add(target.record.id);
    const onTargetEnd = (end: TargetEnd) => {
      const load = simulatedTarget.load;
      clock.after(latencyMillis, () => {
        // The request is lost if the entry restarted in the meantime.
        if (state !== this.#state) {
          return this.#finish(request, { kind: "failed" });
        }
        target.recordEnd();
        target.recordLoad(load, clock.nowMillis);
        this.#recorder.recordAttempt(request, {
          target,
          placement,
          end: toAttemptEnd(end),
          tookMillis: clock.nowMillis - sentAtMillis,
          queuedAtTarget: slotsBusy,
          newConnection: false,
          nowMillis: clock.nowMillis,
        });
        this.#completeAttempt(request, end);
        this.#sendWaiting(request.service);
      });
    };
    clock.after(latencyMillis, () =>
      simulatedTarget.submit({
        object: request.object ?? "",
        deadlineAtMillis: request.expiresAtMillis,
        onEnd: onTargetEnd,
      }));
  }

  #completeAttempt(request: GatewayRequest, end: TargetEnd): void {
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

function toAttemptEnd(end: TargetEnd): AttemptEnd {
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
