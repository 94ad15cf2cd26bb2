/**
 * Matches a request to a route: the longest path prefix configured for its
 * host. The index is built once for each revision.
 */
import type { SteeringRoute } from "./steering_config.ts";

/** Routes of one revision, indexed by host. */
export class RouteIndex {
  readonly #byHost = new Map<string, SteeringRoute[]>();

  constructor(routes: readonly SteeringRoute[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const list = this.#byHost.get(host);
      if (list) list.push(route);
      else this.#byHost.set(host, [route]);
    }
    for (const list of this.#byHost.values()) {
      list.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /** Returns undefined if no route of the host matches. */
  match(host: string, path: string): SteeringRoute | undefined {
    const routes = this.#byHost.get(withoutPort(host).toLowerCase());
    return routes?.find((route) => path.startsWith(route.prefix));
  }
}

function withoutPort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon > 0 && /^\d+$/.test(host.slice(colon + 1))
    ? host.slice(0, colon)
    : host;
}
