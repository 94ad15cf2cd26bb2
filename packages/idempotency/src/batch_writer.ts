/**
 * Groups conditional writes of single rows into few transactions. Rows that
 * conflict are answered on their own; the rest of their group is sent again.
 */
import type { Row, RowWrite, TablePort } from "@bamboolane/platform/ports";

/** What became of one row. */
export type RowResult =
  | { kind: "committed"; version: number }
  | { kind: "conflict"; row: Row }
  | { kind: "uncertain" };

/** Options of {@link BatchWriter}. */
export interface BatchWriterOptions {
  table: TablePort;
  /** How long the first row of a group waits for more. */
  windowMillis: number;
  maxRows: number;
  maxInFlight: number;
}

const drainPollMillis = 10;

interface Pending {
  write: RowWrite;
  resolve: (result: RowResult) => void;
}

/** Sends grouped writes. */
export class BatchWriter {
  readonly #options: BatchWriterOptions;
  #pending: Pending[] = [];
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

  get waiting(): number {
    return this.#pending.length;
  }

  /** Waits until every row has its answer, but no longer than `waitMillis`. */
  async drain(waitMillis: number): Promise<void> {
    const until = performance.now() + waitMillis;
    while (
      this.#pending.length + this.#inFlight > 0 && performance.now() < until
    ) {
      await new Promise((resolve) => setTimeout(resolve, drainPollMillis));
    }
  }

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
      this.#send(this.#takeGroup());
      this.#schedule();
    }, this.#options.windowMillis);
  }

  /** Takes at most one write of each row; a second has to see the first's effect. */
  #takeGroup(): Pending[] {
    const keys = new Set<string>();
    const group: Pending[] = [];
    const rest: Pending[] = [];
    for (const pending of this.#pending) {
      const fits = group.length < this.#options.maxRows &&
        !keys.has(pending.write.key);
      if (!fits) {
        rest.push(pending);
        continue;
      }
      keys.add(pending.write.key);
      group.push(pending);
    }
    this.#pending = rest;
    return group;
  }

  async #send(group: Pending[]): Promise<void> {
    if (group.length === 0) return;
    this.#inFlight++;
    this.#transactions++;
    try {
      const result = await this.#options.table.transact(
        group.map((p) => p.write),
      );
      if (result.kind === "committed") {
        group.forEach((p, i) =>
          p.resolve({ kind: "committed", version: result.versions[i] })
        );
      } else {
        this.#split(group, result.rows);
      }
    } catch {
      for (const pending of group) pending.resolve({ kind: "uncertain" });
    } finally {
      this.#inFlight--;
      this.#schedule();
    }
  }

  #split(group: Pending[], rows: Row[]): void {
    const conflicts = new Map(rows.map((row) => [row.key, row]));
    for (const pending of group) {
      const row = conflicts.get(pending.write.key);
      if (row) pending.resolve({ kind: "conflict", row });
      else this.#pending.push(pending);
    }
  }
}
