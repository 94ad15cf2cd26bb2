/**
 * The keyed requests of this incarnation. A key is not started again while the
 * table holds it, so that it runs at most once; resends wait for its answer or
 * get the stored one. The key of a request that was not run is freed.
 */
import type { Outcome } from "@bamboolane/types/request";

/** Name and value of a response header. */
export type HeaderPair = [name: string, value: string];

/** Final answer of a keyed request, kept for resends. */
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
  /** Resolves when the request has completed or its key was released. */
  done: Promise<KeptAnswer>;
}

/** Ends an execution; returned when a key is started. */
export interface ExecutionHandle {
  /**
   * Completes the execution and keeps the answer for resends; a request that was
   * not run frees its key instead.
   */
  complete(answer: KeptAnswer): void;
  /**
   * Gives the answer to waiting resends and frees the key; for a request that this
   * incarnation did not dispatch.
   */
  release(answer: KeptAnswer): void;
}

/**
 * Result of starting a key: `known` if it was started before by the same request,
 * `mismatch` if by another one, `full` if the table has no room.
 */
export type StartResult =
  | { kind: "started"; execution: Execution; handle: ExecutionHandle }
  | { kind: "known"; execution: Execution }
  | { kind: "mismatch" }
  | { kind: "full" };

interface TrackedExecution extends Execution {
  expiresAtMillis: number;
}

/** Options of {@link ExecutionTable}. */
export interface ExecutionTableOptions {
  /** Maximum number of keys; further ones are refused as not run. */
  maxKeys: number;
  /** Maximum body bytes kept over all answers; the oldest bodies are dropped first. */
  maxKeptBytes: number;
}

/** The keyed requests of one incarnation. */
export class ExecutionTable {
  readonly #entries = new Map<string, TrackedExecution>();
  readonly #options: ExecutionTableOptions;
  #keptBytes = 0;
  #running = 0;

  constructor(options: ExecutionTableOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Number of keys whose request has not completed. */
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
    const entry: TrackedExecution = {
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
        complete: (answer) => this.#complete(entry, { answer, resolve }),
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

  /** Removes completed keys that have expired. */
  expire(nowMillis: number): void {
    for (const entry of this.#entries.values()) {
      if (
        entry.finalAnswer !== undefined && entry.expiresAtMillis <= nowMillis
      ) {
        this.#remove(entry);
      }
    }
  }

  /** Completes an execution; frees the key if the request was not run. */
  #complete(
    entry: TrackedExecution,
    result: { answer: KeptAnswer; resolve: (answer: KeptAnswer) => void },
  ): void {
    const { answer, resolve } = result;
    if (entry.finalAnswer !== undefined) return;
    entry.finalAnswer = answer;
    this.#running--;
    if (answer.kind === "failed" && answer.outcome === "not-run") {
      this.#remove(entry);
    } else if (answer.kind === "answered") {
      this.#retainBody(answer.body?.byteLength ?? 0);
    }
    resolve(answer);
  }

  #retainBody(bytes: number): void {
    this.#keptBytes += bytes;
    for (const entry of this.#entries.values()) {
      if (this.#keptBytes <= this.#options.maxKeptBytes) return;
      const kept = entry.finalAnswer;
      if (kept?.kind !== "answered" || kept.body === undefined) continue;
      this.#keptBytes -= kept.body.byteLength;
      entry.finalAnswer = { ...kept, body: undefined };
    }
  }

  #remove(entry: TrackedExecution): void {
    this.#entries.delete(entry.key);
    const kept = entry.finalAnswer;
    if (kept?.kind === "answered") {
      this.#keptBytes -= kept.body?.byteLength ?? 0;
    }
  }
}
