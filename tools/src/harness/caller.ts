/**
 * A client that behaves like the users' clients: it looks up entries and
 * caches the answer, holds tickets, sends requests, resends those that did not
 * run or have an idempotency key, and verifies that each answer belongs to its
 * request.
 */
import process from "node:process";
import { Agent, request } from "undici";
import type { Outcome } from "@bamboolane/types/request";

/** One request of a workload. */
export interface Call {
  member: string;
  service: string;
  method: "GET" | "POST";
  path: string;
  /** Unique mark that the answer must echo; empty for a GET. */
  body: string;
  /** Client address for the look-up and the request header. */
  client: string;
  /** Idempotency key of the call: none, a ticket of an entry, or one that the client makes up. */
  key: "none" | "ticket" | "own";
  timeoutMillis: number;
}

/** Final result of a call. */
export interface CallResult {
  call: Call;
  outcome: Outcome;
  /** Result code of the system; -1 if the answer carries none. */
  code: number;
  /** HTTP status; 0 if there was no response. */
  status: number;
  /** The answer is truncated or belongs to another request. */
  invalid: boolean;
  durationMillis: number;
  /** Requests sent for the call, resends included. */
  sends: number;
  /** Start of an answer whose code is not 0, or why there is no answer; else empty. */
  detail: string;
}

interface Lookup {
  entries: { id: string; address: string }[];
  expiresAtMillis: number;
}

interface Ticket {
  ticket: string;
  address: string;
  expiresAtMillis: number;
}

/** Options of {@link Caller}. */
export interface CallerOptions {
  /** Addresses of the entries that look-ups are sent to. */
  lookupAddresses: string[];
  /** Maximum number of sends per call. */
  maxSends: number;
}

const TICKET_BATCH_SIZE = 8;
const RESEND_DELAY_MILLIS = 50;

interface SendResult {
  outcome: Outcome;
  code: number;
  status: number;
  invalid: boolean;
  detail: string;
}

/** Sends calls through the entries. */
export class Caller {
  readonly #options: CallerOptions;
  readonly #agent = new Agent({ connections: 64, connectTimeout: 1000 });
  readonly #lookups = new Map<string, Lookup>();
  readonly #tickets = new Map<string, Ticket[]>();
  #nextLookupIndex = 0;
  #lastLookupFailure = "";
  #seq = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  /** Sends a call, resends it where that is safe, and returns the final result. */
  async run(call: Call): Promise<CallResult> {
    const startedAtMillis = performance.now();
    let last: SendResult = unsentResult("no entry answered the look-up");
    let sends = 0;
    let ticket: Ticket | undefined;
    const ownKey = `${call.client}-${process.pid}-${Date.now()}-${++this.#seq}`;
    while (
      sends < this.#options.maxSends &&
      performance.now() - startedAtMillis < call.timeoutMillis
    ) {
      const entries = await this.#lookUp(call);
      const address = entries[sends % Math.max(1, entries.length)]?.address;
      if (address === undefined) {
        last = unsentResult(
          `no entry answered the look-up: ${this.#lastLookupFailure}`,
        );
        break;
      }
      if (call.key === "ticket") {
        ticket ??= await this.#takeTicket(call, entries);
      }
      if (call.key === "ticket" && ticket === undefined) break;
      const key = call.key === "none" ? undefined : ticket?.ticket ?? ownKey;
      const entryAddress = ticket !== undefined && sends === 0
        ? ticket.address
        : address;
      last = await this.#send(call, {
        address: entryAddress,
        key,
        isFirstSend: sends === 0,
      });
      sends++;
      if (last.outcome === "ran" || last.invalid) break;
      if (last.outcome === "unknown" && call.key === "none") break;
      if (last.outcome === "unknown" && sends > 2) break;
      // The call did not run, so a void or expired ticket can be replaced.
      if (last.outcome === "not-run") ticket = undefined;
      this.#lookups.clear();
      await new Promise((resolve) => setTimeout(resolve, RESEND_DELAY_MILLIS));
    }
    return {
      call,
      ...last,
      sends,
      durationMillis: performance.now() - startedAtMillis,
    };
  }

  async #lookUp(call: Call): Promise<Lookup["entries"]> {
    const key = `${call.member}/${call.service}/${call.client}`;
    const cached = this.#lookups.get(key);
    if (cached && cached.expiresAtMillis > performance.now()) {
      return cached.entries;
    }
    const query = new URLSearchParams({
      member: call.member,
      service: call.service,
      client: call.client,
    });
    // Read once per look-up: concurrent look-ups advance the shared counter, and
    // all attempts of one look-up could then go to the same entry.
    const startIndex = this.#nextLookupIndex++;
    const { lookupAddresses } = this.#options;
    for (let attempt = 0; attempt < lookupAddresses.length; attempt++) {
      const lookupAddress =
        lookupAddresses[(startIndex + attempt) % lookupAddresses.length];
      try {
        const reply = await request(
          `http://${lookupAddress}/v1/lookup?${query}`,
          {
            dispatcher: this.#agent,
            signal: AbortSignal.timeout(1000),
          },
        );
        const answer = await reply.body.json() as {
          entries?: Lookup["entries"];
          ttlSeconds?: number;
        };
        if (reply.statusCode !== 200 || !answer.entries?.length) {
          this.#lastLookupFailure = `${lookupAddress}: ${reply.statusCode} ${
            JSON.stringify(answer)
          }`;
          continue;
        }
        const lifetimeMillis = 1000 * (answer.ttlSeconds ?? 1);
        const entries = answer.entries;
        this.#lookups.set(key, {
          entries,
          expiresAtMillis: performance.now() + lifetimeMillis,
        });
        return entries;
      } catch (error) {
        this.#lastLookupFailure = `${lookupAddress}: ${error}`;
      }
    }
    return cached?.entries ?? [];
  }

  async #takeTicket(
    call: Call,
    entries: Lookup["entries"],
  ): Promise<Ticket | undefined> {
    const key = `${call.member}/${call.service}`;
    const unexpired = (this.#tickets.get(key) ?? []).filter((t) =>
      t.expiresAtMillis > performance.now()
    );
    if (unexpired.length === 0) {
      unexpired.push(...await this.#fetchTickets(call, entries));
    }
    this.#tickets.set(key, unexpired);
    return unexpired.pop();
  }

  async #fetchTickets(
    call: Call,
    entries: Lookup["entries"],
  ): Promise<Ticket[]> {
    for (const { address } of entries) {
      try {
        const reply = await request(`http://${address}/v1/tickets`, {
          method: "POST",
          dispatcher: this.#agent,
          signal: AbortSignal.timeout(1000),
          body: JSON.stringify({
            member: call.member,
            service: call.service,
            count: TICKET_BATCH_SIZE,
          }),
        });
        const answer = await reply.body.json() as {
          tickets?: string[];
          lifetimeMillis?: number;
        };
        if (reply.statusCode !== 200 || answer.tickets === undefined) continue;
        const expiresAtMillis = performance.now() +
          (answer.lifetimeMillis ?? 0) / 2;
        return answer.tickets.map((ticket) => ({
          ticket,
          address,
          expiresAtMillis,
        }));
      } catch {
        continue;
      }
    }
    return [];
  }

  async #send(
    call: Call,
    options: { address: string; key: string | undefined; isFirstSend: boolean },
  ): Promise<SendResult> {
    const headers: Record<string, string> = {
      "bamboolane-client": call.client,
      "bamboolane-timeout-millis": String(call.timeoutMillis),
    };
    if (options.key !== undefined) headers["idempotency-key"] = options.key;
    if (options.isFirstSend) headers["bamboolane-first-send"] = "true";
    const url =
      `http://${options.address}/v1/run/${call.member}/${call.service}${call.path}`;
    try {
      const reply = await request(url, {
        method: call.method,
        headers,
        body: call.method === "POST" ? call.body : undefined,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(call.timeoutMillis + 1000),
      });
      const text = await reply.body.text();
      return checkReply(call, {
        status: reply.statusCode,
        headers: reply.headers,
        text,
      });
    } catch (error) {
      const code = (error as { code?: string }).code ?? "";
      const outcome = code === "ECONNREFUSED" ? "not-run" : "unknown";
      return {
        outcome,
        code: -1,
        status: 0,
        invalid: false,
        detail: `${code} ${error}`,
      };
    }
  }
}

function unsentResult(detail: string): SendResult {
  return { outcome: "not-run", code: -1, status: 0, invalid: false, detail };
}

function checkReply(
  call: Call,
  reply: {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    text: string;
  },
): SendResult {
  const code = Number(reply.headers["bamboolane-code"] ?? -1);
  const outcome = (reply.headers["bamboolane-outcome"] ?? "unknown") as Outcome;
  const detail = code === 0 ? "" : reply.text.slice(0, 300);
  const succeeded = code === 0 && reply.status === 200;
  // The targets' answers begin with the path and the body of the request.
  const prefix = JSON.stringify({ path: call.path, echo: call.body }).slice(
    0,
    -1,
  );
  const invalid = succeeded && !reply.text.startsWith(prefix);
  return {
    outcome,
    code,
    status: reply.status,
    invalid,
    detail,
  };
}
