/**
 * Finds what makes a configuration unusable. A store may hold one that its writer did not
 * finish or check; the revision before stays in force then. Route types that are not
 * known are no problem: their requests are not repeated.
 */
import type { SteeringConfig, SteeringRoute } from "./steering_config.ts";

/** Returns what is wrong with a configuration and where; undefined if it can be used. */
export function findConfigProblem(config: SteeringConfig): string | undefined {
  const services = new Set<unknown>(config.services.map(({ name }) => name));
  if ([...services].some((name) => !isName(name))) {
    return "a service without name";
  }
  if (services.size < config.services.length) return "two services of one name";
  const places = new Set<string>();
  for (const route of config.routes) {
    const problem = findRouteProblem(route, services);
    if (problem !== undefined) return `route ${route.name}: ${problem}`;
    const place = `${route.host.toLowerCase()} ${route.prefix}`;
    if (places.has(place)) return `route ${route.name}: its place is taken`;
    places.add(place);
  }
  return undefined;
}

function findRouteProblem(
  route: SteeringRoute,
  services: ReadonlySet<unknown>,
): string | undefined {
  if (!isName(route.name) || !isName(route.host)) return "no name or host";
  const { prefix } = route;
  if (!isName(prefix) || !prefix.startsWith("/") || !prefix.endsWith("/")) {
    return "a prefix without a slash at its ends";
  }
  if (!isPositive(route.timeoutMillis)) return "no timeout";
  if (!isPositive(route.objectiveMillis)) return "no latency objective";
  if (!Number.isInteger(route.attempts) || route.attempts < 1) {
    return "no attempts";
  }
  if (!Number.isFinite(route.priority)) return "no priority";
  if (!Array.isArray(route.allowedRegions)) return "no list of regions";
  const unknown = route.parts.find(({ service }) => !services.has(service));
  if (unknown !== undefined) return `unknown service ${unknown.service}`;
  const weights = route.parts.map(({ weight }) => weight);
  const areValid = weights.every((weight) =>
    Number.isFinite(weight) && weight >= 0
  );
  return areValid && weights.some((weight) => weight > 0)
    ? undefined
    : "no weights";
}

function isName(value: unknown): value is string {
  return typeof value === "string" && value !== "";
}

function isPositive(value: unknown): boolean {
  return Number.isFinite(value) && (value as number) > 0;
}
