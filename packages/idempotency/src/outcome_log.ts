/**
 * Writes the outcomes of tickets in the background, so that a resend can often
 * be answered after the issuing instance has ended. If an outcome is lost, the
 * resend gets no answer, but at-most-once execution still holds.
 */
import type { Clock, TablePort } from "@bamboolane/platform/ports";
import { type StoredAnswer, toStoredAnswer } from "./claim_store.ts";
import type { KeptAnswer } from "./execution_table.ts";
import type { BatchWriter } from "./batch_writer.ts";

/** Value of an outcome row. */
export interface OutcomeValue {
  answer: StoredAnswer;
  /** Wall time of the outcome, for removing old rows. Unit: milliseconds since the epoch. */
  atMillis: number;
}

/** Options of {@link OutcomeLog}. */
export interface OutcomeLogOptions {
  table: TablePort;
  writer: BatchWriter;
  clock: Clock;
  /** Maximum number of outcomes waiting for the store; further ones are dropped. */
  maxPending: number;
}

const CLOSE_POLL_MILLIS = 20;

/** Key prefix of outcome rows. */
export const OUTCOME_PREFIX = "outcome/";

/** Value of a row that marks an incarnation as cleanly closed. */
export interface ClosingValue {
  /** Wall time of the close. Unit: milliseconds since the epoch. */
  atMillis: number;
}

/** Key prefix of closing rows. */
export const CLOSING_PREFIX = "closed/";
/**
 * How long a closing row is valid. Outcomes are kept for longer: while the row
 * is valid, a ticket without an outcome was never run.
 */
export const CLOSING_VALIDITY_MILLIS = 1_800_000;

/** Stored outcome of a ticket whose issuer has ended. */
export type TicketOutcome =
  | { kind: "answered"; answer: StoredAnswer }
  | { kind: "never-run" }
  | { kind: "unknown" };

/** Identifies one incarnation of an instance. */
export interface IncarnationId {
  instance: string;
  incarnation: number;
}

function closingKey(id: IncarnationId): string {
  return `${CLOSING_PREFIX}${id.instance}.${id.incarnation}`;
}

/** Writes and reads the outcomes of tickets in the platform's table. */
export class OutcomeLog {
  readonly #options: OutcomeLogOptions;
  #dropped = 0;
  #pendingCount = 0;

  constructor(options: OutcomeLogOptions) {
    this.#options = options;
  }

  /** Number of outcomes that were not, or possibly not, written. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Queues an outcome for writing; nothing is stored if the request was not run. */
  enqueue(ticket: string, answer: KeptAnswer): void {
    if (answer.kind === "failed" && answer.outcome === "not-run") return;
    if (this.#options.writer.pendingCount >= this.#options.maxPending) {
      this.#dropped++;
      return;
    }
    const value: OutcomeValue = {
      answer: toStoredAnswer(answer),
      atMillis: this.#options.clock.wallMillis(),
    };
    const key = OUTCOME_PREFIX + ticket;
    this.#pendingCount++;
    this.#options.writer.submit({ key, expectVersion: 0, value }).then(
      (result) => {
        this.#pendingCount--;
        if (result.kind === "uncertain") this.#dropped++;
      },
    );
  }

  /**
   * Writes the closing row of `id`, which states that this incarnation dispatches
   * nothing more and that all its outcomes are written. Returns true if the row
   * is written. Writes nothing if an outcome was lost or is still unwritten after
   * `waitMillis`.
   */
  async close(
    id: IncarnationId,
    options: { waitMillis: number },
  ): Promise<boolean> {
    const deadlineMillis = this.#options.clock.nowMillis() + options.waitMillis;
    while (
      this.#pendingCount > 0 && this.#options.clock.nowMillis() < deadlineMillis
    ) {
      await new Promise((resolve) => setTimeout(resolve, CLOSE_POLL_MILLIS));
    }
    if (this.#pendingCount > 0 || this.#dropped > 0) return false;
    const value: ClosingValue = { atMillis: this.#options.clock.wallMillis() };
    try {
      const result = await this.#options.table.transact([
        { key: closingKey(id), expectVersion: 0, value },
      ]);
      return result.kind === "committed";
    } catch {
      return false;
    }
  }

  /**
   * Reads the outcome of a ticket whose issuer has ended; `unknown` if the store
   * can't be read. Never rejects.
   */
  async read(ticket: string, issuer: IncarnationId): Promise<TicketOutcome> {
    try {
      const [outcome, closing] = await this.#options.table.read([
        OUTCOME_PREFIX + ticket,
        closingKey(issuer),
      ]);
      const answer = (outcome.value as OutcomeValue | undefined)?.answer;
      if (answer !== undefined) return { kind: "answered", answer };
      const closed = closing.value as ClosingValue | undefined;
      const age = this.#options.clock.wallMillis() -
        (closed?.atMillis ?? -Infinity);
      return age < CLOSING_VALIDITY_MILLIS
        ? { kind: "never-run" }
        : { kind: "unknown" };
    } catch {
      return { kind: "unknown" };
    }
  }
}
