/**
 * Turns the end of each attempt into beliefs: about the target's health and
 * speed, about work times, about requests that crash their targets.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import type { Placement } from "@bamboolane/steering/place_request";
import {
  AttemptResult,
  type TargetBelief,
} from "@bamboolane/steering/target_belief";
import type { CallerDialect } from "./caller_dialect.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { GatewayState } from "./gateway_state.ts";
import type { RoundTrips } from "./round_trips.ts";
import type { AttemptEnd } from "./send_attempt.ts";
import { isAddressClosed } from "./target_connections.ts";

/** Options of {@link AttemptLearner}. */
export interface LearnerOptions {
  state: GatewayState;
  dialect: CallerDialect;
  roundTrips: RoundTrips;
  log: EventLog;
  metrics: Metrics;
}

/** One attempt that ended. */
export interface AttemptRecord {
  target: TargetBelief;
  placement: Placement & { kind: "send" };
  end: AttemptEnd;
  /** From the send to the answer's head, or to the end without one. */
  tookMillis: number;
  /** All slots were taken when it was sent. */
  queued: boolean;
  /** The connection was made for it. */
  fresh: boolean;
  nowMillis: number;
}

/** Learns from the attempts of one entry. */
export class AttemptLearner {
  readonly #options: LearnerOptions;

  constructor(options: LearnerOptions) {
    this.#options = options;
  }

  /** Updates beliefs from the end of an attempt. */
  learn(
    request: GatewayRequest,
    result: AttemptRecord,
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

  #learnWork(request: GatewayRequest, result: AttemptRecord): void {
    const { target, placement } = result;
    if (result.queued) return;
    const estimate = this.#options.state.estimate(
      request.service,
      request.route.objectiveMillis,
    );
    const roundTrip = this.#options.roundTrips.read(target) *
      (result.fresh ? 2 : 1);
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
}
