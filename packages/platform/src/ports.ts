/**
 * Ports to the platform's table, objects and instance list. The adapter of a
 * new platform goes into its own file beside `http_platform.ts`.
 */

/** A row of the table. Version 0 means that the row does not exist. */
export interface Row {
  key: string;
  version: number;
  value: unknown;
}

/** A conditional write of one row inside a transaction. */
export interface RowWrite {
  key: string;
  /** Version that the row must have; 0 if it must not exist. */
  expectVersion: number;
  /** The new value; undefined deletes the row. */
  value: unknown;
}

/** A condition of a transaction on a row that it does not write. */
export interface RowCheck {
  key: string;
  expectVersion: number;
}

/**
 * Result of a transaction: either all writes took effect, or none. `versions` has
 * the rows' new versions in the order of the writes, 0 for a deleted row; `rows`
 * has the current rows whose version is not the expected one.
 */
export type TransactResult =
  | { kind: "committed"; versions: number[] }
  | { kind: "conflict"; rows: Row[] };

/** An instance as the platform lists it; may be minutes old. */
export interface ListedInstance {
  id: string;
  /** Targets are listed too; absent means an entry. */
  kind?: "entry" | "target";
  dataCentre: string;
  /** Empty for a target. */
  peerAddress: string;
  leaving: boolean;
}

/**
 * A call whose effect is unknown: no response arrived in time, or the store
 * returned an error status.
 */
export class StoreUncertainError extends Error {
  constructor(message: string) {
    super(message);
    this.name = "StoreUncertainError";
  }
}

/** The platform's transactional table. */
export interface TablePort {
  /** Returns the rows in the order of `keys`. */
  read(keys: string[]): Promise<Row[]>;
  /** Rejects with {@link StoreUncertainError} if the effect is unknown. */
  transact(writes: RowWrite[], checks?: RowCheck[]): Promise<TransactResult>;
  /** Rows whose key starts with `prefix` and sorts after `after`, in order. */
  scan(
    prefix: string,
    after: string,
    options: { limit: number },
  ): Promise<Row[]>;
}

/** The platform's object store. Objects are written once under their hash. */
export interface ObjectPort {
  /** Returns undefined if there is no such object. */
  read(hash: string): Promise<Uint8Array | undefined>;
  write(hash: string, content: Uint8Array): Promise<void>;
}

/** The platform's list of instances. */
export interface InstanceListPort {
  list(): Promise<ListedInstance[]>;
}

/** All ports of one platform. */
export interface Platform {
  table: TablePort;
  objects: ObjectPort;
  instances: InstanceListPort;
  close(): Promise<void>;
}

/** Monotonic and wall time. Unit: milliseconds. */
export interface Clock {
  /** Monotonic time; only differences are meaningful. */
  nowMillis(): number;
  /** Wall time since the Unix epoch; for dates and stored times, not for timeouts. */
  wallMillis(): number;
}

/** The process's clock. */
export const systemClock: Clock = {
  nowMillis: () => performance.now(),
  wallMillis: () => Date.now(),
};
