/**
 * Follows one table of the store: reads a snapshot, then watches for changes
 * while this entry is a follower, and reads a snapshot again after a gap in the
 * history. Versions never decrease: an answer that is older than the known
 * version comes from a stale replica, and the read is repeated.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import { formatStateVersion } from "@bamboolane/steering/state_version";
import type { StateRow } from "@bamboolane/steering/steering_config";
import type { FollowedTable, StateStore } from "./state_store.ts";

/** When an answer of the store was true. */
export interface AnswerTimes {
  version: number;
  /** When the store was asked. */
  askedAtMillis: number;
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
  random: () => number;
}

/** Maximum wait of one watch; also the time within which an outage is detected. */
const MAX_WATCH_MILLIS = 2000;
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
  #storeMillis: number | undefined;

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

  async #run(): Promise<void> {
    let needsSnapshot = true;
    while (!this.#stopped) {
      try {
        if (!this.#options.isFollower() && !needsSnapshot) {
          await pause(INACTIVE_POLL_MILLIS);
        } else if (needsSnapshot) {
          needsSnapshot = !await this.#readSnapshot();
          if (needsSnapshot) await pause(INITIAL_RETRY_MILLIS);
        } else {
          needsSnapshot = await this.#watch();
        }
      } catch (error) {
        if (this.#stopped) return;
        this.#recordFailure(error as Error);
        const backoffMillis = Math.min(
          MAX_RETRY_MILLIS,
          INITIAL_RETRY_MILLIS * 2 ** Math.min(8, this.#failures - 1),
        );
        await pause(backoffMillis * (0.5 + this.#options.random()));
      }
    }
  }

  /** Returns false if the answer was stale. */
  async #readSnapshot(): Promise<boolean> {
    const { store, table, sink, log } = this.#options;
    const askedAtMillis = performance.now();
    const snapshot = await store.read(table);
    this.#recordSuccess();
    if (snapshot.version < this.#version) {
      log.info("stale_read", {
        table,
        version: formatStateVersion(snapshot.version),
        known: formatStateVersion(this.#version),
      });
      return false;
    }
    this.#version = snapshot.version;
    sink.onSnapshot(snapshot.rows, this.#timesOf(snapshot, askedAtMillis));
    return true;
  }

  /** Returns true if a new snapshot is needed. */
  async #watch(): Promise<boolean> {
    const { store, table, sink, log } = this.#options;
    const askedAtMillis = performance.now();
    const result = await store.watch(table, this.#version, {
      waitMillis: MAX_WATCH_MILLIS,
    });
    this.#recordSuccess();
    switch (result.kind) {
      case "gap":
        log.info("history_gap", {
          table,
          version: formatStateVersion(this.#version),
        });
        return true;
      case "changes":
        sink.onChanges(result.rows, this.#timesOf(result, askedAtMillis));
        if (result.rows.length > 0) await pause(MIN_WATCH_INTERVAL_MILLIS);
        this.advance(result.version);
        return false;
    }
  }

  #timesOf(
    answer: { version: number; storeMillis?: number },
    askedAtMillis: number,
  ): AnswerTimes {
    const previousStoreMillis = this.#storeMillis;
    this.#storeMillis = answer.storeMillis;
    const { version, storeMillis } = answer;
    return { version, askedAtMillis, storeMillis, previousStoreMillis };
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

  #recordFailure(error: Error): void {
    this.#failures++;
    this.#options.sink.onReachabilityChange(false);
    if (this.#failures > 1) return;
    this.#options.log.warn("store_lost", {
      table: this.#options.table,
      error: error.message,
      version: formatStateVersion(this.#version),
      ageMillis: Math.round(performance.now() - this.#lastSuccessAtMillis),
    });
  }
}

function pause(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, millis));
}
