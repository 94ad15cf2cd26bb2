/**
 * Batches conditional writes of single rows into few transactions. If a batch
 * conflicts, the conflicting rows are reported and the others are sent again.
 */
import type { Row, RowWrite, TablePort } from "@bamboolane/platform/ports";

/**
 * Result of one row's write; uncertain if the transaction failed or its answer
 * was lost. A conflict carries the row that was found.
 */
export type RowResult =
  | { kind: "committed"; version: number }
  | { kind: "conflict"; row: Row }
  | { kind: "uncertain" };

/** Options of {@link BatchWriter}. */
export interface BatchWriterOptions {
  table: TablePort;
  /** How long the first row of a batch waits for others. */
  windowMillis: number;
  /** Maximum number of rows per transaction. */
  maxRows: number;
  /** Maximum number of concurrent transactions. */
  maxInFlight: number;
}

const DRAIN_POLL_MILLIS = 10;

interface PendingWrite {
  write: RowWrite;
  resolve: (result: RowResult) => void;
}

/** Sends conditional writes in batches. */
export class BatchWriter {
  readonly #options: BatchWriterOptions;
  #pending: PendingWrite[] = [];
  #inFlight = 0;
  #timer: NodeJS.Timeout | undefined;
  #transactions = 0;

  constructor(options: BatchWriterOptions) {
    this.#options = options;
  }

  /** Transactions sent so far. */
  get transactions(): number {
    return this.#transactions;
  }

  /** Number of rows that have not been sent. */
  get pendingCount(): number {
    return this.#pending.length;
  }

  /** Waits until every row has its result, for at most `waitMillis`. */
  async drain(waitMillis: number): Promise<void> {
    const deadlineMillis = performance.now() + waitMillis;
    while (
      this.#pending.length + this.#inFlight > 0 &&
      performance.now() < deadlineMillis
    ) {
      await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MILLIS));
    }
  }

  /** Queues a write for the next batch; never rejects. */
  submit(write: RowWrite): Promise<RowResult> {
    return new Promise((resolve) => {
      this.#pending.push({ write, resolve });
      this.#schedule();
    });
  }

  #schedule(): void {
    if (this.#timer !== undefined || this.#pending.length === 0) return;
    if (this.#inFlight >= this.#options.maxInFlight) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#send(this.#takeBatch());
      this.#schedule();
    }, this.#options.windowMillis);
  }

  /**
   * Takes at most one write per row. A second write of the same row needs a later
   * transaction, so that its version check sees the effect of the first.
   */
  #takeBatch(): PendingWrite[] {
    const keys = new Set<string>();
    const batch: PendingWrite[] = [];
    const rest: PendingWrite[] = [];
    for (const pending of this.#pending) {
      const fits = batch.length < this.#options.maxRows &&
        !keys.has(pending.write.key);
      if (!fits) {
        rest.push(pending);
        continue;
      }
      keys.add(pending.write.key);
      batch.push(pending);
    }
    this.#pending = rest;
    return batch;
  }

  async #send(batch: PendingWrite[]): Promise<void> {
    if (batch.length === 0) return;
    this.#inFlight++;
    this.#transactions++;
    try {
      const result = await this.#options.table.transact(
        batch.map((p) => p.write),
      );
      if (result.kind === "committed") {
        batch.forEach((p, i) =>
          p.resolve({ kind: "committed", version: result.versions[i] })
        );
      } else {
        this.#resolveConflicts(batch, result.rows);
      }
    } catch {
      for (const pending of batch) pending.resolve({ kind: "uncertain" });
    } finally {
      this.#inFlight--;
      this.#schedule();
    }
  }

  #resolveConflicts(batch: PendingWrite[], rows: Row[]): void {
    const conflicts = new Map(rows.map((row) => [row.key, row]));
    for (const pending of batch) {
      const row = conflicts.get(pending.write.key);
      if (row) pending.resolve({ kind: "conflict", row });
      else this.#pending.push(pending);
    }
  }
}
