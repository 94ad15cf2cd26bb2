/**
 * Port to the store that publishes the steering state. An adapter translates;
 * resuming, gaps and outages are the gateway's business.
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

/** A whole table as of one version. */
export interface TableSnapshot {
  rows: StateRow[];
  version: number;
}

/** Answer to a watch. */
export type WatchResult =
  | { kind: "changes"; rows: StateRow[]; version: number }
  /** The history since the asked version is no longer kept. */
  | { kind: "gap" };

/** The store. Calls reject with {@link StoreError}. */
export interface StateStore {
  read(table: StateTable): Promise<TableSnapshot>;
  /** Answers at the first change after `afterVersion`, or empty after the wait. */
  watch(
    table: StateTable,
    afterVersion: number,
    options: { waitMillis: number },
  ): Promise<WatchResult>;
  /** Publishes this entry. */
  register(record: EntryRecord): Promise<void>;
  /** Takes this entry's record back. */
  unregister(id: string): Promise<void>;
  close(): void;
}

/** A call that brought no answer, or a refusal. */
export class StoreError extends Error {
  readonly reason: "unreachable" | "timeout" | "busy" | "refused";

  constructor(reason: StoreError["reason"], message: string) {
    super(message);
    this.name = "StoreError";
    this.reason = reason;
  }
}
