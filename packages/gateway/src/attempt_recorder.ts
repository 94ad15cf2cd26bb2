/**
 * Turns the end of each attempt into beliefs: about the target's health and
 * speed, about work times, about requests that crash their targets.
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
import type { RoundTripEstimates } from "./round_trip_estimates.ts";
import type { AttemptEnd } from "./send_attempt.ts";
import { isAddressClosed } from "./target_connections.ts";

/** Options of {@link AttemptRecorder}. */
export interface AttemptRecorderOptions {
  state: GatewayState;
  dialect: CallerDialect;
  roundTrips: RoundTripEstimates;
  log: EventLog;
  metrics: Metrics;
}

/** One attempt that ended. */
export interface FinishedAttempt {
  target: TargetState;
  placement: Placement & { kind: "send" };
  end: AttemptEnd;
  /** From the send to the answer's head, or to the end without one. */
  tookMillis: number;
  /** All slots were taken when it was sent. */
  queuedAtTarget: boolean;
  /** The connection was made for it. */
  newConnection: boolean;
  nowMillis: number;
}

/** Learns from the attempts of one entry. */
export class AttemptRecorder {
  readonly #options: AttemptRecorderOptions;

  constructor(options: AttemptRecorderOptions) {
    this.#options = options;
  }

  /** Updates beliefs from the end of an attempt. */
  recordAttempt(
    request: GatewayRequest,
    result: FinishedAttempt,
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
        target.recordResult(
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
        target.recordResult(AttemptResult.refused, health);
        if (end.status === this.#options.dialect.misdirectedStatus) {
          target.markLeaving();
        }
        return;
      case "unreachable":
        return target.recordResult(AttemptResult.unreachable, health);
      case "lost":
      case "stream-cut":
        target.recordResult(AttemptResult.lost, health);
        if (end.kind === "lost" && !end.spoiled) {
          this.#checkCrash(request, target);
        }
        return;
    }
  }

  #learnWork(request: GatewayRequest, result: FinishedAttempt): void {
    const { target, placement } = result;
    if (result.queuedAtTarget) return;
    const estimate = this.#options.state.estimate(
      request.service,
      request.route.objectiveMillis,
    );
    const roundTrip = this.#options.roundTrips.read(target) *
      (result.newConnection ? 2 : 1);
    const work = Math.max(1, result.tookMillis - roundTrip);
    const expected = estimate.workMillis(placement.warm);
    if (!target.isCold(result.nowMillis)) {
      estimate.addSample(work / target.slowdownFactor, {
        warm: placement.warm,
      });
      target.recordWorkRatio(work / Math.max(1, expected));
    }
  }

  /** Finds out whether the target crashed while it ran the request. */
  async #checkCrash(
    request: GatewayRequest,
    target: TargetState,
  ): Promise<void> {
    const { state, log } = this.#options;
    if (!await isAddressClosed(target.record.address)) return;
    const nowMillis = performance.now();
    target.recordResult(AttemptResult.unreachable, {
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
}
