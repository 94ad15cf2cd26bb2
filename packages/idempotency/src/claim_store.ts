/**
 * Claims callers' own keys in the platform's table before dispatch, and
 * writes outcomes behind. A lost answer is settled by reading the claim's
 * own attempt id; while that can't be done, nothing is dispatched.
 */
import { randomUUID } from "node:crypto";
import { Buffer } from "node:buffer";
import type { Clock, Row, TablePort } from "@bamboolane/platform/ports";
import type { KeptAnswer } from "./execution_table.ts";
import type { BatchWriter } from "./batch_writer.ts";

/** Value of a claim row. */
export interface ClaimValue {
  attempt: string;
  instance: string;
  incarnation: number;
  fingerprint: string;
  /** Wall time, for sweeping. Unit: milliseconds since the epoch. */
  atMillis: number;
  /** Absent while the request may be running. */
  answer?: StoredAnswer;
}

/** An answer as a row holds it. */
export type StoredAnswer =
  | {
    kind: "answered";
    status: number;
    headers: [string, string][];
    body?: string;
  }
  | { kind: "failed"; code: number; detail: string };

/** What claiming led to. */
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
  /** How long a claim may take. */
  timeoutMillis: number;
}

const maxAbandoned = 10_000;
const maxStoredBodyBytes = 4096;
const retryPauseMillis = 50;

/** Key of a claim's row. */
export function claimRowKey(member: string, key: string): string {
  return `claim/${member}/${key}`;
}

/** Converts an answer for a row; large bodies are left out. */
export function toStoredAnswer(answer: KeptAnswer): StoredAnswer {
  if (answer.kind === "failed") {
    return { kind: "failed", code: answer.code, detail: answer.detail };
  }
  const { status, headers, body } = answer;
  const small = body !== undefined && body.byteLength <= maxStoredBodyBytes;
  return {
    kind: "answered",
    status,
    headers,
    body: small ? Buffer.from(body).toString("base64") : undefined,
  };
}

/** Claims and settles callers' keys. */
export class ClaimStore {
  readonly #options: ClaimStoreOptions;
  /** Attempts that were given up before dispatch, so their rows are void. */
  readonly #abandoned = new Set<string>();

  constructor(options: ClaimStoreOptions) {
    this.#options = options;
  }

  /** Claims a key; rejects never. */
  async claim(rowKey: string, fingerprint: string): Promise<ClaimResult> {
    const { instance, incarnation, clock, timeoutMillis } = this.#options;
    const value: ClaimValue = {
      attempt: randomUUID(),
      instance,
      incarnation,
      fingerprint,
      atMillis: clock.wallMillis(),
    };
    const deadline = clock.nowMillis() + timeoutMillis;
    let expectVersion = 0;
    while (clock.nowMillis() < deadline) {
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
      const verdict = this.#judge(row, value);
      if (verdict.kind === "retry") expectVersion = verdict.expectVersion;
      else return verdict;
    }
    this.#abandon(value.attempt);
    return { kind: "away" };
  }

  /** True where the attempt was given up here before it was dispatched. */
  isAbandoned(attempt: string): boolean {
    return this.#abandoned.has(attempt);
  }

  /** Writes a claim's outcome behind; what was not run frees the key. */
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

  #judge(
    row: Row | undefined,
    own: ClaimValue,
  ): ClaimResult | { kind: "retry"; expectVersion: number } {
    const found = row?.value as ClaimValue | undefined;
    if (row === undefined || found === undefined) {
      return { kind: "retry", expectVersion: 0 };
    }
    if (found.attempt === own.attempt) {
      const claim = { rowKey: row.key, version: row.version, value: own };
      return { kind: "claimed", claim };
    }
    const ours = found.instance === own.instance &&
      found.incarnation === own.incarnation;
    if (
      ours && this.#abandoned.has(found.attempt) && found.answer === undefined
    ) {
      return { kind: "retry", expectVersion: row.version };
    }
    return { kind: "taken", value: found };
  }

  async #readBack(rowKey: string): Promise<Row | undefined> {
    try {
      const [row] = await this.#options.table.read([rowKey]);
      return row;
    } catch {
      await new Promise((resolve) => setTimeout(resolve, retryPauseMillis));
      return undefined;
    }
  }

  #abandon(attempt: string): void {
    this.#abandoned.add(attempt);
    if (this.#abandoned.size <= maxAbandoned) return;
    this.#abandoned.delete(this.#abandoned.values().next().value as string);
  }
}
