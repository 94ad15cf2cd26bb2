/**
 * Bounds the memory that one process holds for others: connections, heads, requests in
 * progress, bodies, and answers that callers have not read. All of it counts towards the
 * same limits, whatever its kind: one for the heap of V8, whose overflow ends the
 * process, one for buffers and other memory outside of it, and one for what the system
 * has received for the process and the process has not read.
 */
import { RECEIVE_WINDOW_BYTES } from "./receive_window.ts";

/** Where memory is allocated. */
export const MemoryKind = { heap: "heap", buffer: "buffer" } as const;

/** A kind of memory. */
export type MemoryKind = typeof MemoryKind[keyof typeof MemoryKind];

/** An amount of memory of each kind. */
export interface MemoryAmount {
  heapBytes: number;
  bufferBytes: number;
}

/** Limits of all that one process holds. */
export interface MemoryLimits extends MemoryAmount {
  /** What callers and targets may have sent that the process has not read. */
  unreadBytes: number;
  /** The same together with the resident memory of the process. */
  totalBytes: number;
}

/** Options of {@link MemoryBudget}. */
export interface MemoryBudgetOptions {
  limits: MemoryLimits;
}

/** Connections that may always have sent something. */
const MIN_SENDERS = 256;

/**
 * Share of the buffers that large bodies may take together. Ordinary requests are not
 * refused because of a few large ones.
 */
const LARGE_BODIES_SHARE = 0.6;

/** Memory that one process holds for others. */
export class MemoryBudget {
  readonly #limits: MemoryLimits;
  #heapBytes = 0;
  #bufferBytes = 0;
  #largeBodyBytes = 0;
  #isSuspended = false;
  /** The most that callers and targets may have sent that was not read yet. */
  unreadBytes = 0;
  /**
   * Resident memory of the process. What was freed may stay in it, so that it doesn't
   * bound what is held, but only what may not be read beside it.
   */
  residentBytes = 0;
  /** Requests that were refused for lack of memory or descriptors. */
  refusalCount = 0;

  constructor({ limits }: MemoryBudgetOptions) {
    this.#limits = limits;
  }

  /** Memory that is held. */
  get held(): MemoryAmount {
    return { heapBytes: this.#heapBytes, bufferBytes: this.#bufferBytes };
  }

  get limits(): MemoryLimits {
    return this.#limits;
  }

  /** Part of the limit that is held, of the kind that is scarcer; above 1 beyond the limit. */
  get heldLoad(): number {
    return Math.max(
      this.#heapBytes / this.#limits.heapBytes,
      this.#bufferBytes / this.#limits.bufferBytes,
    );
  }

  /** The same for what may not be read yet. */
  get unreadLoad(): number {
    const { unreadBytes, totalBytes } = this.#limits;
    const maxUnreadBytes = Math.max(
      Math.min(unreadBytes, totalBytes - this.residentBytes),
      MIN_SENDERS * RECEIVE_WINDOW_BYTES,
    );
    return this.unreadBytes / maxUnreadBytes;
  }

  /** The larger one of both. */
  get load(): number {
    return Math.max(this.heldLoad, this.unreadLoad);
  }

  /** Refuses all reservations while the heap itself is nearly full. */
  set suspended(isSuspended: boolean) {
    this.#isSuspended = isSuspended;
  }

  get suspended(): boolean {
    return this.#isSuspended;
  }

  /** Starts to count what is held for one connection or request. */
  open(): MemoryShare {
    return new MemoryShare(this);
  }

  /**
   * Takes memory if there is enough of each kind, so that at most `share` of the limits
   * is taken afterwards; returns false otherwise.
   */
  reserve({ heapBytes, bufferBytes }: MemoryAmount, share = 1): boolean {
    const { limits } = this;
    if (
      this.#isSuspended ||
      this.#heapBytes + heapBytes > limits.heapBytes * share ||
      this.#bufferBytes + bufferBytes > limits.bufferBytes * share
    ) return false;
    this.take({ heapBytes, bufferBytes });
    return true;
  }

  /** Takes buffers for a large body; returns false if such bodies take their part. */
  reserveLargeBody(bytes: number): boolean {
    const largeBytes = this.#largeBodyBytes + bytes;
    // One body is always admitted: its size has a limit of its own.
    const isAlone = this.#largeBodyBytes === 0;
    const maxBytes = this.#limits.bufferBytes * LARGE_BODIES_SHARE;
    if (this.#isSuspended || !isAlone && largeBytes > maxBytes) return false;
    const amount = { heapBytes: 0, bufferBytes: bytes };
    if (isAlone) this.take(amount);
    else if (!this.reserve(amount)) return false;
    this.#largeBodyBytes = largeBytes;
    return true;
  }

  /** Counts memory that is held already; the limit may be exceeded. */
  take({ heapBytes, bufferBytes }: MemoryAmount): void {
    this.#heapBytes += heapBytes;
    this.#bufferBytes += bufferBytes;
  }

  /** Returns memory, and what of it was a large body. */
  release(amount: MemoryAmount, largeBodyBytes = 0): void {
    this.#heapBytes -= amount.heapBytes;
    this.#bufferBytes -= amount.bufferBytes;
    this.#largeBodyBytes -= largeBodyBytes;
  }
}

/** What is held for one connection or request. */
export class MemoryShare {
  readonly #budget: MemoryBudget;
  #heapBytes = 0;
  #bufferBytes = 0;
  #largeBodyBytes = 0;
  #isClosed = false;

  constructor(budget: MemoryBudget) {
    this.#budget = budget;
  }

  /**
   * Takes memory if there is enough of each kind, so that at most `share` of the limits
   * is taken afterwards; returns false otherwise.
   */
  reserve(amount: MemoryAmount, share = 1): boolean {
    if (this.#isClosed || !this.#budget.reserve(amount, share)) return false;
    this.#add(amount);
    return true;
  }

  /** Takes buffers; returns false if there are not enough. */
  reserveBuffer(bufferBytes: number): boolean {
    return this.reserve({ heapBytes: 0, bufferBytes });
  }

  /** Takes buffers for a large body; returns false if such bodies take their part. */
  reserveLargeBody(bytes: number): boolean {
    if (this.#isClosed || !this.#budget.reserveLargeBody(bytes)) return false;
    this.#bufferBytes += bytes;
    this.#largeBodyBytes += bytes;
    return true;
  }

  /** True if more is held than the limit of the process. */
  get isExceeded(): boolean {
    return this.#budget.load > 1;
  }

  /** Counts memory that is held already. */
  take(amount: MemoryAmount): void {
    if (this.#isClosed) return;
    this.#budget.take(amount);
    this.#add(amount);
  }

  /** Returns a part of the memory. */
  release(amount: MemoryAmount): void {
    if (this.#isClosed) return;
    this.#budget.release(amount);
    this.#heapBytes -= amount.heapBytes;
    this.#bufferBytes -= amount.bufferBytes;
  }

  /** Returns the memory. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#budget.release(
      { heapBytes: this.#heapBytes, bufferBytes: this.#bufferBytes },
      this.#largeBodyBytes,
    );
  }

  #add({ heapBytes, bufferBytes }: MemoryAmount): void {
    this.#heapBytes += heapBytes;
    this.#bufferBytes += bufferBytes;
  }
}
