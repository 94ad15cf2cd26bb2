/**
 * Takes requests to targets: places them, lets them wait, repeats what may be
 * repeated, and answers each exactly once. Decisions come from the steering
 * package; this task owns the connections and the lines.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import {
  type Admission,
  admitRequest,
  expectedWaitMillis,
} from "@bamboolane/steering/admit_request";
import { findHomes, type ObjectHomes } from "@bamboolane/steering/object_homes";
import { RegionShare } from "@bamboolane/steering/region_share";
import {
  type Placement,
  placeRequest,
} from "@bamboolane/steering/place_request";
import { Repeat } from "@bamboolane/steering/steering_config";
import {
  AttemptResult,
  type TargetBelief,
} from "@bamboolane/steering/target_belief";
import { WaitLine } from "@bamboolane/steering/wait_line";
import { WindowCounter } from "@bamboolane/steering/window_counter";
import type { CallerDialect } from "./caller_dialect.ts";
import type { GatewayRequest, OwnAnswer } from "./gateway_request.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { GatewayState } from "./gateway_state.ts";
import { RoundTrips } from "./round_trips.ts";
import { type AttemptEnd, sendAttempt } from "./send_attempt.ts";
import { isAddressClosed, TargetConnections } from "./target_connections.ts";

/** Options of {@link RequestRunner}. */
export interface RunnerOptions {
  settings: GatewaySettings;
  dialect: CallerDialect;
  state: GatewayState;
  log: EventLog;
  metrics: Metrics;
  random: () => number;
}

/** Window over which the flow out of a line is measured. */
const flowWindowMillis = 2000;
/** How often lines are looked at while nothing else happens: pauses end, cold meters fill. */
const lineTickMillis = 25;
/** Least time left for a repeat to make sense. */
const leastRepeatMillis = 30;
/** When a caller is asked back where no target is usable. */
const noTargetRetryMillis = 500;
/** Slack below which the target's deadline isn't worth a send. */
const leastSendMillis = 5;

interface Lane {
  line: WaitLine<GatewayRequest>;
  flow: WindowCounter;
  share: RegionShare;
}

const noHomes: ObjectHomes = { first: undefined, second: undefined };

/** Runs the requests of one entry. */
export class RequestRunner {
  readonly #options: RunnerOptions;
  readonly #lanes = new Map<string, Lane>();
  readonly #connections = new Map<string, TargetConnections>();
  readonly #roundTrips: RoundTrips;
  readonly #ticker: NodeJS.Timeout;
  #inFlight = 0;

  constructor(options: RunnerOptions) {
    this.#options = options;
    this.#roundTrips = new RoundTrips(options.settings);
    this.#ticker = setInterval(() => this.drainAll(), lineTickMillis);
    options.state.onChange = () => this.drainAll();
  }

  /** Requests held: waiting or at a target. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Own requests in flight by target, for the other entries. */
  inFlightByTarget(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const target of this.#options.state.targets.all()) {
      if (target.ownInFlight > 0) counts[target.record.id] = target.ownInFlight;
    }
    return counts;
  }

  /** Takes a request; its sink gets exactly one answer unless it is cancelled. */
  run(request: GatewayRequest): void {
    const nowMillis = performance.now();
    this.#inFlight++;
    this.#options.state.budget(request.service).noteRequest(nowMillis);
    request.timer = setTimeout(
      () => this.#expire(request),
      Math.max(0, request.expiresAtMillis - nowMillis),
    );
    this.#start(request, nowMillis);
  }

  /** The caller went away: nothing more is sent, and the target is told. */
  cancel(request: GatewayRequest): void {
    if (request.done) return;
    this.#options.log.info("cancelled", {
      request: request.id,
      route: request.route.name,
      heldMillis: Math.round(performance.now() - request.arrivedAtMillis),
      sends: request.sends,
    });
    this.#close(request);
    this.#lane(request.service).line.remove(request);
    request.abort?.("caller left");
    this.#drain(request.service);
  }

  drainAll(): void {
    for (const [service, lane] of this.#lanes) {
      if (lane.line.length > 0) this.#drain(service);
    }
  }

  /** Closes connections to targets that are gone; called now and then. */
  tidy(): void {
    const used = new Set<string>();
    for (const target of this.#options.state.targets.all()) {
      used.add(target.record.address);
    }
    for (const [address, connections] of this.#connections) {
      if (used.has(address)) continue;
      connections.closeIdle();
      if (connections.open === 0) this.#connections.delete(address);
    }
  }

  stop(): void {
    clearInterval(this.#ticker);
    for (const connections of this.#connections.values()) {
      connections.closeIdle();
    }
  }

  #lane(service: string): Lane {
    let lane = this.#lanes.get(service);
    if (lane === undefined) {
      lane = {
        line: new WaitLine(),
        flow: new WindowCounter(flowWindowMillis),
        share: new RegionShare(),
      };
      this.#lanes.set(service, lane);
    }
    return lane;
  }

  #place(request: GatewayRequest, nowMillis: number): Placement {
    const { state } = this.#options;
    const { allowedRegions } = request.route;
    const targets = state.targets.ofService(request.service);
    for (const target of targets) {
      target.notePeers(state.members.inFlightAt(target.record.id, nowMillis));
    }
    const isAllowed = (target: TargetBelief) =>
      !state.isEvacuated(target.record.dataCentre) &&
      (allowedRegions.length === 0 ||
        allowedRegions.includes(state.region(target)));
    const farWeight = this.#farWeight(request.service, targets, nowMillis);
    const weightOf = (target: TargetBelief) => {
      if (target.isLeaving() || !isAllowed(target)) return 0;
      return target.record.slots * (this.#isNear(target) ? 1 : farWeight);
    };
    return placeRequest(targets, {
      object: request.object,
      nowMillis,
      estimate: this.#estimate(request),
      load: this.#lane(request.service).share.load,
      objectiveLeftMillis: request.objectiveAtMillis - nowMillis,
      roundTripMillis: (target) => this.#roundTrips.read(target),
      homes: request.object === undefined
        ? noHomes
        : findHomes(request.object, targets, weightOf),
      isAllowed,
      coldPerSecond: (target) => state.coldPerSecond(target),
      exclude: request.tried,
    });
  }

  #isNear(target: TargetBelief): boolean {
    const { settings, state } = this.#options;
    return state.region(target) === settings.instance.region;
  }

  /** Weight of slots in other regions for the homes of a service's objects. */
  #farWeight(
    service: string,
    targets: readonly TargetBelief[],
    nowMillis: number,
  ): number {
    const near = { inFlight: 0, slots: 0 };
    const far = { inFlight: 0, slots: 0 };
    for (const target of targets) {
      if (target.isLeaving()) continue;
      if (this.#options.state.isEvacuated(target.record.dataCentre)) continue;
      const side = this.#isNear(target) ? near : far;
      side.slots += target.record.slots;
      side.inFlight += target.inFlight(nowMillis);
    }
    const { share } = this.#lane(service);
    share.update(near, far, nowMillis);
    return share.farWeight(near, far);
  }

  #estimate(request: GatewayRequest) {
    return this.#options.state.estimate(
      request.service,
      request.route.objectiveMillis,
    );
  }

  #start(request: GatewayRequest, nowMillis: number): void {
    const { line } = this.#lane(request.service);
    const placement = this.#place(request, nowMillis);
    const admission = this.#admit(request, placement, nowMillis);
    if (admission.kind === "refuse") {
      return this.#refuse(request, {
        reason: placement.kind,
        retryAfterMillis: admission.retryAfterMillis,
        ahead: line.length,
      });
    }
    if (placement.kind === "send" && line.length === 0) {
      return this.#send(request, placement, nowMillis);
    }
    line.add(request);
    this.#drain(request.service);
  }

  #admit(
    request: GatewayRequest,
    placement: Placement,
    nowMillis: number,
  ): Admission {
    const { random } = this.#options;
    const { line, flow, share } = this.#lane(request.service);
    if (placement.kind === "none" && placement.usableAtMillis === Infinity) {
      const retryAfterMillis = noTargetRetryMillis * (1 + random());
      return { kind: "refuse", retryAfterMillis };
    }
    const work = this.#estimate(request).meanMillis();
    const flowPerSecond = Math.max(
      flow.read(nowMillis) * 1000 / flowWindowMillis,
      this.#leastFlow(placement, work),
    );
    const isTaken = placement.kind === "send" && line.length === 0;
    const lineMillis = isTaken
      ? 0
      : expectedWaitMillis(line.length, flowPerSecond);
    const targetMillis = placement.kind === "send" ? placement.waitMillis : 0;
    return admitRequest({
      waitMillis: lineMillis + targetMillis,
      serviceMillis: placement.kind === "none"
        ? placement.usableAtMillis - nowMillis + work
        : placement.finishMillis - targetMillis,
      leftMillis: request.expiresAtMillis - nowMillis,
      objectiveLeftMillis: request.objectiveAtMillis - nowMillis,
      load: share.load,
      random: random(),
    });
  }

  /** Flow that this entry's part of the slots gives, before any was measured. */
  #leastFlow(placement: Placement, workMillis: number): number {
    const slots = placement.kind === "full" ? placement.slots : 1;
    const entries = this.#options.state.members.count;
    return slots * 1000 / Math.max(1, workMillis) / entries / 2;
  }

  #drain(service: string): void {
    const lane = this.#lane(service);
    while (lane.line.length > 0) {
      const nowMillis = performance.now();
      const estimate = this.#options.state.estimate(service, 0);
      const request = lane.line.take(nowMillis, {
        workMillis: estimate.meanMillis(),
      });
      if (request === undefined) return;
      const placement = this.#place(request, nowMillis);
      if (placement.kind !== "send") {
        lane.line.add(request);
        return;
      }
      this.#send(request, placement, nowMillis);
    }
  }

  #send(
    request: GatewayRequest,
    placement: Placement & { kind: "send" },
    nowMillis: number,
  ): void {
    const { dialect, state } = this.#options;
    const { target } = placement;
    const { record } = target;
    const leftMillis = request.expiresAtMillis - nowMillis;
    if (leftMillis < leastSendMillis) return;
    if (target.isCold(nowMillis)) target.cold.take();
    const inFlight = target.inFlight(nowMillis);
    this.#lane(request.service).flow.add(1, nowMillis);
    target.noteSent(request.object, nowMillis);
    request.tried.add(record.id);
    request.sends++;
    request.maybeRun++;
    const connections = this.#connectionsTo(target);
    const connection = connections.acquire(nowMillis);
    const fresh = !connection.connected;
    let headAtMillis = 0;
    const settle = (reusable: boolean) => {
      target.noteEnded();
      request.abort = undefined;
      if (reusable) connections.release(connection, performance.now());
      else connections.discard(connection);
    };
    const abort = sendAttempt(request, {
      connection,
      dialect,
      targetId: record.id,
      leftMillis,
      onHead: (load) => {
        headAtMillis = performance.now();
        const report = load === undefined ? undefined : dialect.readLoad(load);
        if (report) target.noteLoad(report, headAtMillis);
      },
      onEnd: (end) => {
        const endMillis = performance.now();
        const sound = end.kind === "answered" || end.kind === "not-run" ||
          end.kind === "streamed";
        settle(sound && !end.leaving);
        this.#learn(request, {
          target,
          placement,
          end,
          tookMillis: (headAtMillis || endMillis) - nowMillis,
          queued: inFlight >= record.slots,
          fresh,
          nowMillis: endMillis,
        });
        this.#conclude(request, target, end);
        this.#drain(request.service);
      },
    });
    request.abort = (reason) => {
      settle(false);
      if (reason === "expired") {
        target.noteResult(AttemptResult.lost, {
          nowMillis: performance.now(),
          warmupMillis: state.warmupMillis(request.service),
        });
        connections.discardIdleSince(nowMillis);
      }
      abort(reason);
    };
  }

  #connectionsTo(target: TargetBelief): TargetConnections {
    const { address, dataCentre } = target.record;
    let connections = this.#connections.get(address);
    if (connections === undefined) {
      connections = new TargetConnections(address, {
        onConnected: (tookMillis) =>
          this.#roundTrips.note(dataCentre, tookMillis),
      });
      this.#connections.set(address, connections);
    }
    return connections;
  }

  /** Updates beliefs from the end of an attempt. */
  #learn(
    request: GatewayRequest,
    result: {
      target: TargetBelief;
      placement: Placement & { kind: "send" };
      end: AttemptEnd;
      tookMillis: number;
      queued: boolean;
      fresh: boolean;
      nowMillis: number;
    },
  ): void {
    const { target, end, nowMillis } = result;
    const { state, metrics, log } = this.#options;
    const health = {
      nowMillis,
      warmupMillis: state.warmupMillis(request.service),
    };
    metrics.count("bamboolane_decisions", 1, { kind: end.kind });
    log.debug("attempt", {
      request: request.id,
      target: target.record.id,
      end: end.kind,
      tookMillis: Math.round(result.tookMillis),
    });
    switch (end.kind) {
      case "answered":
      case "streamed":
        target.noteResult(
          end.kind === "answered" && end.answer.status >= 500
            ? AttemptResult.faulty
            : AttemptResult.answered,
          health,
        );
        if (end.kind === "answered" && end.answer.status < 300) {
          this.#learnWork(request, result);
        }
        return;
      case "not-run":
        target.noteResult(AttemptResult.refused, health);
        if (end.status === this.#options.dialect.otherTargetStatus) {
          target.markLeaving();
        }
        return;
      case "unreachable":
        return target.noteResult(AttemptResult.unreachable, health);
      case "lost":
      case "stream-cut":
        target.noteResult(AttemptResult.lost, health);
        if (end.kind === "lost" && !end.spoiled) {
          this.#checkCrash(request, target);
        }
        return;
    }
  }

  #learnWork(
    request: GatewayRequest,
    result: {
      target: TargetBelief;
      placement: Placement & { kind: "send" };
      tookMillis: number;
      queued: boolean;
      fresh: boolean;
      nowMillis: number;
    },
  ): void {
    const { target, placement } = result;
    if (result.queued) return;
    const estimate = this.#estimate(request);
    const roundTrip = this.#roundTrips.read(target) * (result.fresh ? 2 : 1);
    const work = Math.max(1, result.tookMillis - roundTrip);
    const expected = estimate.workMillis(placement.warm);
    if (!target.isCold(result.nowMillis)) {
      estimate.note(work / target.slowness, { warm: placement.warm });
      target.noteWork(work / Math.max(1, expected));
    }
  }

  /** Finds out whether the target crashed while it ran the request. */
  async #checkCrash(
    request: GatewayRequest,
    target: TargetBelief,
  ): Promise<void> {
    const { state, log } = this.#options;
    if (!await isAddressClosed(target.record.address)) return;
    const nowMillis = performance.now();
    target.noteResult(AttemptResult.unreachable, {
      nowMillis,
      warmupMillis: state.warmupMillis(request.service),
    });
    state.crashes.recordCrash(request.fingerprint, target.record.id, nowMillis);
    log.warn("target_crashed", {
      request: request.id,
      target: target.record.id,
      fingerprint: request.fingerprint,
    });
  }

  /** Passes an answer on, repeats the request, or gives it up. */
  #conclude(
    request: GatewayRequest,
    target: TargetBelief,
    end: AttemptEnd,
  ): void {
    if (request.done) return;
    switch (end.kind) {
      case "answered":
        if (end.answer.status >= 500 && this.#repeat(request, "target-error")) {
          return;
        }
        this.#finish(request, "answered", {
          target,
          status: end.answer.status,
        });
        return this.#passOn(request, end.answer);
      case "streamed":
      case "stream-cut":
        return this.#finish(request, end.kind, { target });
      case "not-run":
      case "unreachable":
        request.maybeRun--;
        if (this.#repeat(request, end.kind)) return;
        return request.maybeRun > 0
          ? this.#fail(request, { kind: "failed", reason: end.kind })
          : this.#refuse(request, {
            reason: end.kind,
            retryAfterMillis: this.#returnMillis(request),
          });
      case "lost":
        if (this.#repeat(request, end.reason)) return;
        return this.#fail(request, { kind: "failed", reason: end.reason });
    }
  }

  /** A status that promises "not run" must not be passed on after a run. */
  #passOn(
    request: GatewayRequest,
    answer: { status: number; headers: string[]; body: Buffer },
  ): void {
    if (!promisesNotRun.has(answer.status)) return request.sink.answer(answer);
    request.sink.refuse({ kind: "failed", reason: `target-${answer.status}` });
  }

  #returnMillis(request: GatewayRequest): number {
    return this.#estimate(request).meanMillis() *
      (0.5 + this.#options.random());
  }

  /** Sends the request once more where that is allowed; false otherwise. */
  #repeat(request: GatewayRequest, cause: string): boolean {
    const { state, log, metrics } = this.#options;
    const nowMillis = performance.now();
    const { route } = request;
    if (request.maybeRun > 0 && route.repeat !== Repeat.idempotent) {
      return false;
    }
    if (request.sends >= route.attempts) return false;
    if (request.expiresAtMillis - nowMillis < leastRepeatMillis) return false;
    if (state.crashes.isHeld(request.fingerprint, nowMillis)) return false;
    const placement = this.#place(request, nowMillis);
    if (placement.kind !== "send") return false;
    if (
      !state.budget(request.service).spend(nowMillis, {
        entries: state.members.isComplete ? state.members.count : Infinity,
      })
    ) {
      log.info("repeat_denied", { request: request.id, cause });
      return false;
    }
    metrics.count("bamboolane_retries", 1, { cause });
    log.info("repeat", {
      request: request.id,
      cause,
      target: placement.target.record.id,
      sends: request.sends,
    });
    this.#send(request, placement, nowMillis);
    return true;
  }

  #expire(request: GatewayRequest): void {
    if (request.done) return;
    this.#lane(request.service).line.remove(request);
    const abort = request.abort;
    const ran = request.maybeRun > 0;
    if (ran) this.#fail(request, { kind: "expired" });
    else {
      this.#refuse(request, {
        reason: "expired-in-line",
        retryAfterMillis: this.#returnMillis(request),
      });
    }
    abort?.("expired");
    this.#drain(request.service);
  }

  #refuse(
    request: GatewayRequest,
    options: {
      reason: string;
      retryAfterMillis: number;
      ahead?: number;
    },
  ): void {
    this.#finish(request, "refused", options);
    request.sink.refuse({
      kind: "refused",
      reason: options.reason,
      retryAfterMillis: options.retryAfterMillis,
    });
  }

  #fail(request: GatewayRequest, answer: OwnAnswer): void {
    this.#finish(request, answer.kind, {
      reason: answer.kind === "failed" ? answer.reason : undefined,
    });
    request.sink.refuse(answer);
  }

  #close(request: GatewayRequest): void {
    request.done = true;
    clearTimeout(request.timer);
    this.#inFlight--;
  }

  #finish(
    request: GatewayRequest,
    outcome: string,
    details: {
      target?: TargetBelief;
      status?: number;
      reason?: string;
      retryAfterMillis?: number;
      ahead?: number;
    },
  ): void {
    if (request.done) return;
    this.#close(request);
    const { log, metrics, state } = this.#options;
    const nowMillis = performance.now();
    const tookMillis = nowMillis - request.arrivedAtMillis;
    const { target, ...rest } = details;
    log.info("request", {
      request: request.id,
      route: request.route.name,
      service: request.service,
      outcome,
      target: target?.record.id,
      targetVersion: target?.version,
      inFlight: target?.inFlight(nowMillis),
      revision: state.config?.revision,
      sends: request.sends,
      tookMillis: Math.round(tookMillis),
      ...rest,
    });
    metrics.count("bamboolane_requests", 1, {
      service: request.service,
      result: outcome,
    });
    metrics.record("bamboolane_request_duration_millis", tookMillis, {
      service: request.service,
    });
  }
}

/** Statuses that promise callers that the request did not run and never will. */
const promisesNotRun: ReadonlySet<number> = new Set([408, 421, 429, 503]);
