/**
 * Aggregate of the keyed requests that this incarnation dispatched. A key is
 * started at most once; resends wait for, or are given, its one answer.
 */
import type { Outcome } from "@bamboolane/types/request";

/** A header of an answer. */
export type HeaderPair = [name: string, value: string];

/** How a keyed request ended. */
export type KeptAnswer =
  | {
    kind: "answered";
    status: number;
    headers: HeaderPair[];
    body: Uint8Array | undefined;
  }
  | { kind: "failed"; code: number; detail: string; outcome: Outcome };

/** A keyed request. */
export interface Execution {
  key: string;
  fingerprint: string;
  finalAnswer: KeptAnswer | undefined;
  /** Resolves when the request has ended. */
  done: Promise<KeptAnswer>;
}

/** How the one who started a key ends it. */
export interface ExecutionHandle {
  /** Keeps the answer for resends. */
  complete(answer: KeptAnswer): void;
  /** Gives the answer to those who wait, and forgets the key. */
  release(answer: KeptAnswer): void;
}

/** What starting a key led to. */
export type StartResult =
  | { kind: "started"; execution: Execution; handle: ExecutionHandle }
  | { kind: "known"; execution: Execution }
  | { kind: "mismatch" }
  | { kind: "full" };

interface Entry extends Execution {
  expiresAtMillis: number;
}

/** Options of {@link ExecutionTable}. */
export interface ExecutionTableOptions {
  /** Keys held at most; beyond it new keys are refused as not run. */
  maxKeys: number;
  /** Body bytes kept over all answers; beyond it the oldest bodies are dropped. */
  maxKeptBytes: number;
}

/** The keyed requests of one incarnation. */
export class ExecutionTable {
  readonly #entries = new Map<string, Entry>();
  readonly #options: ExecutionTableOptions;
  #keptBytes = 0;
  #running = 0;

  constructor(options: ExecutionTableOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Keys that are not settled yet. */
  get running(): number {
    return this.#running;
  }

  /** Starts a key, unless it was started before. */
  start(
    key: string,
    fingerprint: string,
    options: { expiresAtMillis: number; nowMillis: number },
  ): StartResult {
    const known = this.#entries.get(key);
    if (known !== undefined) {
      if (known.fingerprint !== fingerprint) return { kind: "mismatch" };
      return { kind: "known", execution: known };
    }
    if (this.#entries.size >= this.#options.maxKeys) {
      this.expire(options.nowMillis);
      if (this.#entries.size >= this.#options.maxKeys) return { kind: "full" };
    }
    let resolve: (answer: KeptAnswer) => void = () => {};
    const done = new Promise<KeptAnswer>((r) => resolve = r);
    const { expiresAtMillis } = options;
    const entry: Entry = {
      key,
      fingerprint,
      finalAnswer: undefined,
      done,
      expiresAtMillis,
    };
    this.#entries.set(key, entry);
    this.#running++;
    return {
      kind: "started",
      execution: entry,
      handle: {
        complete: (answer) => this.#settle(entry, { answer, resolve }),
        release: (answer) => {
          if (
            entry.finalAnswer !== undefined || this.#entries.get(key) !== entry
          ) {
            return;
          }
          this.#entries.delete(key);
          this.#running--;
          resolve(answer);
        },
      },
    };
  }

  get(key: string): Execution | undefined {
    return this.#entries.get(key);
  }

  /** Forgets settled keys whose time is over. */
  expire(nowMillis: number): void {
    for (const entry of this.#entries.values()) {
      if (
        entry.finalAnswer !== undefined && entry.expiresAtMillis <= nowMillis
      ) {
        this.#forget(entry);
      }
    }
  }

  /** What proved not to have run may be started again under the same key. */
  #settle(
    entry: Entry,
    result: { answer: KeptAnswer; resolve: (answer: KeptAnswer) => void },
  ): void {
    const { answer, resolve } = result;
    if (entry.finalAnswer !== undefined) return;
    entry.finalAnswer = answer;
    this.#running--;
    if (answer.kind === "failed" && answer.outcome === "not-run") {
      this.#forget(entry);
    } else if (answer.kind === "answered") {
      this.#keep(answer.body?.byteLength ?? 0);
    }
    resolve(answer);
  }

  #keep(bytes: number): void {
    this.#keptBytes += bytes;
    for (const entry of this.#entries.values()) {
      if (this.#keptBytes <= this.#options.maxKeptBytes) return;
      const kept = entry.finalAnswer;
      if (kept?.kind !== "answered" || kept.body === undefined) continue;
      this.#keptBytes -= kept.body.byteLength;
      entry.finalAnswer = { ...kept, body: undefined };
    }
  }

  #forget(entry: Entry): void {
    this.#entries.delete(entry.key);
    const kept = entry.finalAnswer;
    if (kept?.kind === "answered") {
      this.#keptBytes -= kept.body?.byteLength ?? 0;
    }
  }
}
