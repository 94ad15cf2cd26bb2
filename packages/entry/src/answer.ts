/**
 * A unit of work and its answer, as they pass between the entry's parts.
 */
import { Outcome, type RequestInfo } from "@bamboolane/types/request";
import { type CancelSignal } from "./cancellation.ts";
import { Invariant, type Invariants } from "./invariants.ts";
import type { HeaderPair } from "@bamboolane/idempotency/execution_table";

/** A request body: held whole, or readable once. */
export type RequestBody =
  | { kind: "whole"; bytes: Uint8Array }
  | { kind: "stream"; chunks: AsyncIterable<Uint8Array>; consumed: boolean };

/** Counts what was sent for a request, so that "not run" can be checked. */
export interface AttemptRecord {
  /** Attempts handed to a target or to another entry. */
  dispatches: number;
  /** Attempts among them that were refused with proof that they did not run. */
  provenNotRun: number;
  /** The key's holder decided about it, so "not run" covers earlier sends too. */
  keySeen: boolean;
}

/** A trace of a request that nothing was sent for. */
export function newTrace(): AttemptRecord {
  return { dispatches: 0, provenNotRun: 0, keySeen: false };
}

/** A request on its way to a target. */
export interface Work {
  info: RequestInfo;
  headers: HeaderPair[];
  body: RequestBody;
  /** On the instance's monotonic clock. */
  deadlineMillis: number;
  /** Aborted when the caller goes away or nobody needs the answer. */
  signal: CancelSignal;
  /** Move that steers the request, for the cap; empty for none. */
  move: string;
  attempts: AttemptRecord;
}

/** An answer's body: complete in memory, or a stream that throws where it was cut short. */
export type AnswerBody =
  | { kind: "whole"; bytes: Uint8Array }
  | { kind: "stream"; chunks: AsyncIterable<Uint8Array> };

/** An answer to a request. */
export interface Answer {
  status: number;
  headers: HeaderPair[];
  body: AnswerBody;
  target: string;
  dataCentre: string;
  /** Releases what the answer holds; call it when the body is not read. */
  cancel(): void;
}

/** Runs work somewhere. */
export type Runner = (work: Work) => Promise<Answer>;

/** Records that an attempt is about to be sent. */
export function noteDispatch(work: Work, invariants: Invariants): void {
  const { dispatches, provenNotRun } = work.attempts;
  invariants.check(
    Invariant.atMostOnce,
    work.info.idempotent || dispatches === provenNotRun,
    () =>
      `request=${work.info.id} dispatches=${dispatches} provenNotRun=${provenNotRun}`,
  );
  work.attempts.dispatches++;
}

/** Asserts that a refusal which says "not run" is proven. */
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

/** True where the body can be sent (again). */
export function isReplayable(body: RequestBody): boolean {
  return body.kind === "whole" || !body.consumed;
}

/** Reads a request's body whole up to `limit` bytes; a longer one stays a stream. */
export async function readBody(
  source: AsyncIterable<Uint8Array>,
  options: { wholeBytes: number },
): Promise<RequestBody> {
  const body = await holdBody(
    { kind: "stream", chunks: source },
    options.wholeBytes,
  );
  return body.kind === "whole" ? body : { ...body, consumed: false };
}

/** Reads a stream whole up to `limitBytes`; a longer one goes on as a stream. */
export async function holdBody(
  body: AnswerBody,
  limitBytes: number,
): Promise<AnswerBody> {
  if (body.kind === "whole") return body;
  const iterator = body.chunks[Symbol.asyncIterator]();
  const head: Uint8Array[] = [];
  let size = 0;
  while (size <= limitBytes) {
    const next = await iterator.next();
    if (next.done) return { kind: "whole", bytes: concatBytes(head, size) };
    head.push(next.value);
    size += next.value.byteLength;
  }
  return { kind: "stream", chunks: resume(head, iterator) };
}

/** Length that an answer declares; undefined where it declares none. */
export function declaredLength(
  headers: readonly HeaderPair[],
): number | undefined {
  const found = headers.find(([name]) => name === "content-length");
  return found === undefined ? undefined : Number(found[1]);
}

/** Answers up to this size are read whole before they are passed on. Unit: bytes. */
export const heldAnswerBytes = 65_536;

/** True where an answer is small enough to be read whole first. */
export function isHeld(headers: readonly HeaderPair[]): boolean {
  const length = declaredLength(headers);
  return length !== undefined && length <= heldAnswerBytes;
}

async function* resume(
  head: Uint8Array[],
  iterator: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  yield* head;
  for (;;) {
    const next = await iterator.next();
    if (next.done) return;
    yield next.value;
  }
}

/** Joins chunks of a known total size. */
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
