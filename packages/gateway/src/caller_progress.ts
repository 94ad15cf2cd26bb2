/**
 * When a caller last sent more of a request, or read more of an answer.
 */
import type { Socket } from "node:net";

/** Bytes that count as progress of a caller that sends slowly. */
const MIN_PROGRESS_BYTES = 256;

/** Progress of one connection. */
export class CallerProgress {
  /** Bytes read, and written and not yet sent, when the connection last made progress. */
  #progress = {
    readBytes: 0,
    writtenBytes: 0,
    unsentBytes: 0,
    atMillis: performance.now(),
  };

  /** Time since the last progress. */
  waitedMillis(nowMillis: number, socket: Socket): number {
    const { readBytes, writtenBytes, unsentBytes } = this.#progress;
    const newBytes = socket.bytesRead - readBytes;
    // A streamed answer has mostly as much unsent after more of it was read.
    if (
      newBytes >= MIN_PROGRESS_BYTES || socket.writableLength !== unsentBytes ||
      socket.bytesWritten !== writtenBytes
    ) this.record(nowMillis, socket);
    return nowMillis - this.#progress.atMillis;
  }

  /** Starts the time anew. */
  record(nowMillis: number, socket: Socket): void {
    this.#progress = {
      readBytes: socket.bytesRead,
      writtenBytes: socket.bytesWritten,
      unsentBytes: socket.writableLength,
      atMillis: nowMillis,
    };
  }
}
