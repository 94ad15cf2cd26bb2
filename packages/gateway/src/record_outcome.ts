/**
 * The line and the counters of a request's end: with the request's id, one can
 * tell from the line what was decided and on which state.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import type { TargetState } from "@bamboolane/steering/target_state";
import type { GatewayRequest } from "./gateway_request.ts";
import type { GatewayState } from "./gateway_state.ts";

/** What is known of an outcome besides the request. */
export interface OutcomeDetails {
  target?: TargetState;
  status?: number;
  reason?: string;
  retryAfterMillis?: number;
  /** Requests that waited before this one. */
  ahead?: number;
  /** Requests at the service's targets, in parts of their slots. */
  load?: number;
  expectedMillis?: number;
  /** By when the answer would have been useful. */
  boundMillis?: number;
}

/** A load with as many digits as a log line needs. */
export function roundLoad(load: number): number {
  return Math.round(load * 100) / 100;
}

/** Writes the line and counts the request. */
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
    targetVersion: target?.version,
    inFlight: target?.inFlight(nowMillis),
    revision: state.config?.revision,
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
