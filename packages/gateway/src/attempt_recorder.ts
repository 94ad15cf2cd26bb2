/**
 * Updates the state from the result of each attempt: health and speed of the
 * target, work times of the service, and requests that crash their targets.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import type { Placement } from "@bamboolane/steering/place_request";
import {
  AttemptResult,
  type TargetState,
} from "@bamboolane/steering/target_state";
import type { CallerDialect } from "./caller_dialect.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { GatewayState } from "./gateway_state.ts";
import { parseRetryAfter } from "./parse_retry_after.ts";
import type { RoundTripEstimates } from "./round_trip_estimates.ts";
import type { AnswerHead, AttemptEnd } from "./send_attempt.ts";
import { isConnectionRefused } from "./target_connections.ts";

/** How long the loss of one target waits for that of others, which would prove a cut. */
const CUT_EVIDENCE_MILLIS = 100;

/** Options of {@link AttemptRecorder}. */
export interface AttemptRecorderOptions {
  state: GatewayState;
  dialect: CallerDialect;
  roundTrips: RoundTripEstimates;
  log: EventLog;
  metrics: Metrics;
}

/** A finished attempt. */
export interface FinishedAttempt {
  target: TargetState;
  placement: Placement & { kind: "send" };
  end: AttemptEnd;
  /**
   * Time from the send to the answer's headers, or to the end of the attempt if
   * there are none.
   */
  tookMillis: number;
  /** True if all slots of the target were taken at the send. */
  queuedAtTarget: boolean;
  /** True if the connection was made for this attempt. */
  newConnection: boolean;
  nowMillis: number;
}

/** Records the attempts of one entry. */
export class AttemptRecorder {
  readonly #options: AttemptRecorderOptions;

  constructor(options: AttemptRecorderOptions) {
    this.#options = options;
  }

  /** Updates the target's state from the headers of its answer to a request. */
  recordHead(
    request: GatewayRequest,
    options: { target: TargetState; head: AnswerHead; nowMillis: number },
  ): void {
    const { target, head, nowMillis } = options;
    const { dialect } = this.#options;
    if (!head.namesRequest) return;
    // Another target than the expected one answers this way.
    if (head.status === dialect.misdirectedStatus) return;
    const load = head.load === undefined
      ? undefined
      : dialect.parseLoad(head.load);
    if (load) target.recordLoad(load, nowMillis);
    this.#recordLimit(target, head, nowMillis);
    if (head.leaving) {
      this.#options.state.recordLeaving(target, {
        source: "answer",
        request: request.id,
      });
    }
    this.#recordPause(request, options);
  }

  #recordPause(
    request: GatewayRequest,
    options: { target: TargetState; head: AnswerHead; nowMillis: number },
  ): void {
    const { target, head, nowMillis } = options;
    const { log } = this.#options;
    if (head.retryAfter === undefined) return;
    const pauseMillis = parseRetryAfter(head.retryAfter, Date.now());
    const details = {
      target: target.record.id,
      service: target.record.service,
      request: request.id,
      header: head.retryAfter,
    };
    if (pauseMillis === undefined) {
      return log.warn("pause_unreadable", details);
    }
    if (pauseMillis === 0) return;
    if (target.requestPause(pauseMillis, nowMillis)) {
      log.info("target_pause", { ...details, pauseMillis });
    }
  }

  #recordLimit(target: TargetState, head: AnswerHead, nowMillis: number): void {
    const { dialect, log, state } = this.#options;
    // A refusal may come from a part of the target that names no limit.
    if (head.limit === undefined && head.notRun) return;
    const perSecond = head.limit === undefined
      ? undefined
      : dialect.parseLimit(head.limit);
    if (head.limit !== undefined && perSecond === undefined) {
      return log.warn("limit_unreadable", {
        target: target.record.id,
        header: head.limit,
      });
    }
    const observation = { perSecond, observedAtMillis: nowMillis };
    state.recordLimit(target.record.id, observation, { source: "answer" });
  }

  /** Updates the state from a finished attempt. */
  recordAttempt(
    request: GatewayRequest,
    attempt: FinishedAttempt,
  ): void {
    const { target, end, nowMillis } = attempt;
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
      tookMillis: Math.round(attempt.tookMillis),
    });
    switch (end.kind) {
      case "answered":
      case "streamed":
        target.recordResult(
          end.kind === "answered" && end.answer.status >= 500
            ? AttemptResult.faulty
            : AttemptResult.answered,
          health,
        );
        if ((end.kind === "streamed" ? end : end.answer).status < 300) {
          this.#recordWorkTime(request, attempt);
        }
        return;
      case "not-run":
        target.recordResult(AttemptResult.refused, health);
        if (end.status === this.#options.dialect.misdirectedStatus) {
          // The target no longer runs at its address.
          target.markLeaving();
        }
        return;
      case "unsent":
        return;
      case "unreachable":
        if (!target.isUnreachable) {
          log.warn("target_unreachable", {
            target: target.record.id,
            reason: end.reason,
          });
        }
        return target.recordResult(AttemptResult.unreachable, health);
      case "lost":
      case "stream-cut":
        target.recordResult(AttemptResult.lost, health);
        if (end.kind === "lost" && end.namedRequest !== undefined) {
          log.warn("answer_unmatched", {
            request: request.id,
            target: target.record.id,
            named: end.namedRequest,
          });
        }
        if (end.kind === "lost" && !end.corrupt) {
          this.#checkCrash(request, target);
        }
        return;
    }
  }

  /**
   * Records the time that a target worked on a request. Attempts that may have
   * waited at the target are left out, and so are cold targets.
   */
  #recordWorkTime(request: GatewayRequest, attempt: FinishedAttempt): void {
    const { target, placement } = attempt;
    if (attempt.queuedAtTarget) return;
    const estimate = this.#options.state.estimate(
      request.service,
      request.route.objectiveMillis,
    );
    // Making a connection takes a round trip more.
    const roundTripMillis = this.#options.roundTrips.estimateMillis(target) *
      (attempt.newConnection ? 2 : 1);
    const workTimeMillis = Math.max(1, attempt.tookMillis - roundTripMillis);
    const expectedMillis = estimate.workMillis(placement.warm);
    if (!target.isCold(attempt.nowMillis)) {
      estimate.addSample(workTimeMillis / target.slowdownFactor, {
        warm: placement.warm,
      });
      target.recordWorkRatio(workTimeMillis / Math.max(1, expectedMillis));
    }
  }

  /** Checks whether the target crashed while it ran the request, and records a crash. */
  async #checkCrash(
    request: GatewayRequest,
    target: TargetState,
  ): Promise<void> {
    const { state, log } = this.#options;
    if (!await isConnectionRefused(target.record.address)) return;
    target.recordResult(AttemptResult.unreachable, {
      nowMillis: performance.now(),
      warmupMillis: state.warmupMillis(request.service),
    });
    // A cut breaks off other requests at the same time.
    await new Promise((resolve) => setTimeout(resolve, CUT_EVIDENCE_MILLIS));
    const nowMillis = performance.now();
    if (state.lostLinks(nowMillis)) {
      return log.info("crash_unproven", {
        request: request.id,
        target: target.record.id,
      });
    }
    state.crashes.recordCrash(request.fingerprint, target.record.id, nowMillis);
    log.warn("target_crashed", {
      request: request.id,
      target: target.record.id,
      fingerprint: request.fingerprint,
    });
  }
}
