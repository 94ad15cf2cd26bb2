/**
 * Writes text to a file descriptor without blocking the process. Node writes
 * to a pipe synchronously, so a stopped reader would block the process. Lines
 * beyond the queue's limit are dropped and counted.
 */
import { write } from "node:fs";

/** Limit of the queue: holds some seconds of a busy entry's log. */
const MAX_QUEUED_BYTES = 1_048_576;

/** Writes `bytes` and reports how many of them were written. */
export type WriteBytes = (
  bytes: Uint8Array,
  done: (error: Error | null, written: number) => void,
) => void;

/** Bounded queue in front of a file descriptor. */
export class BoundedOutput {
  readonly #write: WriteBytes;
  #queue: Uint8Array[] = [];
  #queuedBytes = 0;
  #writing = false;
  #droppedLines = 0;

  constructor(write: WriteBytes) {
    this.#write = write;
  }

  /** Number of lines dropped since the last `log_lines_dropped` event. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Queues complete lines; drops all of them if they don't fit into the queue. */
  add(text: string): void {
    const bytes = Buffer.from(text);
    if (this.#queuedBytes + bytes.byteLength > MAX_QUEUED_BYTES) {
      this.#droppedLines += countLines(bytes);
      return;
    }
    if (this.#droppedLines > 0) this.#reportDropped();
    this.#enqueue(bytes);
    this.#writeNext();
  }

  #reportDropped(): void {
    const line = `event=log_lines_dropped lines=${this.#droppedLines}\n`;
    this.#droppedLines = 0;
    this.#enqueue(Buffer.from(line));
  }

  #enqueue(bytes: Uint8Array): void {
    this.#queue.push(bytes);
    this.#queuedBytes += bytes.byteLength;
  }

  #writeNext(): void {
    const bytes = this.#queue[0];
    if (this.#writing || bytes === undefined) return;
    this.#writing = true;
    this.#write(bytes, (error, written) => {
      this.#writing = false;
      // The pipe is full in non-blocking mode; retry with the same bytes.
      if (error && (error as NodeJS.ErrnoException).code === "EAGAIN") {
        setTimeout(() => this.#writeNext(), RETRY_DELAY_MILLIS).unref();
        return;
      }
      const consumedBytes = error ? bytes.byteLength : written;
      if (error) this.#droppedLines += countLines(bytes);
      this.#queuedBytes -= consumedBytes;
      if (consumedBytes >= bytes.byteLength) this.#queue.shift();
      else this.#queue[0] = bytes.subarray(consumedBytes);
      this.#writeNext();
    });
  }
}

/** Delay before a write to a full pipe is retried. */
const RETRY_DELAY_MILLIS = 20;

function countLines(bytes: Uint8Array): number {
  let lines = 0;
  for (const byte of bytes) if (byte === 10) lines++;
  return lines;
}

/**
 * Creates a bounded output for a stream of the process, as `process.stdout`. Node.js
 * makes a pipe or socket non-blocking when it creates such a stream, and restores it at
 * the end. Otherwise a thread could wait for the reader, and the process's end for it.
 */
export function openBoundedOutput(stream: { fd: number }): BoundedOutput {
  return new BoundedOutput((bytes, done) =>
    write(stream.fd, bytes, (error, written) => done(error, written))
  );
}
