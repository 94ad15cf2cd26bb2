/**
 * In-memory state store for tests of the gateway, with versions, watches over
 * a limited history, and outages per client.
 */
import {
  type StateStore,
  StateTable,
  StoreError,
  type TableSnapshot,
  type WatchResult,
} from "@bamboolane/gateway/state_store";
import {
  eraOf,
  storeVersionOf,
  toStateVersion,
} from "@bamboolane/steering/state_version";
import type {
  EntryRecord,
  StateRow,
} from "@bamboolane/steering/steering_config";

/** Interval at which a waiting watch checks for changes. */
const POLL_INTERVAL_MILLIS = 5;
/** Time after which a client gives up a call, in addition to the wait of a watch. */
const CALL_TIMEOUT_MILLIS = 1000;

/** A row without its version. */
export type UnversionedRow = StateRow extends infer R
  ? R extends StateRow ? Omit<R, "version"> : never
  : never;

/** Copy of a store's rows, from which it can be restored. */
export interface StoreCopy {
  rows: ReadonlyMap<string, { table: StateTable; row: StateRow }>;
  version: number;
}

/** Rows of the store, shared by the clients of several gateways. */
export class MemoryStateStore {
  /** Rows by table and key, with the store's own versions. */
  #rows = new Map<string, { table: StateTable; row: StateRow }>();
  #version = 0;
  /** Number of restores. */
  #era = 0;
  /** Oldest version whose changes are still in the history. */
  #oldestVersion = 0;
  /** Clients for which the store is unavailable. */
  readonly #down = new Set<string>();
  /** Clients whose calls get no answer. */
  readonly #silent = new Set<string>();
  /** Clients whose calls get no answer from their next watch on. */
  readonly #silentFromNextWatch = new Set<string>();
  /** Number of times that the open connections of a client went silent. */
  readonly #silencedConnections = new Map<string, number>();
  /** Delay of the answers to a client. */
  readonly #delayMillis = new Map<string, number>();
  /** Clients whose watches fail, while reads are answered. */
  readonly #withoutWatches = new Set<string>();
  /** Tables that can't be read as a whole. */
  readonly unreadableTables = new Set<StateTable>();
  /** Addresses at which single clients reach targets, by client and real address. */
  readonly #links = new Map<string, Map<string, string>>();
  /** Number of open watches by client. */
  readonly #openWatches = new Map<string, number>();

  /** Writes a row; returns its version. */
  put(table: StateTable, row: UnversionedRow): number {
    this.#version++;
    const stored = { ...row, version: this.#version } as StateRow;
    this.#rows.set(`${table}/${keyOf(stored)}`, { table, row: stored });
    return this.#version;
  }

  copy(): StoreCopy {
    return { rows: new Map(this.#rows), version: this.#version };
  }

  /** Goes back to a copy; versions continue from it. */
  restore(copy: StoreCopy): void {
    this.#rows = new Map(copy.rows);
    this.#version = copy.version;
    this.#era++;
  }

  /** Discards the history, so that watches from an earlier version report a gap. */
  compact(): void {
    this.#oldestVersion = this.#version + 1;
    this.#version++;
  }

  /** Makes the store unavailable or available to the client of one entry. */
  setUnavailable(client: string, unavailable: boolean): void {
    if (unavailable) this.#down.add(client);
    else this.#down.delete(client);
  }

  /** Answers no call of a client any more; calls in progress get no answer either. */
  silence(client: string): void {
    this.#silent.add(client);
  }

  /** Does so from the client's next watch on. */
  silenceFromNextWatch(client: string): void {
    this.#silentFromNextWatch.add(client);
  }

  /** Answers no call of a client that is in progress; later ones are answered. */
  silenceConnections(client: string): void {
    this.#silencedConnections.set(
      client,
      (this.#silencedConnections.get(client) ?? 0) + 1,
    );
  }

  /** Sends the answers to a client late; those that exceed its timeout are lost. */
  delayAnswers(client: string, millis: number): void {
    this.#delayMillis.set(client, millis);
  }

  /** Refuses the watches of a client. */
  refuseWatches(client: string): void {
    this.#withoutWatches.add(client);
  }

  /** Lets one client see another address of a target than the others. */
  setLink(client: string, address: string, linkAddress: string): void {
    const links = this.#links.get(client) ?? new Map<string, string>();
    this.#links.set(client, links.set(address, linkAddress));
  }

  /** Clients with open watches, sorted. */
  watchers(): string[] {
    return [...this.#openWatches].filter(([, open]) => open > 0)
      .map(([client]) => client).sort();
  }

  /** Creates the client of one entry. */
  connect(client: string): StateStore {
    const assertAvailable = () => {
      if (this.#down.has(client)) throw new StoreError("busy", "unavailable");
    };
    let closed = false;
    const connectionsOf = () => this.#silencedConnections.get(client) ?? 0;
    const failSilently = async (timeoutMillis: number): Promise<never> => {
      await new Promise((resolve) => setTimeout(resolve, timeoutMillis));
      throw new StoreError("timeout", "no answer");
    };
    return {
      read: (table): Promise<TableSnapshot> => {
        if (this.#silent.has(client)) return failSilently(CALL_TIMEOUT_MILLIS);
        return toPromise(() => {
          assertAvailable();
          if (this.unreadableTables.has(table)) {
            throw new StoreError("busy", "table unavailable");
          }
          return {
            rows: this.#rowsChangedAfter(table, 0).filter(exists)
              .map((row) => this.#withLink(client, row)),
            version: this.#stateVersion(this.#version),
            storeMillis: this.#clockMillis(),
          };
        });
      },
      watch: async (table, afterVersion, options): Promise<WatchResult> => {
        const endMillis = performance.now() + options.waitMillis;
        const connections = connectionsOf();
        if (this.#silentFromNextWatch.has(client)) this.silence(client);
        this.#adjustWatchCount(client, 1);
        try {
          while (true) {
            if (this.#silent.has(client) || connectionsOf() !== connections) {
              const leftMillis = endMillis - performance.now();
              return await failSilently(leftMillis + CALL_TIMEOUT_MILLIS);
            }
            assertAvailable();
            if (this.#withoutWatches.has(client)) {
              throw new StoreError("busy", "no watches");
            }
            const after = storeVersionOf(afterVersion);
            if (
              eraOf(afterVersion) !== this.#era || after > this.#version ||
              after < this.#oldestVersion - 1
            ) return { kind: "gap" };
            const rows = this.#rowsChangedAfter(table, after)
              .map((row) => this.#withLink(client, row));
            const expired = closed || performance.now() > endMillis;
            if (rows.length > 0 || expired) {
              const answer = {
                kind: "changes",
                rows,
                version: this.#stateVersion(this.#version),
                storeMillis: this.#clockMillis(),
              } as const;
              await this.#delayAnswer(client, endMillis + CALL_TIMEOUT_MILLIS);
              return answer;
            }
            await new Promise((resolve) =>
              setTimeout(resolve, POLL_INTERVAL_MILLIS)
            );
          }
        } finally {
          this.#adjustWatchCount(client, -1);
        }
      },
      register: (record: EntryRecord) =>
        toPromise(() => {
          assertAvailable();
          this.put(StateTable.entries, {
            kind: "entry",
            id: record.id,
            record,
          });
        }),
      unregister: (id: string) =>
        toPromise(() => {
          assertAvailable();
          this.put(StateTable.entries, {
            kind: "entry",
            id,
            record: undefined,
          });
        }),
      close: () => closed = true,
    };
  }

  #withLink(client: string, row: StateRow): StateRow {
    if (row.kind !== "target" || row.record === undefined) return row;
    const address = this.#links.get(client)?.get(row.record.address);
    return address === undefined
      ? row
      : { ...row, record: { ...row.record, address } };
  }

  /** Waits for as long as the client's answers take; fails at its timeout. */
  async #delayAnswer(client: string, timeoutAtMillis: number): Promise<void> {
    const delayMillis = this.#delayMillis.get(client) ?? 0;
    if (delayMillis === 0) return;
    const leftMillis = timeoutAtMillis - performance.now();
    await new Promise((resolve) =>
      setTimeout(resolve, Math.min(delayMillis, leftMillis))
    );
    if (delayMillis > leftMillis) throw new StoreError("timeout", "no answer");
  }

  #clockMillis(): number {
    return Math.round(performance.now());
  }

  #stateVersion(version: number): number {
    return toStateVersion({ era: this.#era, version });
  }

  #adjustWatchCount(client: string, change: number): void {
    this.#openWatches.set(
      client,
      (this.#openWatches.get(client) ?? 0) + change,
    );
  }

  #rowsChangedAfter(table: StateTable, after: number): StateRow[] {
    return [...this.#rows.values()]
      .filter((stored) => stored.table === table && stored.row.version > after)
      .map(({ row }) => ({ ...row, version: this.#stateVersion(row.version) }))
      .sort((a, b) => a.version - b.version);
  }
}

function toPromise<T>(operation: () => T): Promise<T> {
  return new Promise((resolve) => resolve(operation()));
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
