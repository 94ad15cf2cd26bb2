/**
 * Forwards requests to another entry and reads the answers. A connection that
 * could not be opened and a "not run" refusal by the receiver prove that
 * nothing ran; after any other failure the outcome is unknown.
 */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import { Buffer } from "node:buffer";
import { ResultCode } from "@bamboolane/errors/result_code";
import {
  errorFromCode,
  SteeringError,
} from "@bamboolane/errors/steering_error";
import {
  connectPeer,
  type PeerConnection,
} from "@bamboolane/wire/peer_channel";
import type {
  ForwardDown,
  ForwardUp,
  PoolLoad,
  ResponseHead,
} from "@bamboolane/wire/generated/bamboolane/v1/peer";
import type { InstanceRecord } from "@bamboolane/types/instance";
import {
  type Answer,
  type AnswerBody,
  bufferBody,
  fitsBuffer,
  MAX_BUFFERED_ANSWER_BYTES,
  recordDispatch,
  type Work,
} from "./answer.ts";
import type { EntryContext } from "./context.ts";
import {
  type ForwardRole,
  fromWireHeaders,
  toForwardHead,
} from "./forward_codec.ts";
import type { LinkPacer } from "./link_pacer.ts";

type UpStream = ClientDuplexStream<ForwardUp, ForwardDown>;

/** Options of {@link ForwardClient}. */
export interface ForwardClientOptions {
  context: EntryContext;
  pacer: LinkPacer;
  revision: () => number;
  /**
   * Called with the pool load that a receiver reports at the end of an answer.
   */
  onLoad: (instance: string, load: PoolLoad) => void;
}

const CONNECT_TIMEOUT_MILLIS = 400;
/** Connections that are unused for this long are closed. */
const IDLE_TIMEOUT_MILLIS = 60_000;
/**
 * From this number of connections on, idle ones are closed before another is
 * opened.
 */
const MAX_CONNECTIONS = 1024;

interface PooledConnection extends PeerConnection {
  address: string;
  lastUsedAtMillis: number;
}

/** Forwards requests to other entries over cached connections. */
export class ForwardClient {
  readonly #options: ForwardClientOptions;
  readonly #connections = new Map<string, PooledConnection>();

  constructor(options: ForwardClientOptions) {
    this.#options = options;
  }

  close(): void {
    for (const connection of this.#connections.values()) connection.close();
    this.#connections.clear();
  }

  /** Closes connections that are idle for longer than the timeout. */
  closeIdle(): void {
    const oldest = this.#options.context.clock.nowMillis() -
      IDLE_TIMEOUT_MILLIS;
    for (const [id, connection] of this.#connections) {
      if (connection.lastUsedAtMillis >= oldest) continue;
      connection.close();
      this.#connections.delete(id);
    }
  }

  /**
   * Runs a request at `peer`, which is the pool's owner, the ticket's issuer or
   * the claim's holder, depending on the role. Rejects with a
   * {@link SteeringError}.
   */
  async run(
    work: Work,
    peer: InstanceRecord,
    options: { role: ForwardRole },
  ): Promise<Answer> {
    const connection = this.#connect(peer);
    await this.#waitUntilReady(connection, peer.id);
    if (work.signal.aborted) {
      throw new SteeringError(ResultCode.callerCancelledBeforeRun);
    }
    const { context } = this.#options;
    recordDispatch(work, context.invariants);
    const stream = connection.client.forward(connection.metadata);
    const cancel = () => stream.cancel();
    work.signal.addEventListener("abort", cancel, { once: true });
    const reader = new ForwardReader(stream, {
      onLoad: (load) => this.#options.onLoad(peer.id, load),
      onEnd: () => work.signal.removeEventListener("abort", cancel),
    });
    const head = toForwardHead(work, {
      role: options.role,
      sender: context.settings.instance.id,
      revision: this.#options.revision(),
      nowMillis: context.clock.nowMillis(),
    });
    stream.write({ part: { $case: "head", head } });
    this.#sendBody(stream, work, peer.region).catch(() => stream.cancel());
    try {
      const response = await reader.head();
      const headers = fromWireHeaders(response.headers);
      const body: AnswerBody = { kind: "stream", chunks: reader.body() };
      return {
        status: response.status,
        headers,
        target: response.target,
        dataCentre: peer.dataCentre,
        body: fitsBuffer(headers)
          ? await bufferBody(body, MAX_BUFFERED_ANSWER_BYTES)
          : body,
        cancel,
      };
    } catch (error) {
      if (error instanceof SteeringError && error.outcome === "not-run") {
        work.attempts.provenNotRun++;
      }
      throw error;
    }
  }

  async #sendBody(stream: UpStream, work: Work, region: string): Promise<void> {
    const { body } = work;
    if (body.kind === "whole") {
      if (body.bytes.byteLength > 0) {
        await this.#sendChunk(stream, body.bytes, { work, region });
      }
    } else {
      body.consumed = true;
      for await (const chunk of body.chunks) {
        await this.#sendChunk(stream, chunk, { work, region });
      }
    }
    stream.write({ part: { $case: "end", end: true } });
    stream.end();
  }

  async #sendChunk(
    stream: UpStream,
    chunk: Uint8Array,
    options: { work: Work; region: string },
  ): Promise<void> {
    await this.#options.pacer.pace(
      chunk.byteLength,
      options.work.info.lane,
      options,
    );
    const body = Buffer.from(chunk);
    if (stream.write({ part: { $case: "body", body } })) return;
    await new Promise<void>((resolve) => {
      stream.once("drain", resolve);
      stream.once("close", resolve);
    });
  }

  #connect(peer: InstanceRecord): PooledConnection {
    const known = this.#connections.get(peer.id);
    const nowMillis = this.#options.context.clock.nowMillis();
    if (known && known.address === peer.peerAddress) {
      known.lastUsedAtMillis = nowMillis;
      return known;
    }
    known?.close();
    if (this.#connections.size >= MAX_CONNECTIONS) this.closeIdle();
    const { peerSecret } = this.#options.context.settings.credentials;
    const opened: PooledConnection = {
      ...connectPeer(peer.peerAddress, peerSecret),
      address: peer.peerAddress,
      lastUsedAtMillis: nowMillis,
    };
    this.#connections.set(peer.id, opened);
    return opened;
  }

  #waitUntilReady(connection: PooledConnection, peer: string): Promise<void> {
    return new Promise((resolve, reject) => {
      connection.client.waitForReady(
        Date.now() + CONNECT_TIMEOUT_MILLIS,
        (error) => {
          if (error === undefined) return resolve();
          reject(
            new SteeringError(ResultCode.peerUnreachable, `Peer: ${peer}.`),
          );
        },
      );
    });
  }
}

/** Reads the answer to one forwarded request: first the head, then the body. */
class ForwardReader {
  readonly #stream: UpStream;
  readonly #iterator: AsyncIterator<ForwardDown>;
  readonly #options: { onLoad: (load: PoolLoad) => void; onEnd: () => void };

  constructor(
    stream: UpStream,
    options: { onLoad: (load: PoolLoad) => void; onEnd: () => void },
  ) {
    this.#stream = stream;
    this.#options = options;
    // The iterator reports errors too; without a listener they would be thrown.
    stream.on("error", () => {});
    this.#iterator = stream[Symbol.asyncIterator]() as AsyncIterator<
      ForwardDown
    >;
  }

  async head(): Promise<ResponseHead> {
    const part = await this.#next();
    switch (part?.$case) {
      case "head":
        return part.head;
      case "refusal":
        this.#options.onEnd();
        throw errorFromCode(part.refusal.code, part.refusal.detail);
      default:
        this.#options.onEnd();
        throw new SteeringError(ResultCode.peerLost);
    }
  }

  /**
   * Ends normally only after the receiver marked the answer as complete; throws
   * otherwise.
   */
  async *body(): AsyncGenerator<Uint8Array> {
    try {
      for (;;) {
        const part = await this.#next();
        switch (part?.$case) {
          case "body":
            yield part.body;
            break;
          case "end":
            this.#options.onLoad(part.end);
            return;
          case "refusal":
            throw errorFromCode(part.refusal.code, part.refusal.detail);
          default:
            throw new SteeringError(
              ResultCode.answerCut,
              "The connection to the other entry was lost.",
            );
        }
      }
    } finally {
      this.#options.onEnd();
      this.#stream.cancel();
    }
  }

  async #next(): Promise<ForwardDown["part"]> {
    try {
      const next = await this.#iterator.next();
      return next.done ? undefined : next.value.part;
    } catch {
      return undefined;
    }
  }
}
