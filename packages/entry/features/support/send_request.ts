/**
 * Sends one caller's request in tests.
 */
import { request } from "undici";

/** Parts of a request that a test may choose. */
export interface SendOptions {
  method?: "GET" | "POST";
  body?: string;
  /** Client address. */
  client?: string;
  /** Idempotency key. */
  key?: string;
  member?: string;
  service?: string;
  firstSend?: boolean;
  headers?: Record<string, string>;
}

/** The reply to a caller's request. */
export interface Reply {
  status: number;
  code: number;
  result: string;
  outcome: string;
  text: string;
  headers: Record<string, string | string[] | undefined>;
}

/** Sends to the caller address of an entry. */
export async function send(
  address: string,
  path: string,
  options: SendOptions = {},
): Promise<Reply> {
  const headers: Record<string, string> = { ...options.headers };
  headers["bamboolane-client"] = options.client ?? "10.1.0.1";
  if (options.key !== undefined) headers["idempotency-key"] = options.key;
  if (options.firstSend) headers["bamboolane-first-send"] = "true";
  const { member = "m1", service = "s1" } = options;
  const reply = await request(
    `http://${address}/v1/run/${member}/${service}${path}`,
    {
      method: options.method ?? "GET",
      headers,
      body: options.body,
    },
  );
  const text = await reply.body.text();
  const code = Number(reply.headers["bamboolane-code"] ?? -1);
  return {
    status: reply.statusCode,
    code,
    result: code === 0
      ? "ok"
      : (JSON.parse(text || "{}") as { result?: string }).result ?? "",
    outcome: String(reply.headers["bamboolane-outcome"]),
    text,
    headers: reply.headers,
  };
}

/** Fetches one ticket from an entry. */
export async function fetchTicket(address: string): Promise<string> {
  const reply = await request(`http://${address}/v1/tickets`, {
    method: "POST",
    body: JSON.stringify({ member: "m1", service: "s1", count: 1 }),
  });
  const answer = await reply.body.json() as { tickets: string[] };
  return answer.tickets[0];
}
