/**
 * Runs requests: queues them while no slot is free, sends them to targets,
 * retries where that is allowed, and answers each exactly once. The runner owns
 * the connections to targets. {@link RequestPlacer} decides where a request
 * goes; {@link AttemptRecorder} updates the state from each attempt.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import type { Placement } from "@bamboolane/steering/place_request";
import { isAnsweredBeforeStop } from "@bamboolane/steering/plan_stop";
import { formatStateVersion } from "@bamboolane/steering/state_version";
import { RepeatPolicy } from "@bamboolane/steering/steering_config";
import {
  AttemptResult,
  type TargetState,
} from "@bamboolane/steering/target_state";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import type { AnswerPacer } from "./answer_pacer.ts";
import { AttemptRecorder } from "./attempt_recorder.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import type { DescriptorBudget } from "./descriptor_budget.ts";
import {
  type GatewayRequest,
  type LocalAnswer,
  NOT_RUN_STATUSES,
} from "./gateway_request.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { GatewayState } from "./gateway_state.ts";
import {
  type OutcomeDetails,
  recordOutcome,
  roundLoad,
} from "./record_outcome.ts";
import { PeerForwarder } from "./peer_forwarder.ts";
import { ReachMonitor } from "./reach_monitor.ts";
import { RequestPlacer } from "./request_placer.ts";
import { RoundTripEstimates } from "./round_trip_estimates.ts";
import { type AttemptEnd, sendAttempt } from "./send_attempt.ts";
import type { StallMonitor } from "./stall_monitor.ts";
import { type StalledStream, StalledStreams } from "./stalled_streams.ts";
import { TargetConnections } from "./target_connections.ts";

/** Options of {@link RequestRunner}. */
export interface RunnerOptions {
  settings: GatewaySettings;
  dialect: CallerDialect;
  state: GatewayState;
  stallMonitor: StallMonitor;
  descriptors: DescriptorBudget;
  answerPacer: AnswerPacer;
  log: EventLog;
  metrics: Metrics;
  random: () => number;
}

/**
 * How often queues are checked besides at events: pauses of targets end, and
 * warm-up limits refill, without one.
 */
const QUEUE_POLL_MILLIS = 25;
/** Minimum time left for a retry to be worthwhile. */
const MIN_RETRY_MILLIS = 30;

/** Retry delay of requests that a stopping entry refuses; others can serve them now. */
export const STOPPING_RETRY_MILLIS = 100;

/** Failed connections in a row from which a target's open connections count as dead too. */
const MIN_FAILURES_TO_GIVE_UP = 2;

/**
 * Minimum time left until the deadline for a send to be worthwhile; a request
 * with less is left to its expiry timer.
 */
const MIN_SEND_MILLIS = 5;

/** Runs the requests of one entry. */
export class RequestRunner {
  readonly #options: RunnerOptions;
  readonly #placer: RequestPlacer;
  readonly #forwarder: PeerForwarder;
  readonly #reachMonitor: ReachMonitor;
  readonly #attemptRecorder: AttemptRecorder;
  readonly #connections = new Map<string, TargetConnections>();
  readonly #roundTrips: RoundTripEstimates;
  readonly #queueTimer: NodeJS.Timeout;
  /** Attempts without an answer so far, by target. */
  readonly #unanswered = new WeakMap<TargetState, Set<UnansweredAttempt>>();
  readonly #stalledStreams = new StalledStreams();
  /** Requests that are queued or at a target. */
  readonly #active = new Set<GatewayRequest>();
  /** When a stop ends, by which requests must be answered; Infinity without one. */
  #stopAtMillis = Infinity;

  constructor(options: RunnerOptions) {
    this.#options = options;
    this.#roundTrips = new RoundTripEstimates(options.settings);
    this.#placer = new RequestPlacer({
      ...options,
      roundTrips: this.#roundTrips,
    });
    this.#attemptRecorder = new AttemptRecorder({
      ...options,
      roundTrips: this.#roundTrips,
    });
    this.#forwarder = new PeerForwarder(options);
    this.#reachMonitor = new ReachMonitor({
      ...options,
      roundTrips: this.#roundTrips,
      onUnreachable: (target) => this.#giveUpAttempts(target),
      onReachable: () => this.dispatchQueued(),
    });
    this.#queueTimer = setInterval(
      () => this.dispatchQueued(),
      QUEUE_POLL_MILLIS,
    );
    options.state.onChange = () => this.dispatchQueued();
    options.stallMonitor.onCaughtUp = () => this.dispatchQueued();
  }

  /** Requests that are queued or at a target. */
  get inFlight(): number {
    return this.#active.size;
  }

  /** This entry's requests in flight, by target; sent to the other entries. */
  inFlightByTarget(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const target of this.#options.state.targets.all()) {
      // What hangs at an unreachable target is no load there.
      if (target.isUnreachable) continue;
      if (target.ownInFlight > 0) counts[target.record.id] = target.ownInFlight;
    }
    return counts;
  }

  /** Share of objects that other regions serve, by service; sent to the other entries. */
  remoteShares(): Record<string, number> {
    return this.#placer.remoteShares();
  }

  /** Runs a request; its sink gets exactly one answer unless the request is cancelled. */
  run(request: GatewayRequest): void {
    if (request.done) return;
    this.#active.add(request);
    this.#guard(request, () => {
      const nowMillis = performance.now();
      if (!request.isForwarded) {
        this.#options.state.budget(request.service).recordRequest(nowMillis);
      }
      request.expiryTimer = setTimeout(
        () => this.#guard(request, () => this.#expire(request)),
        Math.max(0, request.expiresAtMillis - nowMillis),
      );
      this.#start(request, nowMillis);
    });
  }

  /** Requests that are queued or at a target, for the log; `max` of them at most. */
  describeActive(max: number): string {
    return [...this.#active].slice(0, max).map((request) =>
      Object.values(describeRequest(request)).join("/")
    ).join(",");
  }

  /**
   * Cancels a request whose caller disconnected: aborts the attempt in progress
   * and sends no other.
   */
  cancel(request: GatewayRequest): void {
    if (request.done) return;
    this.#options.log.info("cancelled", {
      request: request.id,
      route: request.route.name,
      heldMillis: Math.round(performance.now() - request.arrivedAtMillis),
      sends: request.sends,
    });
    this.#markDone(request);
    this.#placer.serviceState(request.service).queue.remove(request);
    request.abort?.("caller disconnected");
    this.#dispatchQueue(request.service);
  }

  /** Refuses from now on what can't be answered before the stop ends. */
  beginStop(stopAtMillis: number): void {
    this.#stopAtMillis = stopAtMillis;
    this.#refuseUnfinishable();
  }

  /**
   * Answers all requests that are left at the end of a stop: those that did not run
   * may be sent again elsewhere.
   */
  endAll(): void {
    for (const request of [...this.#active]) {
      const { abort } = request;
      this.#placer.serviceState(request.service).queue.remove(request);
      this.#refuseStopping(request);
      abort?.("stopping");
    }
  }

  /** Sends queued requests of all services as far as targets have room. */
  dispatchQueued(): void {
    this.#refuseUnfinishable();
    if (!this.#options.stallMonitor.isCatchingUp()) {
      this.#stalledStreams.freeSlots(performance.now());
    }
    for (const [service, serviceState] of this.#placer.serviceStates) {
      if (serviceState.queue.length > 0) this.#dispatchQueue(service);
    }
  }

  /** Closes idle connections to addresses that no target has any more; called periodically. */
  closeUnusedConnections(): void {
    const used = new Set<string>();
    for (const target of this.#options.state.targets.all()) {
      used.add(target.record.address);
    }
    for (const [address, connections] of this.#connections) {
      if (used.has(address)) continue;
      connections.closeIdle();
      if (connections.open === 0) this.#connections.delete(address);
    }
    this.#forwarder.closeUnusedConnections();
  }

  /** Closes all idle connections, so that others can be opened. */
  closeIdleConnections(): void {
    this.#forwarder.closeIdleConnections();
    for (const connections of this.#connections.values()) {
      connections.closeIdle();
    }
  }

  stop(): void {
    clearInterval(this.#queueTimer);
    this.#reachMonitor.stop();
    this.#forwarder.stop();
    this.closeIdleConnections();
  }

  #start(request: GatewayRequest, nowMillis: number): void {
    const { queue, remoteShare } = this.#placer.serviceState(request.service);
    const placement = this.#place(request, nowMillis);
    const expectedMillis = placement.kind === "send"
      ? placement.finishMillis
      : this.#placer.expectedMillis(request, {
        ahead: queue.length,
        nowMillis,
      });
    if (!this.#canFinish(expectedMillis, nowMillis)) {
      return this.#refuseStopping(request);
    }
    if (placement.kind !== "send" && this.#forward(request, placement.kind)) {
      return;
    }
    const admission = this.#placer.admit(request, placement, nowMillis);
    if (admission.kind === "refuse") {
      if (this.#forward(request, "late")) return;
      return this.#refuse(request, {
        reason: placement.kind,
        retryAfterMillis: Math.round(admission.retryAfterMillis),
        ahead: queue.length,
        load: remoteShare.load,
        expectedMillis: Math.round(admission.expectedMillis),
        boundMillis: Math.round(admission.boundMillis),
      });
    }
    if (placement.kind === "send" && queue.length === 0) {
      return this.#send(request, placement, nowMillis);
    }
    this.#enqueue(request);
  }

  /**
   * Sends queued requests of a service as far as targets have room; after a stall
   * only once it is known which callers have left.
   */
  #dispatchQueue(service: string): void {
    if (this.#options.stallMonitor.isCatchingUp()) return;
    const serviceState = this.#placer.serviceState(service);
    while (serviceState.queue.length > 0) {
      const nowMillis = performance.now();
      const estimate = this.#options.state.estimate(service, Infinity);
      const request = serviceState.queue.take(nowMillis, {
        workMillis: estimate.meanMillis(),
      });
      if (request === undefined) return;
      if (this.#waitsForCaller(request, () => this.#enqueue(request))) continue;
      const placement = this.#place(request, nowMillis);
      if (placement.kind !== "send") {
        if (this.#forward(request, placement.kind)) continue;
        serviceState.queue.add(request);
        if (placement.kind === "none") {
          this.#refuseUnservable(request, placement, nowMillis);
        }
        return;
      }
      this.#guard(request, () => this.#send(request, placement, nowMillis));
    }
  }

  /** Chooses a target; where its slots are taken, a stalled answer may lose its own. */
  #place(request: GatewayRequest, nowMillis: number): Placement {
    const placement = this.#placer.place(request, nowMillis);
    const targets = findFullTargets(placement);
    if (targets.length === 0 || this.#options.stallMonitor.isCatchingUp()) {
      return placement;
    }
    return this.#stalledStreams.cutLongest(targets, nowMillis)
      ? this.#placer.place(request, nowMillis)
      : placement;
  }

  #enqueue(request: GatewayRequest): void {
    this.#placer.serviceState(request.service).queue.add(request);
    this.#dispatchQueue(request.service);
  }

  /**
   * True if the caller's connection has to be read before another send; `step` runs
   * after that, unless the caller has left.
   */
  #waitsForCaller(request: GatewayRequest, step: () => void): boolean {
    const read = request.readCaller();
    if (read === undefined) return false;
    read.then(() => {
      if (!request.done) this.#guard(request, step);
    });
    return true;
  }

  /** Runs a step of a request; an error in it fails this request only. */
  #guard(request: GatewayRequest, step: () => void): void {
    try {
      step();
    } catch (error) {
      this.#handleFault(request, error as Error);
    }
  }

  /** Ends a request after an error in the entry itself. */
  #handleFault(request: GatewayRequest, error: Error): void {
    const { log, metrics } = this.#options;
    log.error("request_fault", {
      ...describeRequest(request),
      error: error.message,
      stack: error.stack,
    });
    metrics.count("bamboolane_request_faults", 1, { service: request.service });
    const { abort } = request;
    this.#finish(request, "failed", { reason: "internal" });
    request.sink.abandon();
    abort?.("internal");
  }

  #send(
    request: GatewayRequest,
    placement: Placement & { kind: "send" },
    nowMillis: number,
  ): void {
    const { dialect, state, log } = this.#options;
    const { target } = placement;
    const { record } = target;
    const remainingMillis = request.expiresAtMillis - nowMillis;
    if (remainingMillis < MIN_SEND_MILLIS) return;
    const inFlight = target.inFlight(nowMillis);
    this.#placer.serviceState(request.service).departures.add(1, nowMillis);
    target.expectAnswerWithin(placement.finishMillis);
    target.recordSend(request.object, nowMillis);
    request.triedTargets.add(record.id);
    request.sends++;
    request.arrivals++;
    request.possibleRuns++;
    const connections = this.#connectionsTo(target);
    const connection = connections.acquire(request.id, nowMillis);
    log.info("send", {
      request: request.id,
      target: record.id,
      targetVersion: formatStateVersion(target.version),
      inFlight,
      slots: record.slots,
      load: roundLoad(
        this.#placer.serviceState(request.service).remoteShare.load,
      ),
      warm: placement.warm,
      limitPerSecond: target.requestLimit.perSecond,
      connectionUse: connection.requestCount,
      waitMillis: Math.round(placement.waitMillis),
      expectedMillis: Math.round(placement.finishMillis),
      leftMillis: Math.round(remainingMillis),
      revision: state.config?.revision,
      sends: request.sends,
    });
    const newConnection = !connection.connected;
    let headAtMillis = 0;
    const finishAttempt = (reusable: boolean) => {
      this.#unanswered.get(target)?.delete(unanswered);
      this.#stalledStreams.delete(target, stalled);
      target.recordEnd();
      request.abort = undefined;
      if (reusable) connections.release(connection, performance.now());
      else connections.discard(connection);
    };
    const abort = sendAttempt(request, {
      connection,
      dialect,
      recipient: { kind: "target", id: record.id },
      remainingMillis,
      onHead: (head) => {
        headAtMillis = performance.now();
        this.#unanswered.get(target)?.delete(unanswered);
        if (newConnection) target.recordConnected(headAtMillis);
        else target.recordContact(headAtMillis);
        this.#attemptRecorder.recordHead(request, {
          target,
          head,
          nowMillis: headAtMillis,
        });
      },
      onCallerWait: (isWaiting) => {
        if (!isWaiting) return this.#stalledStreams.delete(target, stalled);
        stalled.sinceMillis = performance.now();
        this.#stalledStreams.add(target, stalled);
      },
      onEnd: (end) => {
        const endMillis = performance.now();
        const isAnswerComplete = end.kind === "answered" ||
          end.kind === "not-run" ||
          end.kind === "streamed";
        if (end.kind === "lost" && CONNECTION_CLOSED_CODES.has(end.reason)) {
          connections.recordStaleConnection(connection, endMillis);
        }
        if (end.kind === "lost" && end.namedRequest !== undefined) {
          connections.recordSurplusAnswer(endMillis);
        }
        if (end.kind === "not-run") connection.carriedRefusal = true;
        finishAttempt(isAnswerComplete && !end.closesConnection);
        this.#attemptRecorder.recordAttempt(request, {
          target,
          placement,
          end,
          tookMillis: (headAtMillis || endMillis) - nowMillis,
          queuedAtTarget: inFlight >= record.slots,
          newConnection,
          nowMillis: endMillis,
        });
        this.#handleResult(request, target, end);
        this.#dispatchQueue(request.service);
      },
      onFault: (error) => this.#handleFault(request, error),
    });
    const unanswered: UnansweredAttempt = {
      request,
      isConnected: () => connection.connected,
      giveUp: (end) => {
        if (!abort(end.reason)) return;
        finishAttempt(false);
        this.#handleResult(request, target, end);
      },
    };
    const stalled: StalledStream = {
      sinceMillis: Infinity,
      cut: (waitedMillis) => {
        log.warn("stream_stalled", {
          request: request.id,
          target: record.id,
          waitedMillis: Math.round(waitedMillis),
        });
        this.#finish(request, "stream-cut", { target, reason: "unread" });
        abort("unread");
        finishAttempt(false);
      },
    };
    this.#addUnanswered(target, unanswered);
    request.abort = (reason) => {
      // Closing the connection first would end the attempt with an error.
      abort(reason);
      finishAttempt(false);
      // Unlike a caller's disconnect, an expiry counts against the target.
      if (reason === "expired") {
        target.recordResult(AttemptResult.lost, {
          nowMillis: performance.now(),
          warmupMillis: state.warmupMillis(request.service),
        });
        // `nowMillis` is the time of the send.
        connections.closeIdleUsedBefore(nowMillis);
      }
    };
  }

  #connectionsTo(target: TargetState): TargetConnections {
    const { address, dataCentre } = target.record;
    let connections = this.#connections.get(address);
    if (connections === undefined) {
      connections = new TargetConnections(address, {
        descriptors: this.#options.descriptors,
        pacer: this.#options.answerPacer,
        onConnected: (tookMillis) =>
          this.#roundTrips.addSample(dataCentre, tookMillis),
      });
      this.#connections.set(address, connections);
    }
    return connections;
  }

  /** Forwards the answer, retries the request, or fails it. */
  #handleResult(
    request: GatewayRequest,
    target: TargetState,
    end: AttemptEnd,
  ): void {
    if (request.done) return;
    recordNotRun(request, end);
    // The target is sound; only this connection to it has ended.
    if (end.kind === "unsent") {
      request.sends--;
      request.triedTargets.delete(target.record.id);
    }
    const step = () => this.#decideAfterTarget(request, target, end);
    if (mayRepeat(end) && this.#waitsForCaller(request, step)) return;
    step();
  }

  #decideAfterTarget(
    request: GatewayRequest,
    target: TargetState,
    end: AttemptEnd,
  ): void {
    switch (end.kind) {
      case "answered":
        if (end.answer.status >= 500 && this.#retry(request, "target-error")) {
          return;
        }
        this.#finish(request, "answered", {
          target,
          status: end.answer.status,
        });
        return this.#forwardAnswer(request, end.answer);
      case "streamed":
      case "stream-cut":
        return this.#finish(request, end.kind, { target });
      case "not-run":
      case "unreachable":
      case "unsent":
        if (this.#retry(request, end.kind)) return;
        return this.#refuse(request, {
          reason: end.kind,
          retryAfterMillis: this.#placer.retryAfterMillis(
            request,
            performance.now(),
          ),
        });
      case "lost":
        if (this.#retry(request, end.reason)) return;
        return this.#fail(request, { kind: "failed", reason: end.reason });
    }
  }

  /**
   * Forwards a target's answer. A status that tells callers that the request did
   * not run is replaced, since the request may have run.
   */
  #forwardAnswer(
    request: GatewayRequest,
    answer: { status: number; headers: string[]; body: Buffer },
  ): void {
    if (!NOT_RUN_STATUSES.has(answer.status)) {
      return request.sink.answer(answer);
    }
    request.sink.answerLocally({
      kind: "failed",
      reason: `target-${answer.status}`,
    });
  }

  /** Retries the request if that is allowed; returns false otherwise. */
  #retry(request: GatewayRequest, cause: string): boolean {
    const { state, log, metrics } = this.#options;
    const nowMillis = performance.now();
    const { route } = request;
    if (request.possibleRuns > 0 && route.repeat !== RepeatPolicy.idempotent) {
      return false;
    }
    if (request.expiresAtMillis - nowMillis < MIN_RETRY_MILLIS) return false;
    if (state.crashes.isHeldBack(request.fingerprint, nowMillis)) return false;
    const expectedMillis = this.#placer.estimate(request).meanMillis();
    if (!this.#canFinish(expectedMillis, nowMillis)) return false;
    if (request.sends >= route.attempts) return this.#forward(request, cause);
    const placement = this.#place(request, nowMillis);
    if (placement.kind !== "send") return this.#forward(request, cause);
    if (!this.#spendRetry(request, cause)) return false;
    metrics.count("bamboolane_retries", 1, { cause });
    log.info("repeat", {
      request: request.id,
      cause,
      target: placement.target.record.id,
      sends: request.sends,
    });
    if (this.#options.stallMonitor.isCatchingUp()) {
      this.#placer.serviceState(request.service).queue.add(request);
    } else this.#send(request, placement, nowMillis);
    return true;
  }

  /** Takes a retry from the budget, unless no send has reached a target so far. */
  #spendRetry(request: GatewayRequest, cause: string): boolean {
    const { state, log } = this.#options;
    if (request.arrivals === 0) return true;
    const isAllowed = state.budget(request.service).spend(performance.now(), {
      // While entries may be unknown, none of the fixed allowance is used.
      entries: state.members.isComplete ? state.members.count : Infinity,
    });
    if (!isAllowed) log.info("repeat_denied", { request: request.id, cause });
    return isAllowed;
  }

  /**
   * Forwards a request to another entry if this one reaches too few of the service's
   * targets; returns false otherwise.
   */
  #forward(request: GatewayRequest, cause: string): boolean {
    const nowMillis = performance.now();
    if (request.arrivals >= request.route.attempts) return false;
    if (request.expiresAtMillis - nowMillis < MIN_RETRY_MILLIS) return false;
    const peer = this.#forwarder.choose(request, nowMillis);
    if (peer === undefined || !this.#spendRetry(request, cause)) return false;
    this.#options.metrics.count("bamboolane_forwards", 1, { cause });
    request.triedEntries.add(peer.id);
    request.arrivals++;
    request.possibleRuns++;
    this.#forwarder.forward(request, {
      peer,
      onEnd: (end) => this.#handleForwardResult(request, peer, end),
      onFault: (error) => this.#handleFault(request, error),
    });
    return true;
  }

  /** Passes on the answer of another entry, tries a further one, or fails the request. */
  #handleForwardResult(
    request: GatewayRequest,
    peer: EntryRecord,
    end: AttemptEnd,
  ): void {
    if (request.done) return;
    recordNotRun(request, end);
    // Another entry counts the arrivals of what it did not run itself.
    if (end.kind === "not-run") request.arrivals--;
    const step = () => this.#decideAfterEntry(request, peer, end);
    if (mayRepeat(end) && this.#waitsForCaller(request, step)) return;
    step();
  }

  #decideAfterEntry(
    request: GatewayRequest,
    peer: EntryRecord,
    end: AttemptEnd,
  ): void {
    switch (end.kind) {
      case "answered":
        this.#finish(request, "answered", {
          peer: peer.id,
          status: end.answer.status,
        });
        return this.#forwardAnswer(request, end.answer);
      case "streamed":
      case "stream-cut":
        return this.#finish(request, end.kind, { peer: peer.id });
      case "not-run":
      case "unreachable":
      case "unsent":
        if (this.#retry(request, `entry-${end.kind}`)) return;
        return this.#refuse(request, {
          reason: `entry-${end.kind}`,
          peer: peer.id,
          retryAfterMillis:
            (end.kind === "not-run" ? end.retryAfterMillis : undefined) ??
              this.#placer.retryAfterMillis(request, performance.now()),
        });
      case "lost":
        if (end.reason === "entry-expired") {
          return this.#fail(request, { kind: "expired" });
        }
        if (this.#retry(request, end.reason)) return;
        return this.#fail(request, { kind: "failed", reason: end.reason });
    }
  }

  #addUnanswered(target: TargetState, attempt: UnansweredAttempt): void {
    const attempts = this.#unanswered.get(target);
    if (attempts) attempts.add(attempt);
    else this.#unanswered.set(target, new Set([attempt]));
  }

  /**
   * Gives up what hangs at a target that can't be reached: attempts without a
   * connection, and once a second connection failed, those that may be repeated.
   */
  #giveUpAttempts(target: TargetState): void {
    const isConfirmed = target.connectFailures >= MIN_FAILURES_TO_GIVE_UP;
    for (const attempt of [...this.#unanswered.get(target) ?? []]) {
      if (!attempt.isConnected()) {
        attempt.giveUp({ kind: "unreachable", reason: "unreachable" });
      } else if (
        isConfirmed &&
        attempt.request.route.repeat === RepeatPolicy.idempotent
      ) {
        attempt.giveUp({ kind: "lost", reason: "unreachable", corrupt: false });
      }
    }
  }

  #expire(request: GatewayRequest): void {
    if (request.done) return;
    this.#placer.serviceState(request.service).queue.remove(request);
    const abort = request.abort;
    const mayHaveRun = request.possibleRuns > 0;
    if (mayHaveRun) this.#fail(request, { kind: "expired" });
    else {
      this.#refuse(request, {
        reason: "expired-in-line",
        retryAfterMillis: this.#placer.retryAfterMillis(
          request,
          performance.now(),
        ),
      });
    }
    abort?.("expired");
    this.#dispatchQueue(request.service);
  }

  /** Refuses a request with a promise; one that may have run fails instead. */
  #refuse(
    request: GatewayRequest,
    options: OutcomeDetails & { reason: string; retryAfterMillis: number },
  ): void {
    if (request.possibleRuns > 0) {
      return this.#fail(request, { kind: "failed", reason: options.reason });
    }
    this.#finish(request, "refused", options);
    request.sink.answerLocally({
      kind: "refused",
      reason: options.reason,
      retryAfterMillis: options.retryAfterMillis,
    });
  }

  #canFinish(expectedMillis: number, nowMillis: number): boolean {
    return isAnsweredBeforeStop(expectedMillis, {
      nowMillis,
      stopAtMillis: this.#stopAtMillis,
    });
  }

  /** Refuses queued requests that are not expected to be answered before the stop ends. */
  #refuseUnfinishable(): void {
    if (this.#stopAtMillis === Infinity) return;
    const nowMillis = performance.now();
    for (const { queue } of this.#placer.serviceStates.values()) {
      let ahead = 0;
      for (const request of [...queue]) {
        const expectedMillis = this.#placer.expectedMillis(request, {
          ahead,
          nowMillis,
        });
        if (this.#canFinish(expectedMillis, nowMillis)) ahead++;
        else {
          queue.remove(request);
          this.#refuseStopping(request);
        }
      }
    }
  }

  /**
   * Refuses the queued requests of a route for which no target is usable in time, for
   * example because all of them leave or asked for a pause.
   */
  #refuseUnservable(
    { route, service }: GatewayRequest,
    placement: Placement & { kind: "none" },
    nowMillis: number,
  ): void {
    const { queue } = this.#placer.serviceState(service);
    for (const request of [...queue]) {
      if (request.route !== route) continue;
      const answerAtMillis = placement.usableAtMillis +
        this.#placer.estimate(request).meanMillis();
      if (answerAtMillis <= request.expiresAtMillis) continue;
      queue.remove(request);
      this.#refuse(request, {
        reason: placement.isPauseRequested ? "pause" : placement.kind,
        retryAfterMillis: this.#placer.retryAfterMillis(request, nowMillis),
      });
    }
  }

  /** Refuses a request that another entry can serve at once. */
  #refuseStopping(request: GatewayRequest): void {
    this.#refuse(request, {
      reason: "stopping",
      retryAfterMillis: STOPPING_RETRY_MILLIS,
    });
  }

  #fail(request: GatewayRequest, answer: LocalAnswer): void {
    this.#finish(request, answer.kind, {
      reason: answer.kind === "failed" ? answer.reason : undefined,
    });
    request.sink.answerLocally(answer);
  }

  #markDone(request: GatewayRequest): void {
    request.done = true;
    clearTimeout(request.expiryTimer);
    this.#active.delete(request);
  }

  #finish(
    request: GatewayRequest,
    outcome: string,
    details: OutcomeDetails,
  ): void {
    if (request.done) return;
    this.#markDone(request);
    recordOutcome(request, { ...this.#options, outcome, details });
  }
}

/** Targets where the request needs a slot that others have. */
function findFullTargets(placement: Placement): readonly TargetState[] {
  switch (placement.kind) {
    case "send":
      return placement.waitMillis > 0 ? [placement.target] : [];
    case "full":
      return placement.fullTargets;
    case "none":
      return [];
  }
}

/** Takes back what was counted for an attempt that proved not to have run. */
function recordNotRun(request: GatewayRequest, end: AttemptEnd): void {
  switch (end.kind) {
    case "not-run":
      request.possibleRuns--;
      return;
    case "unreachable":
    case "unsent":
      request.possibleRuns--;
      request.arrivals--;
      return;
    case "answered":
    case "streamed":
    case "stream-cut":
    case "lost":
      return;
  }
}

/** True if the request may be sent again after such an end of an attempt. */
function mayRepeat(end: AttemptEnd): boolean {
  switch (end.kind) {
    case "answered":
      return end.answer.status >= 500;
    case "streamed":
    case "stream-cut":
      return false;
    case "not-run":
    case "unreachable":
    case "unsent":
    case "lost":
      return true;
  }
}

/** What the log says about a request whose processing failed. */
function describeRequest(request: GatewayRequest): Record<string, string> {
  return {
    request: request.id,
    route: request.route.name,
    sends: String(request.sends),
    target: [...request.triedTargets].at(-1) ?? "",
    peer: [...request.triedEntries].at(-1) ?? "",
  };
}

/** An attempt whose answer has not begun. */
interface UnansweredAttempt {
  request: GatewayRequest;
  isConnected: () => boolean;
  giveUp: (end: AttemptEnd & { kind: "unreachable" | "lost" }) => void;
}

/** Error codes of a connection that the target closed before it answered. */
const CONNECTION_CLOSED_CODES: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
]);
