/**
 * Answers look-ups: which entries a caller should use, best first, for how
 * long, and by which revision. Answers are built once per home and reused
 * until the revision or the membership changes.
 */
import type { ServerResponse } from "node:http";
import { Buffer } from "node:buffer";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import { rankEntries } from "@bamboolane/locate/rank_entries";
import type { MembershipTable } from "@bamboolane/membership/membership_table";
import type { EntryContext } from "./context.ts";
import type { SteeringState } from "./steering_state.ts";

/** Options of {@link LookupHandler}. */
export interface LookupHandlerOptions {
  context: EntryContext;
  state: () => SteeringState | undefined;
  table: MembershipTable;
  unreachable: () => Set<string>;
}

/** A look-up's parameters. */
export interface LookupQuestion {
  member: string;
  service: string;
  client: string;
}

const maxCached = 10_000;

interface Cached {
  body: Buffer;
  first: string;
}

/** Reads the parameters of a look-up's URL. */
export function parseLookup(url: string): LookupQuestion {
  const query = new URLSearchParams(url.slice(url.indexOf("?") + 1));
  const read = (name: string) => {
    const value = query.get(name);
    if (value === null || value === "") {
      throw new SteeringError(
        ResultCode.badRequest,
        `Parameter "${name}" is missing.`,
      );
    }
    return value;
  };
  return {
    member: read("member"),
    service: read("service"),
    client: read("client"),
  };
}

/** Serves look-ups. */
export class LookupHandler {
  readonly #options: LookupHandlerOptions;
  readonly #cache = new Map<string, Cached>();
  #cachedFor = "";

  constructor(options: LookupHandlerOptions) {
    this.#options = options;
  }

  /** Answers one look-up. */
  handle(url: string, response: ServerResponse): void {
    const question = parseLookup(url);
    const { answer, home } = this.find(question);
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": answer.body.byteLength,
    });
    response.end(answer.body);
    const { context } = this.#options;
    context.metrics.count("bamboolane_lookups", 1);
    if (!context.settings.log.lookups) return;
    context.log.info("lookup", {
      ...question,
      home,
      chosen: answer.first,
      why: "nearest-to-home",
    });
  }

  /** Finds the answer and the home that led to it. */
  find(question: LookupQuestion): { answer: Cached; home: string } {
    const state = this.#options.state();
    if (state === undefined) {
      throw new SteeringError(ResultCode.noConfiguration);
    }
    const service = state.service(question.member, question.service);
    const home = state.homeOf(question.client).dataCentre;
    this.#dropStale(state);
    const key = `${question.member}/${service.id}/${home}`;
    const known = this.#cache.get(key);
    if (known) return { answer: known, home };
    const answer = this.#build(state, { ...question, home });
    if (this.#cache.size < maxCached) this.#cache.set(key, answer);
    return { answer, home };
  }

  #dropStale(state: SteeringState): void {
    const { table } = this.#options;
    const version =
      `${state.revision}/${table.membershipVersion}/${this.#unreachableKey()}`;
    if (version === this.#cachedFor) return;
    this.#cachedFor = version;
    this.#cache.clear();
  }

  #unreachableKey(): string {
    const unreachable = this.#options.unreachable();
    return unreachable.size === 0 ? "" : [...unreachable].sort().join(",");
  }

  #build(
    state: SteeringState,
    question: LookupQuestion & { home: string },
  ): Cached {
    const unreachable = this.#options.unreachable();
    const entries = rankEntries(state.fleet, question, {
      instances: this.#options.table.live().filter((i) =>
        !unreachable.has(i.dataCentre)
      ),
    });
    const { values } = state.defaultsFor(question.member, question.service, {
      wallMillis: this.#options.context.clock.wallMillis(),
    });
    const body = Buffer.from(JSON.stringify({
      entries,
      home: question.home,
      ttlSeconds: values.lookupTtlSeconds,
      revision: state.revision,
    }));
    return { body, first: entries[0]?.id ?? "none" };
  }
}
