/**
 * Answers look-ups: which entries a caller should use, best first, for how
 * long, and according to which revision. Answers are cached by member, service
 * and home until the revision, the membership or the reachability changes, and at
 * most until the end of the UTC day, when exceptions expire.
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
  /** Data centres that are considered unreachable. */
  unreachable: () => Set<string>;
}

/** A look-up's parameters. */
export interface LookupQuery {
  member: string;
  service: string;
  client: string;
}

const DAY_MILLIS = 86_400_000;
/** Further answers are not cached. */
const MAX_CACHED_ANSWERS = 10_000;

interface CachedAnswer {
  body: Buffer;
  /** Id of the entry listed first, for the log; `none` if there is none. */
  firstEntry: string;
}

/**
 * Reads the parameters from a look-up's URL. Throws `badRequest` if one is
 * missing.
 */
export function parseLookup(url: string): LookupQuery {
  const params = new URLSearchParams(url.slice(url.indexOf("?") + 1));
  const read = (name: string) => {
    const value = params.get(name);
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
  readonly #cache = new Map<string, CachedAnswer>();
  #cacheVersion = "";

  constructor(options: LookupHandlerOptions) {
    this.#options = options;
  }

  /** Answers one look-up. Throws a {@link SteeringError}. */
  handle(url: string, response: ServerResponse): void {
    const query = parseLookup(url);
    const { answer, home } = this.find(query);
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": answer.body.byteLength,
    });
    response.end(answer.body);
    const { context } = this.#options;
    context.metrics.count("bamboolane_lookups", 1);
    if (!context.settings.log.lookups) return;
    context.log.info("lookup", {
      ...query,
      home,
      chosen: answer.firstEntry,
      why: "nearest-to-home",
    });
  }

  /**
   * Returns the answer and the home data centre of the client. Throws a
   * {@link SteeringError}.
   */
  find(query: LookupQuery): { answer: CachedAnswer; home: string } {
    const state = this.#options.state();
    if (state === undefined) {
      throw new SteeringError(ResultCode.noConfiguration);
    }
    const service = state.service(query.member, query.service);
    const home = state.homeOf(query.client).dataCentre;
    this.#clearStaleCache(state);
    const key = `${query.member}/${service.id}/${home}`;
    const known = this.#cache.get(key);
    if (known) return { answer: known, home };
    const answer = this.#build(state, { ...query, home });
    if (this.#cache.size < MAX_CACHED_ANSWERS) this.#cache.set(key, answer);
    return { answer, home };
  }

  #clearStaleCache(state: SteeringState): void {
    const { context, table } = this.#options;
    const dayNumber = Math.floor(context.clock.wallMillis() / DAY_MILLIS);
    const version = [
      state.revision,
      table.membershipVersion,
      dayNumber,
      this.#unreachableKey(),
    ].join("/");
    if (version === this.#cacheVersion) return;
    this.#cacheVersion = version;
    this.#cache.clear();
  }

  #unreachableKey(): string {
    const unreachable = this.#options.unreachable();
    return unreachable.size === 0 ? "" : [...unreachable].sort().join(",");
  }

  #build(
    state: SteeringState,
    query: LookupQuery & { home: string },
  ): CachedAnswer {
    const unreachable = this.#options.unreachable();
    const entries = rankEntries(state.fleet, query, {
      instances: this.#options.table.live().filter((i) =>
        !unreachable.has(i.dataCentre)
      ),
    });
    const { values } = state.defaultsFor(query.member, query.service, {
      wallMillis: this.#options.context.clock.wallMillis(),
    });
    const body = Buffer.from(JSON.stringify({
      entries,
      home: query.home,
      ttlSeconds: values.lookupTtlSeconds,
      revision: state.revision,
    }));
    return { body, firstEntry: entries[0]?.id ?? "none" };
  }
}
