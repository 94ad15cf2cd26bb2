/**
 * Follows one table of the store: a full read, then changes as they come while
 * it is this entry's duty; a full read again after a gap. Versions never go
 * back: an answer that is older than what is known comes from a stale replica
 * and is asked again.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { StateRow } from "@bamboolane/steering/steering_config";
import type { StateStore, StateTable } from "./state_store.ts";

/** What the follower tells. */
export interface TableSink {
  /** All rows of the table as of `version`. */
  onWhole(rows: StateRow[], version: number): void;
  onChanges(rows: StateRow[], version: number): void;
  /** The store answers again, told before the rows of the answer; or a call failed. */
  onReachable(reachable: boolean): void;
}

/** Options of {@link TableFollower}. */
export interface FollowOptions {
  store: StateStore;
  table: StateTable;
  sink: TableSink;
  log: EventLog;
  /** True while this entry follows the table for its data centre. */
  isOnDuty: () => boolean;
  random: () => number;
}

/** Longest wait of one watch: also the time after which an outage shows. */
const watchMillis = 2000;
/** First pause after a failed call; doubles up to the longest. */
const firstRetryMillis = 100;
const longestRetryMillis = 800;
/** Least time between two watches: bounds calls while many rows change; a tenth of the shortest time in which a change must hold. */
const paceMillis = 250;
/** How often an entry that isn't on duty looks whether it is. */
const offDutyPollMillis = 100;

/** Task that follows one table until it is stopped. */
export class TableFollower {
  readonly #options: FollowOptions;
  #version = -1;
  #stopped = false;
  #failures = 0;
  #lastSuccessAtMillis = 0;

  constructor(options: FollowOptions) {
    this.#options = options;
  }

  /** Newest version seen; -1 before the first read. */
  get version(): number {
    return this.#version;
  }

  /** Takes over that another entry delivered all rows up to `version`. */
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
    let whole = true;
    while (!this.#stopped) {
      try {
        if (!this.#options.isOnDuty() && !whole) {
          await pause(offDutyPollMillis);
        } else if (whole) {
          whole = !await this.#readWhole();
          if (whole) await pause(firstRetryMillis);
        } else {
          whole = await this.#watch();
        }
      } catch (error) {
        if (this.#stopped) return;
        this.#noteFailure(error as Error);
        const backoff = Math.min(
          longestRetryMillis,
          firstRetryMillis * 2 ** Math.min(8, this.#failures - 1),
        );
        await pause(backoff * (0.5 + this.#options.random()));
      }
    }
  }

  /** Returns false where the answer was stale. */
  async #readWhole(): Promise<boolean> {
    const { store, table, sink, log } = this.#options;
    const page = await store.read(table);
    this.#noteSuccess();
    if (page.version < this.#version) {
      log.info("stale_read", {
        table,
        version: page.version,
        known: this.#version,
      });
      return false;
    }
    this.#version = page.version;
    sink.onWhole(page.rows, page.version);
    return true;
  }

  /** Returns true where a full read is needed. */
  async #watch(): Promise<boolean> {
    const { store, table, sink, log } = this.#options;
    const result = await store.watch(table, this.#version, {
      waitMillis: watchMillis,
    });
    this.#noteSuccess();
    switch (result.kind) {
      case "gap":
        log.info("history_gap", { table, version: this.#version });
        return true;
      case "changes":
        if (result.rows.length > 0) {
          sink.onChanges(result.rows, result.version);
          await pause(paceMillis);
        }
        this.advance(result.version);
        return false;
    }
  }

  #noteSuccess(): void {
    this.#lastSuccessAtMillis = performance.now();
    if (this.#failures === 0) return;
    this.#options.log.info("store_regained", {
      table: this.#options.table,
      failures: this.#failures,
    });
    this.#failures = 0;
    this.#options.sink.onReachable(true);
  }

  #noteFailure(error: Error): void {
    this.#failures++;
    this.#options.sink.onReachable(false);
    if (this.#failures > 1) return;
    this.#options.log.warn("store_lost", {
      table: this.#options.table,
      error: error.message,
      version: this.#version,
      ageMillis: Math.round(performance.now() - this.#lastSuccessAtMillis),
    });
  }
}

function pause(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, millis));
}
