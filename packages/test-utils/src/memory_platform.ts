/**
 * In-memory platform with faults for single calls, for tests of the agreement
 * and idempotency logic without sockets.
 */
import {
  type Platform,
  type Row,
  type RowCheck,
  type RowWrite,
  StoreUncertainError,
  type TransactResult,
} from "@bamboolane/platform/ports";

/**
 * Fault of one call: it fails without effect, takes effect without a response,
 * or takes effect later, after its caller timed out.
 */
export type CallFault = "none" | "fails" | "answer-lost" | "late";

interface StoredRow {
  version: number;
  value: unknown;
}

/** In-memory platform; `chooseFault` selects the fault of each call. */
export class MemoryPlatform implements Platform {
  readonly #rows = new Map<string, StoredRow>();
  readonly #objects = new Map<string, Uint8Array>();
  readonly #delayedCalls: (() => void)[] = [];
  #nextVersion = 1;
  /** Returns the fault of the next call. */
  chooseFault: (kind: "read" | "write") => CallFault = () => "none";
  /** While true, the store has no valid copy of any object. */
  objectsUnreadable = false;
  /** Number of calls of `transact`, whatever their result. */
  transactions = 0;

  readonly table = {
    read: (keys: string[]): Promise<Row[]> =>
      this.#runWithFault("read", () => keys.map((k) => this.row(k))),
    scan: (
      prefix: string,
      after: string,
      options: { limit: number },
    ): Promise<Row[]> =>
      this.#runWithFault(
        "read",
        () =>
          [...this.#rows.keys()].filter((k) =>
            k.startsWith(prefix) && k > after
          ).sort()
            .slice(0, options.limit).map((k) => this.row(k)),
      ),
    transact: (
      writes: RowWrite[],
      checks: RowCheck[] = [],
    ): Promise<TransactResult> => {
      this.transactions++;
      return this.#runWithFault("write", () => this.#apply(writes, checks));
    },
  };

  readonly objects = {
    read: (hash: string): Promise<Uint8Array | undefined> =>
      this.#runWithFault(
        "read",
        () => this.objectsUnreadable ? undefined : this.#objects.get(hash),
      ),
    write: (hash: string, content: Uint8Array): Promise<void> =>
      this.#runWithFault("read", () => void this.#objects.set(hash, content)),
  };

  readonly instances = { list: () => Promise.resolve([]) };

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** The stored row, read without faults. */
  row(key: string): Row {
    const stored = this.#rows.get(key);
    return {
      key,
      version: stored?.version ?? 0,
      value: structuredClone(stored?.value),
    };
  }

  /** Applies the oldest call that was delayed until after its caller's timeout. */
  applyDelayedCall(): void {
    this.#delayedCalls.shift()?.();
  }

  async #runWithFault<T>(kind: "read" | "write", action: () => T): Promise<T> {
    await Promise.resolve();
    switch (this.chooseFault(kind)) {
      case "none":
        return action();
      case "fails":
        throw new StoreUncertainError("outage");
      case "answer-lost":
        action();
        throw new StoreUncertainError("answer lost");
      case "late":
        this.#delayedCalls.push(action);
        throw new StoreUncertainError("timeout");
    }
  }

  #apply(writes: RowWrite[], checks: RowCheck[]): TransactResult {
    const conflicts = [...writes, ...checks].filter((w) =>
      this.row(w.key).version !== w.expectVersion
    );
    if (conflicts.length > 0) {
      return { kind: "conflict", rows: conflicts.map((w) => this.row(w.key)) };
    }
    const versions = writes.map(({ key, value }) => {
      if (value === undefined) {
        this.#rows.delete(key);
        return 0;
      }
      const version = this.#nextVersion++;
      this.#rows.set(key, { version, value: structuredClone(value) });
      return version;
    });
    return { kind: "committed", versions };
  }
}
