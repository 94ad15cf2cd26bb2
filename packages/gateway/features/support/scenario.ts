/**
 * State that the steps of a scenario share: the gateways under test and the
 * answers that callers received.
 */
import { request } from "undici";
import type { RunningGateway } from "@bamboolane/gateway/start_gateway";
import type { TestEntry, TestGateway } from "./test_gateway.ts";

/** An answer as a caller received it. */
export interface Reply {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  tookMillis: number;
}

/** State of the running scenario. */
export const world = {
  system: undefined as unknown as TestGateway,
  replies: [] as Reply[],
};

let nextId = 0;

/** Waits on the real clock. */
export const pause = (millis: number) =>
  new Promise<void>((resolve) => setTimeout(resolve, millis));

/** The latest answer. */
export function lastReply(): Reply {
  return world.replies[world.replies.length - 1];
}

/** The gateway of an entry. */
export function gatewayOf(entry: string): RunningGateway {
  return (world.system.entries.get(entry) as TestEntry).gateway;
}

/** Options of {@link call}. */
export interface CallOptions {
  method?: "GET" | "POST";
  deadlineMillis?: number;
  headers?: Record<string, string>;
  body?: string;
}

/** Sends one request to an entry and reads the answer. */
export async function call(
  entry: string,
  path: string,
  options: CallOptions = {},
): Promise<Reply> {
  const startMillis = performance.now();
  const id = `r${nextId++}`;
  const reply = await request(
    `http://${world.system.settings(entry).listen.callers}${path}`,
    {
      method: options.method ?? "GET",
      headers: {
        host: "test.example",
        "test-request": id,
        "test-deadline": String(options.deadlineMillis ?? 1500),
        ...options.headers,
      },
      body: options.body ?? null,
    },
  );
  const body = await reply.body.text();
  return {
    status: reply.statusCode,
    headers: { ...reply.headers, "sent-id": id },
    body,
    tookMillis: performance.now() - startMillis,
  };
}
