/**
 * What connections and requests take of a process's memory, with the objects of Node.js
 * and of the libraries that belong to them.
 */
import type { IncomingMessage } from "node:http";
import type { MemoryAmount } from "./memory_budget.ts";

/** A connection of a caller, idle. */
export const CONNECTION_COST: MemoryAmount = {
  heapBytes: 6144,
  bufferBytes: 10_240,
};

/** A request that is answered or dropped without its head, and waits for others. */
export const ANSWERED_REQUEST_COST: MemoryAmount = {
  heapBytes: 2048,
  bufferBytes: 0,
};

/**
 * A request in progress with its connection to a target, without its head and body. The
 * buffers include those of an ordinary answer.
 */
const REQUEST_COST: MemoryAmount = { heapBytes: 14_336, bufferBytes: 24_576 };

/** Size of the answer that {@link REQUEST_COST} includes. */
export const ORDINARY_ANSWER_BYTES = 16_384;

/** Characters of a head: the parsed texts, and those that are sent to a target. */
const COPIES_OF_HEAD = 2;
/** A field of a head in the lists and tables that hold it. */
const FIELD_BYTES = 96;
/** Bytes of heap for each byte of a head that is not complete: short fields take more. */
const PARTIAL_HEAD_FACTOR = 5;
/** Bytes of heap for each name or value of such a head. */
const PARTIAL_TEXT_BYTES = 32;
/** Size of an answer's head that {@link REQUEST_COST} includes. */
const ORDINARY_ANSWER_HEAD_BYTES = 2048;
/** Bytes of heap for each byte of an answer's head or trailers that is not complete. */
const PARTIAL_ANSWER_HEAD_FACTOR = 56;

/** Memory of a request whose head was read. */
export function requestCost(
  { rawHeaders }: IncomingMessage,
  headBytes: number,
): MemoryAmount {
  const fieldBytes = rawHeaders.length / 2 * FIELD_BYTES;
  return {
    heapBytes: REQUEST_COST.heapBytes + headBytes * COPIES_OF_HEAD + fieldBytes,
    bufferBytes: REQUEST_COST.bufferBytes,
  };
}

/** Memory of the part of a head, or of trailers, that was read so far. */
export function partialHeadCost(
  { unparsedBytes, heldTexts }: { unparsedBytes: number; heldTexts: number },
): MemoryAmount {
  return {
    heapBytes: Math.max(
      unparsedBytes * PARTIAL_HEAD_FACTOR,
      heldTexts * PARTIAL_TEXT_BYTES,
    ),
    bufferBytes: unparsedBytes,
  };
}

/** Memory of the part of an answer's head or trailers that was read so far. */
export function partialAnswerHeadCost(bytes: number): MemoryAmount {
  const largeBytes = Math.max(0, bytes - ORDINARY_ANSWER_HEAD_BYTES);
  return { heapBytes: largeBytes * PARTIAL_ANSWER_HEAD_FACTOR, bufferBytes: 0 };
}

/** Memory of an answer's head with as many fields, besides an ordinary one. */
export function answerHeadCost(bytes: number, fields: number): MemoryAmount {
  const cost = bytes * COPIES_OF_HEAD + fields * FIELD_BYTES;
  const ordinaryCost = ORDINARY_ANSWER_HEAD_BYTES * COPIES_OF_HEAD;
  return { heapBytes: Math.max(0, cost - ordinaryCost), bufferBytes: 0 };
}
