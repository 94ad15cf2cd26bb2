/**
 * One connection of a caller: its incomplete answers, and whether another
 * request may be on its way.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Maximum time until the first request on a new connection, or the rest of a request. */
const REQUEST_ARRIVAL_MILLIS = 1000;

/** Connection of a caller. */
export class CallerConnection {
  /** Incomplete answers, in the order of their requests. */
  readonly pending = new Set<ServerResponse>();
  readonly #socket: Socket;
  /** Bytes that were read up to the last request; undefined before the first one. */
  #requestBytes: number | undefined;
  /** Since when a request is on its way; undefined while none is. */
  #arrivingSinceMillis: number | undefined = performance.now();

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /** Records a request whose head was read, and its answer until it is complete. */
  track(request: IncomingMessage, response: ServerResponse): void {
    this.pending.add(response);
    response.once("close", () => this.pending.delete(response));
    this.#recordRead();
    request.once("end", () => this.#recordRead());
  }

  /** True unless all requests are answered and no other one is on its way. */
  isBusy(nowMillis: number): boolean {
    if (this.pending.size > 0) return true;
    if (this.#socket.writableEnded) return false;
    if (this.#socket.bytesRead === this.#requestBytes) return false;
    this.#arrivingSinceMillis ??= nowMillis;
    return nowMillis - this.#arrivingSinceMillis < REQUEST_ARRIVAL_MILLIS;
  }

  #recordRead(): void {
    this.#requestBytes = this.#socket.bytesRead;
    this.#arrivingSinceMillis = undefined;
  }
}
