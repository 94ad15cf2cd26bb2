/**
 * Claims caller-chosen idempotency keys in the platform's table before dispatch,
 * and writes their outcomes in the background. If the answer to a claim is
 * lost, the row is read back and its attempt id compared; until that succeeds,
 * nothing is dispatched.
 */
import { randomUUID } from "node:crypto";
import { Buffer } from "node:buffer";
import type { Clock, Row, TablePort } from "@bamboolane/platform/ports";
import type { KeptAnswer } from "./execution_table.ts";
import type { BatchWriter } from "./batch_writer.ts";

/** Value of a claim row. */
export interface ClaimValue {
  /** Random id of the attempt that made the claim. */
  attempt: string;
  /** Instance that made the claim. */
  instance: string;
  /** Incarnation of that instance. */
  incarnation: number;
  /** Identifies the request; another request with the same key is a mismatch. */
  fingerprint: string;
  /** Wall time of the claim, for removing old rows. Unit: milliseconds since the epoch. */
  atMillis: number;
  /** Absent while the request may be running. */
  answer?: StoredAnswer;
}

/** An answer as stored in a row; the body is encoded in base64, absent if large. */
export type StoredAnswer =
  | {
    kind: "answered";
    status: number;
    headers: [string, string][];
    body?: string;
  }
  | { kind: "failed"; code: number; detail: string };

/**
 * Result of a claim: `taken` if another attempt holds the key, `away` if the
 * store gave no usable answer in time.
 */
export type ClaimResult =
  | { kind: "claimed"; claim: HeldClaim }
  | { kind: "taken"; value: ClaimValue }
  | { kind: "away" };

/** A claim that this instance holds. */
export interface HeldClaim {
  rowKey: string;
  version: number;
  value: ClaimValue;
}

/** Options of {@link ClaimStore}. */
export interface ClaimStoreOptions {
  instance: string;
  incarnation: number;
  table: TablePort;
  writer: BatchWriter;
  clock: Clock;
  /** Timeout of a claim. */
  timeoutMillis: number;
}

/** Maximum number of remembered attempts; the oldest are dropped first. */
const MAX_ABANDONED_ATTEMPTS = 10_000;
const MAX_STORED_BODY_BYTES = 4096;
const READ_RETRY_DELAY_MILLIS = 50;

/** Row key of a claim. */
export function claimRowKey(member: string, key: string): string {
  return `claim/${member}/${key}`;
}

/** Converts an answer to its stored form; large bodies are left out. */
export function toStoredAnswer(answer: KeptAnswer): StoredAnswer {
  if (answer.kind === "failed") {
    return { kind: "failed", code: answer.code, detail: answer.detail };
  }
  const { status, headers, body } = answer;
  const isSmall = body !== undefined &&
    body.byteLength <= MAX_STORED_BODY_BYTES;
  return {
    kind: "answered",
    status,
    headers,
    body: isSmall ? Buffer.from(body).toString("base64") : undefined,
  };
}

/** Claims caller-chosen keys and records their outcomes. */
export class ClaimStore {
  readonly #options: ClaimStoreOptions;
  /**
   * Ids of attempts that were abandoned before dispatch or ended as not run;
   * their claim rows may be overwritten.
   */
  readonly #abandoned = new Set<string>();

  constructor(options: ClaimStoreOptions) {
    this.#options = options;
  }

  /** Claims a key; never rejects. */
  async claim(rowKey: string, fingerprint: string): Promise<ClaimResult> {
    const { instance, incarnation, clock, timeoutMillis } = this.#options;
    const value: ClaimValue = {
      attempt: randomUUID(),
      instance,
      incarnation,
      fingerprint,
      atMillis: clock.wallMillis(),
    };
    const deadlineMillis = clock.nowMillis() + timeoutMillis;
    let expectVersion = 0;
    while (clock.nowMillis() < deadlineMillis) {
      const result = await this.#options.writer.submit({
        key: rowKey,
        expectVersion,
        value,
      });
      if (result.kind === "committed") {
        return {
          kind: "claimed",
          claim: { rowKey, version: result.version, value },
        };
      }
      const row = result.kind === "conflict"
        ? result.row
        : await this.#readBack(rowKey);
      const verdict = this.#evaluateRow(row, value);
      if (verdict.kind === "retry") expectVersion = verdict.expectVersion;
      else return verdict;
    }
    this.#abandon(value.attempt);
    return { kind: "away" };
  }

  /** True if this instance abandoned the attempt or completed it as not run. */
  isAbandoned(attempt: string): boolean {
    return this.#abandoned.has(attempt);
  }

  /** Writes a claim's outcome; a request that was not run frees its key. */
  async complete(claim: HeldClaim, answer: KeptAnswer): Promise<void> {
    const notRun = answer.kind === "failed" && answer.outcome === "not-run";
    const value = notRun
      ? undefined
      : { ...claim.value, answer: toStoredAnswer(answer) };
    if (notRun) this.#abandon(claim.value.attempt);
    await this.#options.writer.submit({
      key: claim.rowKey,
      expectVersion: claim.version,
      value,
    });
  }

  /**
   * Decides from the row found whether the key is claimed by this attempt, taken
   * by another one, or can be claimed at another row version. A row that could
   * not be read counts as absent: the retry then conflicts and returns it.
   */
  #evaluateRow(
    row: Row | undefined,
    ownValue: ClaimValue,
  ): ClaimResult | { kind: "retry"; expectVersion: number } {
    const found = row?.value as ClaimValue | undefined;
    if (row === undefined || found === undefined) {
      return { kind: "retry", expectVersion: 0 };
    }
    if (found.attempt === ownValue.attempt) {
      const claim = { rowKey: row.key, version: row.version, value: ownValue };
      return { kind: "claimed", claim };
    }
    const isOwnIncarnation = found.instance === ownValue.instance &&
      found.incarnation === ownValue.incarnation;
    if (
      isOwnIncarnation && this.#abandoned.has(found.attempt) &&
      found.answer === undefined
    ) {
      return { kind: "retry", expectVersion: row.version };
    }
    return { kind: "taken", value: found };
  }

  /** Reads the row; undefined, after a delay, if the store does not answer. */
  async #readBack(rowKey: string): Promise<Row | undefined> {
    try {
      const [row] = await this.#options.table.read([rowKey]);
      return row;
    } catch {
      await new Promise((resolve) =>
        setTimeout(resolve, READ_RETRY_DELAY_MILLIS)
      );
      return undefined;
    }
  }

  #abandon(attempt: string): void {
    this.#abandoned.add(attempt);
    if (this.#abandoned.size <= MAX_ABANDONED_ATTEMPTS) return;
    this.#abandoned.delete(this.#abandoned.values().next().value as string);
  }
}
