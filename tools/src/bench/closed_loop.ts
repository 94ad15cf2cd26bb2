/**
 * Load in a closed loop over keep-alive connections.
 */
import { Agent, request } from "undici";

/** One measured load. */
export interface LoopResult {
  requestsPerSecond: number;
  /** Unit: milliseconds. */
  latencies: number[];
  failures: number;
}

/** Options of {@link runLoop}. */
export interface LoopOptions {
  urls: () => string;
  headers?: Record<string, string>;
  connections: number;
  durationMillis: number;
  /** Requests under way on one connection. */
  pipelining?: number;
}

/** Sends requests one after another on each connection. */
export async function runLoop(options: LoopOptions): Promise<LoopResult> {
  const agent = new Agent({
    connections: options.connections,
    pipelining: options.pipelining ?? 1,
  });
  const end = performance.now() + options.durationMillis;
  const latencies: number[] = [];
  let failures = 0;
  const startedAt = performance.now();
  async function worker() {
    while (performance.now() < end) {
      const sentAt = performance.now();
      try {
        const reply = await request(options.urls(), {
          dispatcher: agent,
          headers: options.headers,
        });
        await reply.body.dump();
        if (reply.statusCode !== 200) failures++;
      } catch {
        failures++;
      }
      latencies.push(performance.now() - sentAt);
    }
  }
  const workers = options.connections * (options.pipelining ?? 1);
  await Promise.all(Array.from({ length: workers }, () => worker()));
  const seconds = (performance.now() - startedAt) / 1000;
  await agent.destroy();
  return { requestsPerSecond: latencies.length / seconds, latencies, failures };
}
