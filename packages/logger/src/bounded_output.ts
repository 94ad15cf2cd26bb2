/**
 * Writes text to a descriptor without ever blocking the process: Node writes
 * to a pipe synchronously, so a reader that stops would stop the process with
 * it. What a slow reader leaves beyond the bound is dropped and counted.
 */
import { write } from "node:fs";

/** Text that waits for a slow reader at most: some seconds of a busy entry's log. */
const maxWaitingBytes = 1_048_576;

/** Writes `bytes` and reports how many were taken. */
export type WriteBytes = (
  bytes: Uint8Array,
  done: (error: Error | null, written: number) => void,
) => void;

/** A bounded queue in front of a descriptor. */
export class BoundedOutput {
  readonly #write: WriteBytes;
  #waiting: Uint8Array[] = [];
  #waitingBytes = 0;
  #busy = false;
  #droppedLines = 0;

  constructor(write: WriteBytes) {
    this.#write = write;
  }

  /** Lines dropped since the last note about them. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Takes whole lines; drops them where too much waits already. */
  add(text: string): void {
    const bytes = Buffer.from(text);
    if (this.#waitingBytes + bytes.byteLength > maxWaitingBytes) {
      this.#droppedLines += countLines(bytes);
      return;
    }
    if (this.#droppedLines > 0) this.#noteDropped();
    this.#push(bytes);
    this.#next();
  }

  #noteDropped(): void {
    const note = `event=log_lines_dropped lines=${this.#droppedLines}\n`;
    this.#droppedLines = 0;
    this.#push(Buffer.from(note));
  }

  #push(bytes: Uint8Array): void {
    this.#waiting.push(bytes);
    this.#waitingBytes += bytes.byteLength;
  }

  #next(): void {
    const bytes = this.#waiting[0];
    if (this.#busy || bytes === undefined) return;
    this.#busy = true;
    this.#write(bytes, (error, written) => {
      this.#busy = false;
      // A full pipe in non-blocking mode: the same bytes again, a moment later.
      if (error && (error as NodeJS.ErrnoException).code === "EAGAIN") {
        setTimeout(() => this.#next(), retryMillis).unref();
        return;
      }
      const taken = error ? bytes.byteLength : written;
      if (error) this.#droppedLines += countLines(bytes);
      this.#waitingBytes -= taken;
      if (taken >= bytes.byteLength) this.#waiting.shift();
      else this.#waiting[0] = bytes.subarray(taken);
      this.#next();
    });
  }
}

/** Pause before a full pipe is tried again. */
const retryMillis = 20;

function countLines(bytes: Uint8Array): number {
  let lines = 0;
  for (const byte of bytes) if (byte === 10) lines++;
  return lines;
}

/** A bounded output to an open descriptor. */
export function openBoundedOutput(descriptor: number): BoundedOutput {
  return new BoundedOutput((bytes, done) =>
    write(descriptor, bytes, (error, written) => done(error, written))
  );
}
