/**
 * Shares the sockets that a process may open between callers and targets. Without
 * sockets for targets no caller is served, and a failed connect call would look like an
 * unreachable target.
 */

/** Share of the sockets that callers may take. */
const CALLERS_SHARE = 0.6;
/**
 * Share of the sockets from which connections of callers are closed at once; between
 * the two, requests on further connections are refused.
 */
const MAX_CALLERS_SHARE = 0.7;
/**
 * Share of the sockets from which connections that wait are not accepted before callers
 * are read: the requests on those between are refused, and end soon.
 */
const REFUSALS_SHARE = 0.66;
/** Share of the sockets for the store, other entries, look-ups and files. */
const RESERVED_SHARE = 1 / 32;
/** Share of the sockets that is left to connections whose requests are refused. */
const REFUSED_SHARE = 1 / 16;

/** Sockets of one process. */
export class DescriptorBudget {
  readonly #maxSockets: number;
  /** Open connections of callers, and of entries that forward requests. */
  callerCount = 0;
  /** Open connections to targets and to other entries. */
  targetCount = 0;

  /** `maxSockets` is Infinity if there is no known limit. */
  constructor(maxSockets: number) {
    this.#maxSockets = maxSockets;
  }

  /** True if the requests of one more connection may be served. */
  get hasRoomForCaller(): boolean {
    return this.callerCount < this.#maxSockets * CALLERS_SHARE;
  }

  /** True if connections whose requests are refused may be accepted first. */
  get hasRoomForRefusals(): boolean {
    return this.callerCount < this.#maxSockets * REFUSALS_SHARE &&
      this.#openCount <
        this.#maxSockets * (1 - RESERVED_SHARE - REFUSED_SHARE / 2);
  }

  /** True if there is no socket left for a caller, not even to refuse its request. */
  get isFull(): boolean {
    return this.callerCount >= this.#maxSockets * MAX_CALLERS_SHARE ||
      this.#openCount >= this.#maxSockets * (1 - RESERVED_SHARE);
  }

  /** True if there is room for the requests in flight beside all idle connections. */
  hasAmpleRoom(inFlight: number): boolean {
    return this.#openCount + inFlight < this.#maxForRequests;
  }

  /** True if each of the requests in flight can have a connection to a target. */
  hasRoomForRequest(inFlight: number): boolean {
    const waiting = Math.max(0, inFlight - this.targetCount);
    return this.#openCount + waiting < this.#maxForRequests;
  }

  get #openCount(): number {
    return this.callerCount + this.targetCount;
  }

  get #maxForRequests(): number {
    return this.#maxSockets * (1 - RESERVED_SHARE - REFUSED_SHARE);
  }
}
