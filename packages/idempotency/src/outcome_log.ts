/**
 * Writes the outcomes of tickets behind, so that a resend can often be told
 * what happened after the issuing instance is gone. Losing an entry costs
 * an answer, never a promise.
 */
import type { Clock, TablePort } from "@bamboolane/platform/ports";
import { type StoredAnswer, toStoredAnswer } from "./claim_store.ts";
import type { KeptAnswer } from "./execution_table.ts";
import type { BatchWriter } from "./batch_writer.ts";

/** Value of an outcome row. */
export interface OutcomeValue {
  answer: StoredAnswer;
  /** Wall time, for sweeping. Unit: milliseconds since the epoch. */
  atMillis: number;
}

/** Options of {@link OutcomeLog}. */
export interface OutcomeLogOptions {
  table: TablePort;
  writer: BatchWriter;
  clock: Clock;
  /** Outcomes that may wait for the store; beyond it new ones are dropped. */
  maxPending: number;
}

const pollMillis = 20;

/** Prefix of outcome rows. */
export const OUTCOME_PREFIX = "outcome/";

/** Value of a row that says that an incarnation ended in good order. */
export interface ClosingValue {
  /** Wall time of the end. Unit: milliseconds since the epoch. */
  atMillis: number;
}

/** Prefix of closing rows. */
export const CLOSING_PREFIX = "closed/";
/** A closing row is believed this long; outcomes are kept for longer. */
export const CLOSING_VALIDITY_MILLIS = 1_800_000;

/** What the table knows of a ticket whose issuer is gone. */
export type TicketOutcome =
  | { kind: "answered"; answer: StoredAnswer }
  | { kind: "never-run" }
  | { kind: "unknown" };

/** Names one incarnation of an instance. */
export interface IncarnationName {
  instance: string;
  incarnation: number;
}

function closingKey(name: IncarnationName): string {
  return `${CLOSING_PREFIX}${name.instance}.${name.incarnation}`;
}

/** The outcomes of tickets, in the table. */
export class OutcomeLog {
  readonly #options: OutcomeLogOptions;
  #dropped = 0;
  #waiting = 0;

  constructor(options: OutcomeLogOptions) {
    this.#options = options;
  }

  /** Outcomes that were not written. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Queues an outcome; what did not run leaves nothing. */
  enqueue(ticket: string, answer: KeptAnswer): void {
    if (answer.kind === "failed" && answer.outcome === "not-run") return;
    if (this.#options.writer.waiting >= this.#options.maxPending) {
      this.#dropped++;
      return;
    }
    const value: OutcomeValue = {
      answer: toStoredAnswer(answer),
      atMillis: this.#options.clock.wallMillis(),
    };
    const key = OUTCOME_PREFIX + ticket;
    this.#waiting++;
    this.#options.writer.submit({ key, expectVersion: 0, value }).then(
      (result) => {
        this.#waiting--;
        if (result.kind === "uncertain") this.#dropped++;
      },
    );
  }

  /**
   * Says in the table that `name` dispatches nothing more and that each of
   * its outcomes is written. Says nothing where an outcome was lost.
   */
  async close(
    name: IncarnationName,
    options: { waitMillis: number },
  ): Promise<boolean> {
    const until = this.#options.clock.nowMillis() + options.waitMillis;
    while (this.#waiting > 0 && this.#options.clock.nowMillis() < until) {
      await new Promise((resolve) => setTimeout(resolve, pollMillis));
    }
    if (this.#waiting > 0 || this.#dropped > 0) return false;
    const value: ClosingValue = { atMillis: this.#options.clock.wallMillis() };
    try {
      const result = await this.#options.table.transact([
        { key: closingKey(name), expectVersion: 0, value },
      ]);
      return result.kind === "committed";
    } catch {
      return false;
    }
  }

  /** Reads what became of a ticket whose issuer is gone. */
  async read(ticket: string, issuer: IncarnationName): Promise<TicketOutcome> {
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
