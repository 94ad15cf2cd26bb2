/**
 * Follows one table of the store: reads a snapshot, then watches for changes
 * while this entry is a follower, and reads a snapshot again after a gap in the
 * history. Versions never decrease: an answer that is older than the known
 * version comes from a stale replica, and the read is repeated.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import { formatStateVersion } from "@bamboolane/steering/state_version";
import type { StateRow } from "@bamboolane/steering/steering_config";
import type { StateStore, StateTable } from "./state_store.ts";

/** Receives what a follower reads. */
export interface TableSink {
  /** All rows of the table as of `version`. */
  onSnapshot(rows: StateRow[], version: number): void;
  onChanges(rows: StateRow[], version: number): void;
  /**
   * Called with false after each failed call, and with true when the store
   * answers again, before the rows of that answer.
   */
  onReachabilityChange(reachable: boolean): void;
}

/** Options of {@link TableFollower}. */
export interface TableFollowerOptions {
  store: StateStore;
  table: StateTable;
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
 * Minimum time between two watches, also where the store doesn't hold them:
 * bounds calls while many rows change; a tenth of the shortest time within which
 * a change must take effect.
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
  /** Gaps since a watch last ended without one. */
  #gaps = 0;
  /** Stale answers since the last one that was not stale. */
  #staleReads = 0;
  #lastSuccessAtMillis = 0;
  /** Time before which no watch starts. */
  #nextWatchAtMillis = 0;

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
          const waitMillis = this.#nextWatchAtMillis - performance.now();
          if (waitMillis > 0) await pause(Math.ceil(waitMillis));
          // The state may have changed during the pause.
          else needsSnapshot = await this.#watch();
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
    const snapshot = await store.read(table);
    this.#recordSuccess();
    if (snapshot.version < this.#version) {
      this.#staleReads++;
      if (this.#staleReads === 1) {
        log.info("stale_read", {
          table,
          version: formatStateVersion(snapshot.version),
          known: formatStateVersion(this.#version),
        });
      }
      return false;
    }
    this.#staleReads = 0;
    this.#version = snapshot.version;
    sink.onSnapshot(snapshot.rows, snapshot.version);
    return true;
  }

  /** Returns true if a new snapshot is needed. */
  async #watch(): Promise<boolean> {
    const { store, table, sink, log } = this.#options;
    const startedAtMillis = performance.now();
    const result = await store.watch(table, this.#version, {
      waitMillis: MAX_WATCH_MILLIS,
    });
    this.#recordSuccess();
    this.#nextWatchAtMillis = startedAtMillis + MIN_WATCH_INTERVAL_MILLIS;
    switch (result.kind) {
      case "gap":
        this.#gaps++;
        if (this.#gaps === 1) {
          log.info("history_gap", {
            table,
            version: formatStateVersion(this.#version),
          });
        }
        return true;
      case "changes":
        if (this.#gaps > 1) {
          log.info("history_regained", { table, gaps: this.#gaps });
        }
        this.#gaps = 0;
        if (result.rows.length > 0) {
          sink.onChanges(result.rows, result.version);
          // Changes that follow each other closely take one watch.
          this.#nextWatchAtMillis = performance.now() +
            MIN_WATCH_INTERVAL_MILLIS;
        }
        this.advance(result.version);
        return false;
    }
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
