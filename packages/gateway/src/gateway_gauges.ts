/**
 * Gauges of what a gateway knows and does.
 */
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import type { GatewayState } from "./gateway_state.ts";
import type { RequestRunner } from "./request_runner.ts";

/** Registers the gauges. */
export function registerGauges(
  metrics: Metrics,
  { state, runner }: { state: GatewayState; runner: RequestRunner },
): void {
  metrics.gauge("bamboolane_revision", () => state.config?.revision ?? 0);
  metrics.gauge("bamboolane_in_flight", () => runner.inFlight);
  metrics.gauge("bamboolane_limited_targets", () => state.limitedTargetCount);
  metrics.gauge("bamboolane_leaving_targets", () => state.leavingTargetCount);
  metrics.gauge(
    "bamboolane_pausing_targets",
    () => state.pausingTargetCount(performance.now()),
  );
  metrics.gauge(
    "bamboolane_unreachable_targets",
    () => state.unreachableTargetCount,
  );
  metrics.gauge(
    "bamboolane_live_instances",
    () => state.members.serving(performance.now()).length,
  );
}
