/**
 * Closed-loop load over keep-alive connections.
 */
import { Agent, request } from "undici";

/** Result of {@link runClosedLoop}. */
export interface LoopResult {
  requestsPerSecond: number;
  /** Latencies of all requests, those that failed included. */
  latenciesMillis: number[];
  /** Requests that failed or weren't answered with 200. */
  failures: number;
}

/** Options of {@link runClosedLoop}. */
export interface LoopOptions {
  /** Returns the URL of the next request. */
  nextUrl: () => string;
  headers?: Record<string, string>;
  connections: number;
  durationMillis: number;
  /** Requests in flight on one connection; 1 by default. */
  pipelining?: number;
}

/** Sends the next request on a connection as soon as one is answered. */
export async function runClosedLoop(options: LoopOptions): Promise<LoopResult> {
  const agent = new Agent({
    connections: options.connections,
    pipelining: options.pipelining ?? 1,
  });
  const endAtMillis = performance.now() + options.durationMillis;
  const latenciesMillis: number[] = [];
  let failures = 0;
  const startedAtMillis = performance.now();
  async function worker() {
    while (performance.now() < endAtMillis) {
      const sentAtMillis = performance.now();
      try {
        const response = await request(options.nextUrl(), {
          dispatcher: agent,
          headers: options.headers,
        });
        await response.body.dump();
        if (response.statusCode !== 200) failures++;
      } catch {
        failures++;
      }
      latenciesMillis.push(performance.now() - sentAtMillis);
    }
  }
  const workers = options.connections * (options.pipelining ?? 1);
  await Promise.all(Array.from({ length: workers }, () => worker()));
  const seconds = (performance.now() - startedAtMillis) / 1000;
  await agent.destroy();
  return {
    requestsPerSecond: latenciesMillis.length / seconds,
    latenciesMillis,
    failures,
  };
}
