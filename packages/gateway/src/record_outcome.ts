/**
 * Logs and counts the outcome of a request. The log line, which is found by the
 * request's id, shows what was decided and from which state.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import { formatStateVersion } from "@bamboolane/steering/state_version";
import type { TargetState } from "@bamboolane/steering/target_state";
import type { GatewayRequest } from "./gateway_request.ts";
import type { GatewayState } from "./gateway_state.ts";

/** Details of an outcome; the fields are logged under their own names. */
export interface OutcomeDetails {
  target?: TargetState;
  /** The entry that the request was forwarded to. */
  peer?: string;
  status?: number;
  reason?: string;
  retryAfterMillis?: number;
  /** Requests that were queued before this one. */
  ahead?: number;
  /** Requests at the service's targets divided by the targets' slots. */
  load?: number;
  /** Time until the answer that was expected when the request was refused. */
  expectedMillis?: number;
  /** Longest expected time with which the request would have been admitted. */
  boundMillis?: number;
}

/** Rounds a load for log lines. */
export function roundLoad(load: number): number {
  return Math.round(load * 100) / 100;
}

/** Writes the log line and updates the metrics. */
export function recordOutcome(
  request: GatewayRequest,
  options: {
    log: EventLog;
    metrics: Metrics;
    state: GatewayState;
    outcome: string;
    details: OutcomeDetails;
  },
): void {
  const { log, metrics, state, outcome, details } = options;
  const nowMillis = performance.now();
  const tookMillis = nowMillis - request.arrivedAtMillis;
  const { target, load, ...rest } = details;
  log.info("request", {
    request: request.id,
    route: request.route.name,
    service: request.service,
    outcome,
    target: target?.record.id,
    targetVersion: target && formatStateVersion(target.version),
    inFlight: target?.inFlight(nowMillis),
    revision: request.revision,
    configAgeMillis: request.configAgeMillis,
    targetsAgeMillis: state.confirmations.loggedAgeMillis("targets", nowMillis),
    sends: request.sends,
    tookMillis: Math.round(tookMillis),
    load: load === undefined ? undefined : roundLoad(load),
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
