/**
 * Collects a body that arrives in pieces in one buffer. The pieces themselves are not
 * kept: each takes an object of its own, and may keep a larger buffer in memory.
 */

const MIN_CAPACITY_BYTES = 512;
/** Contents that fill less of their buffer are copied to a smaller one. */
const MIN_FILLED_SHARE = 0.8;

/** Options of {@link ByteCollector}. */
export interface ByteCollectorOptions {
  /** Announced size; 0 if it isn't known. */
  announcedBytes: number;
  /** Takes memory for as many bytes more; returns false if there is not enough. */
  reserve: (bytes: number) => boolean;
}

/** Bytes of one body. */
export class ByteCollector {
  readonly #announcedBytes: number;
  readonly #reserve: (bytes: number) => boolean;
  #buffer = Buffer.alloc(0);
  #byteLength = 0;

  constructor({ announcedBytes, reserve }: ByteCollectorOptions) {
    this.#announcedBytes = announcedBytes;
    this.#reserve = reserve;
  }

  get byteLength(): number {
    return this.#byteLength;
  }

  /** Appends a piece; returns false if there is no memory for it. */
  add(piece: Buffer): boolean {
    const neededBytes = this.#byteLength + piece.byteLength;
    if (neededBytes > this.#buffer.byteLength && !this.#growTo(neededBytes)) {
      return false;
    }
    piece.copy(this.#buffer, this.#byteLength);
    this.#byteLength = neededBytes;
    return true;
  }

  /** Returns all bytes; called once, at the end. */
  contents(): Buffer {
    const contents = this.#buffer.subarray(0, this.#byteLength);
    const isFilled =
      this.#byteLength >= MIN_FILLED_SHARE * this.#buffer.byteLength;
    this.#buffer = Buffer.alloc(0);
    return isFilled ? contents : Buffer.concat([contents]);
  }

  #growTo(neededBytes: number): boolean {
    const capacityBytes = this.#byteLength === 0
      ? Math.max(neededBytes, this.#announcedBytes)
      : Math.max(neededBytes, 2 * this.#buffer.byteLength, MIN_CAPACITY_BYTES);
    if (!this.#reserve(capacityBytes - this.#buffer.byteLength)) return false;
    const grown = Buffer.allocUnsafeSlow(capacityBytes);
    this.#buffer.copy(grown, 0, 0, this.#byteLength);
    this.#buffer = grown;
    return true;
  }
}
