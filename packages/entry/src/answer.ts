/**
 * A request in progress and its answer, as passed between the components of an
 * entry.
 */
import { Outcome, type RequestInfo } from "@bamboolane/types/request";
import { type CancelSignal } from "./cancellation.ts";
import { Invariant, type Invariants } from "./invariants.ts";
import type { HeaderPair } from "@bamboolane/idempotency/execution_table";

/** A request body: buffered whole, or a stream that can be read once. */
export type RequestBody =
  | { kind: "whole"; bytes: Uint8Array }
  | { kind: "stream"; chunks: AsyncIterable<Uint8Array>; consumed: boolean };

/**
 * Counts the attempts made for a request, so that a "not run" outcome can be
 * verified.
 */
export interface AttemptRecord {
  /** Attempts sent to a target or to another entry. */
  dispatches: number;
  /** Dispatched attempts that are proven not to have run. */
  provenNotRun: number;
  /**
   * True once it is known what became of earlier sends with the same key, so
   * that a "not run" outcome covers them too.
   */
  keySeen: boolean;
}

/** The record of a request without attempts. */
export function newAttemptRecord(): AttemptRecord {
  return { dispatches: 0, provenNotRun: 0, keySeen: false };
}

/** A request being routed to a target. */
export interface Work {
  info: RequestInfo;
  headers: HeaderPair[];
  body: RequestBody;
  /** Deadline on the instance's monotonic clock. */
  deadlineMillis: number;
  /** Aborted when the caller disconnects or the answer is no longer needed. */
  signal: CancelSignal;
  /**
   * Id of the move that applies to the request, counted against its cap; empty
   * if none.
   */
  move: string;
  attempts: AttemptRecord;
}

/**
 * An answer's body: complete in memory, or a stream that throws if it is cut
 * short.
 */
export type AnswerBody =
  | { kind: "whole"; bytes: Uint8Array }
  | { kind: "stream"; chunks: AsyncIterable<Uint8Array> };

/** An answer to a request. */
export interface Answer {
  status: number;
  headers: HeaderPair[];
  body: AnswerBody;
  /** Id of the target that ran the request; empty if the answer is replayed. */
  target: string;
  /** Data centre that answered; empty if this instance replays the answer. */
  dataCentre: string;
  /**
   * Releases the answer's resources; must be called if the body is not read.
   */
  cancel(): void;
}

/** Runs a request. Rejects with a SteeringError. */
export type WorkRunner = (work: Work) => Promise<Answer>;

/**
 * Records an attempt that is about to be sent, and checks that a non-idempotent
 * request runs at most once.
 */
export function recordDispatch(work: Work, invariants: Invariants): void {
  const { dispatches, provenNotRun } = work.attempts;
  invariants.check(
    Invariant.atMostOnce,
    work.info.idempotent || dispatches === provenNotRun,
    () =>
      `request=${work.info.id} dispatches=${dispatches} provenNotRun=${provenNotRun}`,
  );
  work.attempts.dispatches++;
}

/** Checks that a "not run" outcome is proven for every dispatched attempt. */
export function checkNotRun(
  work: Work,
  outcome: Outcome,
  invariants: Invariants,
): void {
  if (outcome !== Outcome.notRun) return;
  const { dispatches, provenNotRun } = work.attempts;
  invariants.check(
    Invariant.notRunProven,
    dispatches === provenNotRun,
    () =>
      `request=${work.info.id} dispatches=${dispatches} provenNotRun=${provenNotRun}`,
  );
}

/** True if the body is buffered, or its stream has not been read yet. */
export function isReplayable(body: RequestBody): boolean {
  return body.kind === "whole" || !body.consumed;
}

/**
 * Buffers a request's body up to `maxBufferedBytes`; a longer one stays a
 * stream.
 */
export async function readBody(
  source: AsyncIterable<Uint8Array>,
  options: { maxBufferedBytes: number },
): Promise<RequestBody> {
  const body = await bufferBody(
    { kind: "stream", chunks: source },
    options.maxBufferedBytes,
  );
  return body.kind === "whole" ? body : { ...body, consumed: false };
}

/**
 * Buffers a stream up to `limitBytes`; a longer one is returned as a stream of
 * all its chunks.
 */
export async function bufferBody(
  body: AnswerBody,
  limitBytes: number,
): Promise<AnswerBody> {
  if (body.kind === "whole") return body;
  const iterator = body.chunks[Symbol.asyncIterator]();
  const buffered: Uint8Array[] = [];
  let size = 0;
  while (size <= limitBytes) {
    const next = await iterator.next();
    if (next.done) return { kind: "whole", bytes: concatBytes(buffered, size) };
    buffered.push(next.value);
    size += next.value.byteLength;
  }
  return { kind: "stream", chunks: resumeStream(buffered, iterator) };
}

/**
 * The answer's declared content length in bytes; undefined if it declares none.
 */
export function declaredLength(
  headers: readonly HeaderPair[],
): number | undefined {
  const found = headers.find(([name]) => name === "content-length");
  return found === undefined ? undefined : Number(found[1]);
}

/**
 * Answers that declare at most this length are buffered before they are passed
 * on, so that a request whose answer is cut short can be retried.
 */
export const MAX_BUFFERED_ANSWER_BYTES = 65_536;

/** True if an answer declares a length that is small enough to buffer it. */
export function fitsBuffer(headers: readonly HeaderPair[]): boolean {
  const length = declaredLength(headers);
  return length !== undefined && length <= MAX_BUFFERED_ANSWER_BYTES;
}

async function* resumeStream(
  buffered: Uint8Array[],
  iterator: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  yield* buffered;
  for (;;) {
    const next = await iterator.next();
    if (next.done) return;
    yield next.value;
  }
}

/** Concatenates chunks of a known total size in bytes. */
export function concatBytes(chunks: Uint8Array[], size: number): Uint8Array {
  if (chunks.length === 1) return chunks[0];
  const joined = new Uint8Array(size);
  let offset = 0;
  for (const chunk of chunks) {
    joined.set(chunk, offset);
    offset += chunk.byteLength;
  }
  return joined;
}
