/**
 * Serialized state for other entries. Those that know the same share one answer, so
 * that readers that are slow hold few copies of the state; what they hold together is
 * bounded.
 */
import type { LatestRows, RowVersions } from "./latest_rows.ts";

/** Memory of the answers that are being read; the last one may exceed it. */
const MAX_HELD_BYTES = 16_777_216;

/** An answer that one reader reads. */
export interface StateAnswer {
  body: Buffer;
  /** Called once the reader has read it, or is gone. */
  release: () => void;
}

interface SharedAnswer {
  key: string;
  body: Buffer;
  readers: number;
}

/** Answers of one entry. */
export class StateAnswers {
  readonly #rows: LatestRows;
  /** Answers to new readers, by what these know; all of one generation. */
  readonly #current = new Map<string, SharedAnswer>();
  #generation = -1;
  /** The newest answer is kept without readers. */
  #newest: SharedAnswer | undefined;
  #heldBytes = 0;

  constructor(rows: LatestRows) {
    this.#rows = rows;
  }

  /**
   * The answer to an entry that knows all changes up to `versions` and a revision;
   * undefined while other readers hold too much.
   */
  take(versions: RowVersions, revision: number): StateAnswer | undefined {
    if (this.#generation !== this.#rows.generation) {
      this.#generation = this.#rows.generation;
      this.#current.clear();
      this.#replaceNewest(undefined);
    }
    const key = [...versions, revision].join();
    const answer = this.#current.get(key) ??
      this.#create(key, { versions, revision });
    if (answer === undefined) return undefined;
    answer.readers++;
    return {
      body: answer.body,
      release: () => {
        answer.readers--;
        this.#dropUnread(answer);
      },
    };
  }

  #create(
    key: string,
    known: { versions: RowVersions; revision: number },
  ): SharedAnswer | undefined {
    this.#replaceNewest(undefined);
    if (this.#heldBytes >= MAX_HELD_BYTES) return undefined;
    const delta = this.#rows.changesSince(known.versions, known.revision);
    const body = Buffer.from(JSON.stringify(delta));
    const answer = { key, body, readers: 0 };
    this.#heldBytes += body.byteLength;
    this.#current.set(key, answer);
    this.#replaceNewest(answer);
    return answer;
  }

  #replaceNewest(answer: SharedAnswer | undefined): void {
    const before = this.#newest;
    this.#newest = answer;
    if (before !== undefined) this.#dropUnread(before);
  }

  #dropUnread(answer: SharedAnswer): void {
    if (answer.readers > 0 || answer === this.#newest) return;
    this.#heldBytes -= answer.body.byteLength;
    if (this.#current.get(answer.key) === answer) {
      this.#current.delete(answer.key);
    }
  }
}
