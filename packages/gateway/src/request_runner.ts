/**
 * Takes requests to targets: lets them wait, sends them, repeats what may be
 * repeated, and answers each exactly once. This task owns the connections; the
 * placer decides where a request goes, the learner what an attempt teaches.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import type { Placement } from "@bamboolane/steering/place_request";
import { RepeatPolicy } from "@bamboolane/steering/steering_config";
import {
  AttemptResult,
  type TargetState,
} from "@bamboolane/steering/target_state";
import { AttemptRecorder } from "./attempt_recorder.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import type { GatewayRequest, OwnAnswer } from "./gateway_request.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { GatewayState } from "./gateway_state.ts";
import {
  type OutcomeDetails,
  recordOutcome,
  roundLoad,
} from "./record_outcome.ts";
import { RequestPlacer } from "./request_placer.ts";
import { RoundTripEstimates } from "./round_trip_estimates.ts";
import { type AttemptEnd, sendAttempt } from "./send_attempt.ts";
import { TargetConnections } from "./target_connections.ts";

/** Options of {@link RequestRunner}. */
export interface RunnerOptions {
  settings: GatewaySettings;
  dialect: CallerDialect;
  state: GatewayState;
  log: EventLog;
  metrics: Metrics;
  random: () => number;
}

/** How often lines are looked at while nothing else happens: pauses end, cold meters fill. */
const lineTickMillis = 25;
/** Least time left for a repeat to make sense. */
const leastRepeatMillis = 30;

/** Slack below which the target's deadline isn't worth a send. */
const leastSendMillis = 5;

/** Runs the requests of one entry. */
export class RequestRunner {
  readonly #options: RunnerOptions;
  readonly #placer: RequestPlacer;
  readonly #learner: AttemptRecorder;
  readonly #connections = new Map<string, TargetConnections>();
  readonly #roundTrips: RoundTripEstimates;
  readonly #ticker: NodeJS.Timeout;
  #inFlight = 0;

  constructor(options: RunnerOptions) {
    this.#options = options;
    this.#roundTrips = new RoundTripEstimates(options.settings);
    this.#placer = new RequestPlacer({
      ...options,
      roundTrips: this.#roundTrips,
    });
    this.#learner = new AttemptRecorder({
      ...options,
      roundTrips: this.#roundTrips,
    });
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

  /** Shares of objects that other regions run, by service, for the other entries. */
  shares(): Record<string, number> {
    return this.#placer.remoteShares();
  }

  /** Takes a request; its sink gets exactly one answer unless it is cancelled. */
  run(request: GatewayRequest): void {
    const nowMillis = performance.now();
    this.#inFlight++;
    this.#options.state.budget(request.service).recordRequest(nowMillis);
    request.expiryTimer = setTimeout(
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
    this.#placer.serviceState(request.service).queue.remove(request);
    request.abort?.("caller left");
    this.#drain(request.service);
  }

  drainAll(): void {
    for (const [service, lane] of this.#placer.serviceStates) {
      if (lane.queue.length > 0) this.#drain(service);
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

  #start(request: GatewayRequest, nowMillis: number): void {
    const { queue: line, share } = this.#placer.serviceState(request.service);
    const placement = this.#placer.place(request, nowMillis);
    const admission = this.#placer.admit(request, placement, nowMillis);
    if (admission.kind === "refuse") {
      return this.#refuse(request, {
        reason: placement.kind,
        retryAfterMillis: Math.round(admission.retryAfterMillis),
        ahead: line.length,
        load: share.load,
        expectedMillis: Math.round(admission.expectedMillis),
        boundMillis: Math.round(admission.boundMillis),
      });
    }
    if (placement.kind === "send" && line.length === 0) {
      return this.#send(request, placement, nowMillis);
    }
    line.add(request);
    this.#drain(request.service);
  }

  #drain(service: string): void {
    const lane = this.#placer.serviceState(service);
    while (lane.queue.length > 0) {
      const nowMillis = performance.now();
      const estimate = this.#options.state.estimate(service, 0);
      const request = lane.queue.take(nowMillis, {
        workMillis: estimate.meanMillis(),
      });
      if (request === undefined) return;
      const placement = this.#placer.place(request, nowMillis);
      if (placement.kind !== "send") {
        lane.queue.add(request);
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
    const { dialect, state, log } = this.#options;
    const { target } = placement;
    const { record } = target;
    const leftMillis = request.expiresAtMillis - nowMillis;
    if (leftMillis < leastSendMillis) return;
    if (target.isCold(nowMillis)) target.warmupLimiter.take();
    const inFlight = target.inFlight(nowMillis);
    this.#placer.serviceState(request.service).departures.add(1, nowMillis);
    target.recordSend(request.object, nowMillis);
    request.triedTargets.add(record.id);
    request.sends++;
    request.possibleRuns++;
    const connections = this.#connectionsTo(target);
    const connection = connections.acquire(nowMillis);
    log.info("send", {
      request: request.id,
      target: record.id,
      targetVersion: target.version,
      inFlight,
      slots: record.slots,
      load: roundLoad(this.#placer.serviceState(request.service).share.load),
      warm: placement.warm,
      waitMillis: Math.round(placement.waitMillis),
      expectedMillis: Math.round(placement.finishMillis),
      leftMillis: Math.round(leftMillis),
      revision: state.config?.revision,
      sends: request.sends,
    });
    const fresh = !connection.connected;
    let headAtMillis = 0;
    const settle = (reusable: boolean) => {
      target.recordEnd();
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
        const report = load === undefined ? undefined : dialect.parseLoad(load);
        if (report) target.recordLoad(report, headAtMillis);
      },
      onEnd: (end) => {
        const endMillis = performance.now();
        const sound = end.kind === "answered" || end.kind === "not-run" ||
          end.kind === "streamed";
        if (end.kind === "lost" && closedReasons.has(end.reason)) {
          connections.noteForgotten(connection, endMillis);
        }
        settle(sound && !end.closesConnection);
        this.#learner.recordAttempt(request, {
          target,
          placement,
          end,
          tookMillis: (headAtMillis || endMillis) - nowMillis,
          queuedAtTarget: inFlight >= record.slots,
          newConnection: fresh,
          nowMillis: endMillis,
        });
        this.#conclude(request, target, end);
        this.#drain(request.service);
      },
    });
    request.abort = (reason) => {
      settle(false);
      if (reason === "expired") {
        target.recordResult(AttemptResult.lost, {
          nowMillis: performance.now(),
          warmupMillis: state.warmupMillis(request.service),
        });
        connections.discardIdleSince(nowMillis);
      }
      abort(reason);
    };
  }

  #connectionsTo(target: TargetState): TargetConnections {
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

  /** Passes an answer on, repeats the request, or gives it up. */
  #conclude(
    request: GatewayRequest,
    target: TargetState,
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
        request.possibleRuns--;
        if (this.#repeat(request, end.kind)) return;
        return request.possibleRuns > 0
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
    return this.#placer.estimate(request).meanMillis() *
      (0.5 + this.#options.random());
  }

  /** Sends the request once more where that is allowed; false otherwise. */
  #repeat(request: GatewayRequest, cause: string): boolean {
    const { state, log, metrics } = this.#options;
    const nowMillis = performance.now();
    const { route } = request;
    if (request.possibleRuns > 0 && route.repeat !== RepeatPolicy.idempotent) {
      return false;
    }
    if (request.sends >= route.attempts) return false;
    if (request.expiresAtMillis - nowMillis < leastRepeatMillis) return false;
    if (state.crashes.isHeldBack(request.fingerprint, nowMillis)) return false;
    const placement = this.#placer.place(request, nowMillis);
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
    this.#placer.serviceState(request.service).queue.remove(request);
    const abort = request.abort;
    const ran = request.possibleRuns > 0;
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
    options: OutcomeDetails & { reason: string; retryAfterMillis: number },
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
    clearTimeout(request.expiryTimer);
    this.#inFlight--;
  }

  #finish(
    request: GatewayRequest,
    outcome: string,
    details: OutcomeDetails,
  ): void {
    if (request.done) return;
    this.#close(request);
    recordOutcome(request, { ...this.#options, outcome, details });
  }
}

/** How a connection that the target closed before an answer reports it. */
const closedReasons: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
]);

/** Statuses that promise callers that the request did not run and never will. */
const promisesNotRun: ReadonlySet<number> = new Set([408, 421, 429, 503]);
