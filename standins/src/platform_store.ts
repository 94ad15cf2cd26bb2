/**
 * In-memory table and objects with the platform's behaviour: conditional
 * transactions, immutable objects, ordered scans.
 */
import type {
  ListedInstance,
  Row,
  RowCheck,
  RowWrite,
  TransactResult,
} from "@bamboolane/platform/ports";

interface StoredRow {
  version: number;
  value: unknown;
}

/** Data of the platform stand-in. */
export class PlatformStore {
  readonly #rows = new Map<string, StoredRow>();
  readonly #objects = new Map<string, Uint8Array>();
  #nextVersion = 1;
  instances: ListedInstance[] = [];
  /** Number of calls of `read` and `scan`. */
  reads = 0;
  /** Number of transactions, including those with conflicts. */
  writes = 0;

  read(keys: string[]): Row[] {
    this.reads++;
    return keys.map((key) => this.#row(key));
  }

  scan(prefix: string, after: string, limit: number): Row[] {
    this.reads++;
    return [...this.#rows.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort()
      .slice(0, limit)
      .map((key) => this.#row(key));
  }

  transact(writes: RowWrite[], checks: RowCheck[]): TransactResult {
    this.writes++;
    const conflicts = [...writes, ...checks]
      .filter(({ key, expectVersion }) =>
        (this.#rows.get(key)?.version ?? 0) !== expectVersion
      )
      .map(({ key }) => this.#row(key));
    if (conflicts.length > 0) return { kind: "conflict", rows: conflicts };
    return {
      kind: "committed",
      versions: writes.map((write) => this.#write(write)),
    };
  }

  getObject(hash: string): Uint8Array | undefined {
    return this.#objects.get(hash);
  }

  putObject(hash: string, content: Uint8Array): void {
    if (!this.#objects.has(hash)) this.#objects.set(hash, content);
  }

  /** All rows whose key starts with `prefix`; for tests. */
  rows(prefix: string): Row[] {
    return [...this.#rows.keys()].filter((key) => key.startsWith(prefix)).map((
      k,
    ) => this.#row(k));
  }

  #write(write: RowWrite): number {
    if (write.value === undefined || write.value === null) {
      this.#rows.delete(write.key);
      return 0;
    }
    const version = this.#nextVersion++;
    this.#rows.set(write.key, { version, value: write.value });
    return version;
  }

  #row(key: string): Row {
    const stored = this.#rows.get(key);
    return { key, version: stored?.version ?? 0, value: stored?.value };
  }
}
