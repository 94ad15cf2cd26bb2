/**
 * An in-memory state store for tests of the gateway: versions, a feed with
 * limited history, outages.
 */
import {
  type StateStore,
  StateTable,
  StoreError,
  type TableSnapshot,
  type WatchResult,
} from "@bamboolane/gateway/state_store";
import type {
  EntryRecord,
  StateRow,
} from "@bamboolane/steering/steering_config";

/** How often a waiting watch looks for changes. */
const pollMillis = 5;

/** A row without its version. */
export type UnversionedRow = StateRow extends infer R
  ? R extends StateRow ? Omit<R, "version"> : never
  : never;

/** The store's rows, shared by the clients of several gateways. */
export class MemoryStateStore {
  readonly #rows = new Map<string, { table: StateTable; row: StateRow }>();
  #version = 0;
  #oldestKept = 0;
  readonly #down = new Set<string>();
  /** Watches that wait now, by client. */
  readonly #watching = new Map<string, number>();

  /** Writes a row; returns its version. */
  put(table: StateTable, row: UnversionedRow): number {
    this.#version++;
    const stored = { ...row, version: this.#version } as StateRow;
    this.#rows.set(`${table}/${keyOf(stored)}`, { table, row: stored });
    return this.#version;
  }

  /** Forgets the history before now. */
  compact(): void {
    this.#oldestKept = this.#version + 1;
    this.#version++;
  }

  /** Refuses or serves the client of one entry. */
  setUnavailable(client: string, down: boolean): void {
    if (down) this.#down.add(client);
    else this.#down.delete(client);
  }

  /** Clients that wait for changes now. */
  watchers(): string[] {
    return [...this.#watching].filter(([, open]) => open > 0)
      .map(([client]) => client).sort();
  }

  /** A client for one entry. */
  connect(client: string): StateStore {
    const check = () => {
      if (this.#down.has(client)) throw new StoreError("busy", "stand-in down");
    };
    let closed = false;
    return {
      read: (table): Promise<TableSnapshot> => {
        return attempt(() => {
          check();
          return {
            rows: this.#changed(table, 0).filter(exists),
            version: this.#version,
          };
        });
      },
      watch: async (table, afterVersion, options): Promise<WatchResult> => {
        const endMillis = performance.now() + options.waitMillis;
        this.#countWatch(client, 1);
        try {
          while (true) {
            check();
            if (afterVersion < this.#oldestKept - 1) return { kind: "gap" };
            const rows = this.#changed(table, afterVersion);
            const over = closed || performance.now() > endMillis;
            if (rows.length > 0 || over) {
              return { kind: "changes", rows, version: this.#version };
            }
            await new Promise((resolve) => setTimeout(resolve, pollMillis));
          }
        } finally {
          this.#countWatch(client, -1);
        }
      },
      register: (record: EntryRecord) =>
        attempt(() => {
          check();
          this.put(StateTable.entries, {
            kind: "entry",
            id: record.id,
            record,
          });
        }),
      unregister: (id: string) =>
        attempt(() => {
          check();
          this.put(StateTable.entries, {
            kind: "entry",
            id,
            record: undefined,
          });
        }),
      close: () => closed = true,
    };
  }

  #countWatch(client: string, change: number): void {
    this.#watching.set(client, (this.#watching.get(client) ?? 0) + change);
  }

  #changed(table: StateTable, after: number): StateRow[] {
    return [...this.#rows.values()]
      .filter((stored) => stored.table === table && stored.row.version > after)
      .map(({ row }) => row)
      .sort((a, b) => a.version - b.version);
  }
}

function attempt<T>(work: () => T): Promise<T> {
  return new Promise((resolve) => resolve(work()));
}

function exists(row: StateRow): boolean {
  switch (row.kind) {
    case "config":
      return true;
    case "evacuation":
      return row.active;
    case "target":
    case "entry":
      return row.record !== undefined;
  }
}

function keyOf(row: StateRow): string {
  switch (row.kind) {
    case "config":
      return "config";
    case "evacuation":
      return `evacuation/${row.dataCentre}`;
    case "target":
    case "entry":
      return row.id;
  }
}
