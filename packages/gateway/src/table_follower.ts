/**
 * Follows one table of the store: reads a snapshot, then watches for changes
 * while this entry is a follower, and reads a snapshot again after a gap in the
 * history. Any entry can ask for the table once, besides what is under way.
 * Versions never decrease: an answer that is older than the known version comes
 * from a stale replica, and the read is repeated.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import { formatStateVersion } from "@bamboolane/steering/state_version";
import { StoreClock } from "@bamboolane/steering/store_clock";
import type { StateRow } from "@bamboolane/steering/steering_config";
import type { CallOptions, FollowedTable, StateStore } from "./state_store.ts";

/** When an answer of the store was true. */
export interface AnswerTimes {
  version: number;
  /** When the answer was true, on this entry's clock. */
  answeredAtMillis: number;
  /** The store's clock in this answer, if it tells. */
  storeMillis?: number;
  /** The store's clock in the answer before. */
  previousStoreMillis?: number;
}

/** Receives what a follower reads. */
export interface TableSink {
  /** All rows of the table as of a version. */
  onSnapshot(rows: StateRow[], times: AnswerTimes): void;
  /** Changes up to a version; without rows if there were none. */
  onChanges(rows: StateRow[], times: AnswerTimes): void;
  /**
   * Called with false after each failed call, and with true when the store
   * answers again, before the rows of that answer.
   */
  onReachabilityChange(reachable: boolean): void;
}

/** Options of {@link TableFollower}. */
export interface TableFollowerOptions {
  store: StateStore;
  table: FollowedTable;
  sink: TableSink;
  log: EventLog;
  /** True while this entry follows the table for its data centre. */
  isFollower: () => boolean;
  /** Maximum wait of one watch. */
  watchMillis: number;
  random: () => number;
}

/** Delay after the first failed call; doubles with each further one up to the maximum. */
const INITIAL_RETRY_MILLIS = 100;
const MAX_RETRY_MILLIS = 800;
/**
 * Minimum time between two watches: bounds calls while many rows change; a
 * tenth of the shortest time within which a change must take effect.
 */
const MIN_WATCH_INTERVAL_MILLIS = 250;
/** How often an inactive follower checks whether it has to follow the table. */
const INACTIVE_POLL_MILLIS = 100;

/** Task that follows one table until it is stopped. */
export class TableFollower {
  readonly #options: TableFollowerOptions;
  #version = -1;
  #stopped = false;
  #failures = 0;
  #lastSuccessAtMillis = 0;
  readonly #clock = new StoreClock();
  #storeMillis: number | undefined;
  #needsSnapshot = true;
  /** Single calls in a row without an answer. */
  #unansweredAsks = 0;

  constructor(options: TableFollowerOptions) {
    this.#options = options;
  }

  /** Newest version seen; -1 before the first read. */
  get version(): number {
    return this.#version;
  }

  /**
   * Records that all rows up to `version` are applied, also if another entry
   * delivered them; ignored before the first snapshot.
   */
  advance(version: number): void {
    if (this.#version >= 0 && version > this.#version) this.#version = version;
  }

  start(): void {
    this.#run().catch((error: Error) =>
      this.#options.log.error("follow_ended", {
        table: this.#options.table,
        error: error.message,
      })
    );
  }

  stop(): void {
    this.#stopped = true;
  }

  /**
   * Asks for changes once, on a new connection and without waiting for any; for all rows
   * if the call before got no answer, as the store may serve one kind of call only.
   * Resolves to false without an answer.
   */
  async ask(): Promise<boolean> {
    const askedAtMillis = performance.now();
    const readsAll = this.#needsSnapshot || this.#unansweredAsks % 2 === 1;
    this.#unansweredAsks++;
    try {
      if (!readsAll) await this.#watch({ waitMillis: 0, newConnection: true });
      if (readsAll || this.#needsSnapshot) {
        await this.#readSnapshot({ newConnection: true });
      }
      this.#unansweredAsks = 0;
      return true;
    } catch (error) {
      if (!this.#stopped) this.#recordFailure(error as Error, askedAtMillis);
      return false;
    }
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      const askedAtMillis = performance.now();
      try {
        if (!this.#options.isFollower() && !this.#needsSnapshot) {
          await pause(INACTIVE_POLL_MILLIS);
        } else if (this.#needsSnapshot) {
          await this.#readSnapshot();
          if (this.#needsSnapshot) await pause(INITIAL_RETRY_MILLIS);
        } else {
          await this.#follow();
        }
      } catch (error) {
        if (this.#stopped) return;
        this.#recordFailure(error as Error, askedAtMillis);
        const backoffMillis = Math.min(
          MAX_RETRY_MILLIS,
          INITIAL_RETRY_MILLIS *
            2 ** Math.min(8, Math.max(0, this.#failures - 1)),
        );
        await pause(backoffMillis * (0.5 + this.#options.random()));
      }
    }
  }

  /** Leaves the need for a snapshot if the answer is stale. */
  async #readSnapshot(options: CallOptions = {}): Promise<void> {
    const { store, table, sink } = this.#options;
    const askedAtMillis = performance.now();
    const snapshot = await store.read(table, options);
    this.#recordSuccess();
    if (snapshot.version < this.#version) {
      return this.#logStaleRead(snapshot.version);
    }
    this.#version = snapshot.version;
    this.#needsSnapshot = false;
    sink.onSnapshot(snapshot.rows, this.#timesOf(snapshot, askedAtMillis));
  }

  #logStaleRead(version: number): void {
    this.#options.log.info("stale_read", {
      table: this.#options.table,
      version: formatStateVersion(version),
      known: formatStateVersion(this.#version),
    });
  }

  async #follow(): Promise<void> {
    const changeCount = await this.#watch({
      waitMillis: this.#options.watchMillis,
    });
    if (changeCount > 0) await pause(MIN_WATCH_INTERVAL_MILLIS);
  }

  /** Returns the number of changes; after a gap, a snapshot is needed. */
  async #watch(
    options: CallOptions & { waitMillis: number },
  ): Promise<number> {
    const { store, table, sink, log } = this.#options;
    const askedAtMillis = performance.now();
    const afterVersion = this.#version;
    const result = await store.watch(table, afterVersion, options);
    this.#recordSuccess();
    switch (result.kind) {
      case "gap":
        log.info("history_gap", {
          table,
          version: formatStateVersion(afterVersion),
        });
        this.#needsSnapshot = true;
        return 0;
      case "changes":
        if (result.version < afterVersion) {
          this.#logStaleRead(result.version);
          return 0;
        }
        sink.onChanges(result.rows, this.#timesOf(result, askedAtMillis));
        this.advance(result.version);
        return result.rows.length;
    }
  }

  #timesOf(
    answer: { version: number; storeMillis?: number },
    askedAtMillis: number,
  ): AnswerTimes {
    const { version, storeMillis } = answer;
    const previousStoreMillis = this.#storeMillis;
    this.#storeMillis = storeMillis;
    const answeredAtMillis = this.#clock.answeredAtMillis({
      storeMillis,
      askedAtMillis,
      receivedAtMillis: performance.now(),
    });
    return { version, answeredAtMillis, storeMillis, previousStoreMillis };
  }

  #recordSuccess(): void {
    this.#lastSuccessAtMillis = performance.now();
    if (this.#failures === 0) return;
    this.#options.log.info("store_regained", {
      table: this.#options.table,
      failures: this.#failures,
    });
    this.#failures = 0;
    this.#options.sink.onReachabilityChange(true);
  }

  /** Records a call without an answer, unless a later one had one: the store is reached. */
  #recordFailure(error: Error, askedAtMillis: number): void {
    const { table, log } = this.#options;
    if (askedAtMillis < this.#lastSuccessAtMillis) {
      return log.info("store_call_failed", { table, error: error.message });
    }
    this.#failures++;
    this.#options.sink.onReachabilityChange(false);
    if (this.#failures > 1) return;
    log.warn("store_lost", {
      table,
      error: error.message,
      version: formatStateVersion(this.#version),
      ageMillis: Math.round(performance.now() - this.#lastSuccessAtMillis),
    });
  }
}

function pause(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, millis));
}
