/**
 * A caller as the users run them: looks up entries, caches the answer, keeps
 * tickets, sends requests, resends what proved not to have run, and checks
 * each answer against its own request.
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
  /** Mark that the answer must echo; empty for a GET. */
  body: string;
  client: string;
  /** Key for non-idempotent calls. */
  key: "none" | "ticket" | "own";
  timeoutMillis: number;
}

/** How a call ended. */
export interface CallResult {
  call: Call;
  outcome: Outcome;
  code: number;
  status: number;
  /** The answer was another request's, or not whole. */
  wrong: boolean;
  durationMillis: number;
  sends: number;
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
  /** Addresses of some entries, for the first look-up. */
  seeds: string[];
  /** Sends of one call at most. */
  maxSends: number;
}

const ticketBatch = 8;
const resendPauseMillis = 50;

interface Sent {
  outcome: Outcome;
  code: number;
  status: number;
  wrong: boolean;
  detail: string;
}

/** Sends calls. */
export class Caller {
  readonly #options: CallerOptions;
  readonly #agent = new Agent({ connections: 64, connectTimeout: 1000 });
  readonly #lookups = new Map<string, Lookup>();
  readonly #tickets = new Map<string, Ticket[]>();
  #seed = 0;
  #lookupFailure = "";
  #key = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  /** Runs one call to its end. */
  async run(call: Call): Promise<CallResult> {
    const startedAt = performance.now();
    let last: Sent = unsent("no entry answered the look-up");
    let sends = 0;
    let ticket: Ticket | undefined;
    const ownKey = `${call.client}-${process.pid}-${Date.now()}-${++this.#key}`;
    while (
      sends < this.#options.maxSends &&
      performance.now() - startedAt < call.timeoutMillis
    ) {
      const entries = await this.#lookUp(call);
      const address = entries[sends % Math.max(1, entries.length)]?.address;
      if (address === undefined) {
        last = unsent(`no entry answered the look-up: ${this.#lookupFailure}`);
        break;
      }
      if (call.key === "ticket") {
        ticket ??= await this.#takeTicket(call, entries);
      }
      if (call.key === "ticket" && ticket === undefined) break;
      const key = call.key === "none" ? undefined : ticket?.ticket ?? ownKey;
      const to = ticket !== undefined && sends === 0 ? ticket.address : address;
      last = await this.#send(call, { address: to, key, first: sends === 0 });
      sends++;
      if (last.outcome === "ran" || last.wrong) break;
      if (last.outcome === "unknown" && call.key === "none") break;
      if (last.outcome === "unknown" && sends > 2) break;
      // A ticket that is void or expired unused can be replaced by a new one.
      if (last.outcome === "not-run") ticket = undefined;
      this.#lookups.clear();
      await new Promise((resolve) => setTimeout(resolve, resendPauseMillis));
    }
    return {
      call,
      ...last,
      sends,
      durationMillis: performance.now() - startedAt,
    };
  }

  async #lookUp(call: Call): Promise<Lookup["entries"]> {
    const key = `${call.member}/${call.service}/${call.client}`;
    const known = this.#lookups.get(key);
    if (known && known.expiresAtMillis > performance.now()) {
      return known.entries;
    }
    const query = new URLSearchParams({
      member: call.member,
      service: call.service,
      client: call.client,
    });
    // Taken once: with a shared counter the tries of one call may all hit one seed.
    const first = this.#seed++;
    const { seeds } = this.#options;
    for (let attempt = 0; attempt < seeds.length; attempt++) {
      const seed = seeds[(first + attempt) % seeds.length];
      try {
        const reply = await request(`http://${seed}/v1/lookup?${query}`, {
          dispatcher: this.#agent,
          signal: AbortSignal.timeout(1000),
        });
        const answer = await reply.body.json() as {
          entries?: Lookup["entries"];
          ttlSeconds?: number;
        };
        if (reply.statusCode !== 200 || !answer.entries?.length) {
          this.#lookupFailure = `${seed}: ${reply.statusCode} ${
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
        this.#lookupFailure = `${seed}: ${error}`;
      }
    }
    return known?.entries ?? [];
  }

  async #takeTicket(
    call: Call,
    entries: Lookup["entries"],
  ): Promise<Ticket | undefined> {
    const key = `${call.member}/${call.service}`;
    const kept = (this.#tickets.get(key) ?? []).filter((t) =>
      t.expiresAtMillis > performance.now()
    );
    if (kept.length === 0) {
      kept.push(...await this.#fetchTickets(call, entries));
    }
    this.#tickets.set(key, kept);
    return kept.pop();
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
            count: ticketBatch,
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
    options: { address: string; key: string | undefined; first: boolean },
  ): Promise<Sent> {
    const headers: Record<string, string> = {
      "bamboolane-client": call.client,
      "bamboolane-timeout-millis": String(call.timeoutMillis),
    };
    if (options.key !== undefined) headers["idempotency-key"] = options.key;
    if (options.first) headers["bamboolane-first-send"] = "true";
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
      return judge(call, {
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
        wrong: false,
        detail: `${code} ${error}`,
      };
    }
  }
}

function unsent(detail: string): Sent {
  return { outcome: "not-run", code: -1, status: 0, wrong: false, detail };
}

function judge(
  call: Call,
  reply: {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    text: string;
  },
): Sent {
  const code = Number(reply.headers["bamboolane-code"] ?? -1);
  const outcome = (reply.headers["bamboolane-outcome"] ?? "unknown") as Outcome;
  const detail = code === 0 ? "" : reply.text.slice(0, 300);
  const answered = code === 0 && reply.status === 200;
  const prefix = JSON.stringify({ path: call.path, echo: call.body }).slice(
    0,
    -1,
  );
  const wrong = answered && !reply.text.startsWith(prefix);
  return { outcome, code, status: reply.status, wrong, detail };
}
