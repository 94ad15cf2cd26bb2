/**
 * Serves requests that other entries forward.
 */
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { Buffer } from "node:buffer";
import { ResultCode } from "@bamboolane/errors/result_code";
import {
  SteeringError,
  toSteeringError,
} from "@bamboolane/errors/steering_error";
import type {
  ForwardDown,
  ForwardHead,
  ForwardUp,
  PoolLoad,
} from "@bamboolane/wire/generated/bamboolane/v1/peer";
import { Cancellation, type CancelSignal } from "./cancellation.ts";
import {
  type Answer,
  checkNotRun,
  newAttemptRecord,
  readBody,
  type Work,
} from "./answer.ts";
import type { EntryContext } from "./context.ts";
import {
  ForwardRole,
  fromForwardHead,
  fromWireHeaders,
} from "./forward_codec.ts";
import type { LinkPacer } from "./link_pacer.ts";

type DownStream = ServerDuplexStream<ForwardUp, ForwardDown>;

/** Handlers of forwarded requests, by role. */
export interface ForwardHandlers {
  /** Runs a request in a pool that this instance owns. */
  run(work: Work): Promise<Answer>;
  /** Runs a request with a ticket of this instance, or replays its answer. */
  ticket(work: Work): Promise<Answer>;
  /** Answers a request whose key this instance has claimed. */
  claim(work: Work): Promise<Answer>;
  /** Load of this instance's pool, sent after a complete answer. */
  load(service: string): PoolLoad;
  /** Region of a sender; empty if the sender is unknown. */
  regionOf(sender: string): string;
}

/** Options of {@link serveForward}. */
export interface ForwardServerOptions {
  context: EntryContext;
  pacer: LinkPacer;
  handlers: ForwardHandlers;
  /** Request bodies up to this size are buffered. Unit: bytes. */
  maxBufferedBytes: number;
}

async function* readChunks(
  iterator: AsyncIterator<ForwardUp>,
): AsyncGenerator<Uint8Array> {
  for (;;) {
    const next = await iterator.next();
    const part = next.done ? undefined : next.value.part;
    switch (part?.$case) {
      case "body":
        yield part.body;
        break;
      case "end":
        return;
      default:
        throw new SteeringError(
          ResultCode.badRequest,
          "The request's body was cut short.",
        );
    }
  }
}

function dispatch(
  handlers: ForwardHandlers,
  head: ForwardHead,
  work: Work,
): Promise<Answer> {
  switch (head.role) {
    case ForwardRole.FORWARD_ROLE_TICKET:
      return handlers.ticket(work);
    case ForwardRole.FORWARD_ROLE_CLAIM:
      return handlers.claim(work);
    default:
      return handlers.run(work);
  }
}

async function write(stream: DownStream, message: ForwardDown): Promise<void> {
  if (stream.write(message)) return;
  await new Promise<void>((resolve) => {
    stream.once("drain", resolve);
    stream.once("cancelled", resolve);
  });
}

async function sendAnswer(
  stream: DownStream,
  answer: Answer,
  options: ForwardServerOptions & {
    work: Work;
    region: string;
    signal: CancelSignal;
  },
): Promise<void> {
  const headers = answer.headers.map(([name, value]) => ({ name, value }));
  const head = { status: answer.status, headers, target: answer.target };
  await write(stream, { part: { $case: "head", head } });
  const chunks = answer.body.kind === "whole"
    ? [answer.body.bytes]
    : answer.body.chunks;
  for await (const chunk of chunks) {
    if (options.signal.aborted) return answer.cancel();
    await options.pacer.pace(chunk.byteLength, options.work.info.lane, options);
    await write(stream, { part: { $case: "body", body: Buffer.from(chunk) } });
  }
  const end = options.handlers.load(options.work.info.service);
  await write(stream, { part: { $case: "end", end } });
}

async function readWork(
  stream: DownStream,
  options: ForwardServerOptions & { signal: CancelSignal },
): Promise<{ head: ForwardHead; work: Work }> {
  const iterator = stream[Symbol.asyncIterator]() as AsyncIterator<ForwardUp>;
  const first = await iterator.next();
  const part = first.done ? undefined : first.value.part;
  if (part?.$case !== "head") {
    throw new SteeringError(
      ResultCode.badRequest,
      "The request's head is missing.",
    );
  }
  const head = part.head;
  const body = await readBody(readChunks(iterator), options);
  const work: Work = {
    info: fromForwardHead(head),
    headers: fromWireHeaders(head.headers),
    body,
    deadlineMillis: options.context.clock.nowMillis() + head.timeoutMillis,
    signal: options.signal,
    move: head.move,
    attempts: newAttemptRecord(),
  };
  return { head, work };
}

/** Serves one forwarded request. */
export async function serveForward(
  stream: DownStream,
  options: ForwardServerOptions,
): Promise<void> {
  const abort = new Cancellation();
  stream.on("cancelled", () => abort.abort());
  stream.on("error", () => abort.abort());
  let answer: Answer | undefined;
  let work: Work | undefined;
  try {
    const request = await readWork(stream, {
      ...options,
      signal: abort.signal,
    });
    const { head } = request;
    work = request.work;
    answer = await dispatch(options.handlers, head, work);
    const region = options.handlers.regionOf(head.sender);
    await sendAnswer(stream, answer, {
      ...options,
      work,
      region,
      signal: abort.signal,
    });
  } catch (error) {
    answer?.cancel();
    const failure = toSteeringError(error, ResultCode.internal);
    if (work) checkNotRun(work, failure.outcome, options.context.invariants);
    const refusal = { code: failure.info.code, detail: failure.detail };
    if (!abort.signal.aborted) {
      stream.write({ part: { $case: "refusal", refusal } });
    }
  } finally {
    stream.end();
  }
}
