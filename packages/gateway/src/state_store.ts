/**
 * Port to the store that publishes the steering state. An adapter only
 * translates; the gateway itself handles resumed watches, gaps and outages.
 */
import type {
  EntryRecord,
  StateRow,
} from "@bamboolane/steering/steering_config";

/** The tables that a gateway reads. */
export const StateTable = {
  /** Configuration and evacuations. */
  operator: "operator",
  targets: "targets",
  entries: "entries",
} as const;
/** One of {@link StateTable}. */
export type StateTable = typeof StateTable[keyof typeof StateTable];

/** The tables that entries follow, and whose age they bound. */
export type FollowedTable = Exclude<StateTable, "entries">;
/** The followed tables, in the order of `RowVersions`. */
export const FOLLOWED_TABLES = [
  StateTable.operator,
  StateTable.targets,
] as const;

/** All rows of a table as of one state version. */
export interface TableSnapshot {
  rows: StateRow[];
  version: number;
  /** The store's own clock; undefined if it doesn't tell. */
  storeMillis?: number;
}

/** Result of a watch. */
export type WatchResult =
  | {
    kind: "changes";
    rows: StateRow[];
    version: number;
    /** The store's own clock; undefined if it doesn't tell. */
    storeMillis?: number;
  }
  /**
   * The history since the requested version is no longer kept, or the store was
   * restored since.
   */
  | { kind: "gap" };

/** How a call is made. */
export interface CallOptions {
  /** Uses a connection of its own: open ones may have gone silent. */
  newConnection?: boolean;
}

/** The store. Calls reject with {@link StoreError}. */
export interface StateStore {
  read(table: StateTable, options?: CallOptions): Promise<TableSnapshot>;
  /** Resolves at the first change after `afterVersion`, or without rows after `waitMillis`. */
  watch(
    table: StateTable,
    afterVersion: number,
    options: CallOptions & { waitMillis: number },
  ): Promise<WatchResult>;
  /** Publishes this entry's record. */
  register(record: EntryRecord): Promise<void>;
  /** Removes this entry's record. */
  unregister(id: string): Promise<void>;
  close(): void;
}

/**
 * A call that got no answer or was refused: `busy` if the store can't serve it
 * at present, `oversized` if what it sends exceeds the memory for it, `refused` for any
 * other reason.
 */
export class StoreError extends Error {
  readonly reason: "unreachable" | "timeout" | "busy" | "oversized" | "refused";

  constructor(reason: StoreError["reason"], message: string) {
    super(message);
    this.name = "StoreError";
    this.reason = reason;
  }
}
