/**
 * Estimates what the system may hold of one connection until the process reads it. The
 * window is small at first. The system widens it while much is read in a short time, up
 * to about as much as that and to its maximum, and doesn't narrow it again. A process can't
 * ask for its size.
 */

/** The window of a connection of which little is read at a time. */
export const RECEIVE_WINDOW_BYTES = 98_304;
/** The largest window that Linux gives by default (`net.ipv4.tcp_rmem`). */
const MAX_WINDOW_BYTES = 6_291_456;
/** Load of what is not read from which connections with a wider window are closed. */
export const MAX_GROWN_LOAD = 0.5;
/** Time in which bytes that are read count as read at once. */
const BURST_MILLIS = 500;

/** The window of one connection. */
export class ReceiveWindow {
  bytes = RECEIVE_WINDOW_BYTES;
  #readBytes = 0;
  /** When the last burst began, and what was read before it. */
  #burst = { atMillis: -Infinity, readBytes: 0 };

  /** Records how much of the connection was read until now; returns how much it grew. */
  recordRead(readBytes: number): number {
    const nowMillis = performance.now();
    if (nowMillis - this.#burst.atMillis > BURST_MILLIS) {
      this.#burst = { atMillis: nowMillis, readBytes: this.#readBytes };
    }
    this.#readBytes = readBytes;
    const burstBytes = readBytes - this.#burst.readBytes;
    const grownBytes = Math.min(burstBytes, MAX_WINDOW_BYTES) - this.bytes;
    if (grownBytes <= 0) return 0;
    this.bytes += grownBytes;
    return grownBytes;
  }

  /** True if the system may hold more of it than of most others. */
  get isGrown(): boolean {
    return this.bytes > RECEIVE_WINDOW_BYTES;
  }
}
