/**
 * Decides a request's lane and whether it may run more than once.
 */
import { Lane, type ServiceConfig } from "@bamboolane/types/fleet";

/** Class of a request and the reason for it. */
export interface RequestClass {
  lane: Lane;
  idempotent: boolean;
  /** Groups requests that are expected to take about the same time. */
  routeKey: string;
  /** `declared` if a route rule of the service matches and decides the lane. */
  reason: "declared" | "learned-long" | "default";
}

const SAFE_METHODS = new Set(["GET", "HEAD", "OPTIONS"]);

/** First segment of a path, with its leading slash. */
function firstSegment(path: string): string {
  const end = path.slice(1).search(/[/?]/);
  return end < 0 ? path : path.slice(0, end + 1);
}

/**
 * Classifies a request by the service's route rules and by learned durations. A
 * route learned as long is bulk even if its rule declares it interactive.
 */
export function classifyRequest(
  service: ServiceConfig,
  request: { method: string; path: string },
  options: { isLong: (routeKey: string) => boolean },
): RequestClass {
  const rule = service.routes.find((route) =>
    request.path.startsWith(route.pathPrefix) &&
    (route.methods === undefined || route.methods.includes(request.method))
  );
  const routeKey = `${service.id} ${request.method} ${
    rule?.pathPrefix ?? firstSegment(request.path)
  }`;
  const idempotent = rule?.idempotent ?? SAFE_METHODS.has(request.method);
  if (rule?.lane === Lane.bulk) {
    return { lane: Lane.bulk, idempotent, routeKey, reason: "declared" };
  }
  if (options.isLong(routeKey)) {
    return { lane: Lane.bulk, idempotent, routeKey, reason: "learned-long" };
  }
  const reason = rule === undefined ? "default" : "declared";
  return { lane: Lane.interactive, idempotent, routeKey, reason };
}
