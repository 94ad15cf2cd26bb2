/**
 * Sends work to another entry and reads its answer. A connection that could
 * not be opened, and a refusal that the receiver states, prove that nothing
 * ran; anything lost after that is in doubt.
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
  heldAnswerBytes,
  holdBody,
  isHeld,
  noteDispatch,
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
  /** Called with the load that a receiver reports after an answer. */
  onLoad: (instance: string, load: PoolLoad) => void;
}

const connectWaitMillis = 400;
/** Connections that were not used for this long are closed. */
const idleMillis = 60_000;
const maxConnections = 1024;

interface Known extends PeerConnection {
  address: string;
  usedAtMillis: number;
}

/** Forwards work to other entries. */
export class ForwardClient {
  readonly #options: ForwardClientOptions;
  readonly #connections = new Map<string, Known>();

  constructor(options: ForwardClientOptions) {
    this.#options = options;
  }

  close(): void {
    for (const connection of this.#connections.values()) connection.close();
    this.#connections.clear();
  }

  /** Closes connections that nobody used lately. */
  closeIdle(): void {
    const oldest = this.#options.context.clock.nowMillis() - idleMillis;
    for (const [id, connection] of this.#connections) {
      if (connection.usedAtMillis >= oldest) continue;
      connection.close();
      this.#connections.delete(id);
    }
  }

  /** Runs work at `peer`. */
  async run(
    work: Work,
    peer: InstanceRecord,
    options: { role: ForwardRole },
  ): Promise<Answer> {
    const connection = this.#connect(peer);
    await this.#ready(connection, peer.id);
    if (work.signal.aborted) {
      throw new SteeringError(ResultCode.callerCancelledBeforeRun);
    }
    const { context } = this.#options;
    noteDispatch(work, context.invariants);
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
        body: isHeld(headers) ? await holdBody(body, heldAnswerBytes) : body,
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
    await this.#options.pacer.pass(
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

  #connect(peer: InstanceRecord): Known {
    const known = this.#connections.get(peer.id);
    const nowMillis = this.#options.context.clock.nowMillis();
    if (known && known.address === peer.peerAddress) {
      known.usedAtMillis = nowMillis;
      return known;
    }
    known?.close();
    if (this.#connections.size >= maxConnections) this.closeIdle();
    const { peerSecret } = this.#options.context.settings.credentials;
    const opened: Known = {
      ...connectPeer(peer.peerAddress, peerSecret),
      address: peer.peerAddress,
      usedAtMillis: nowMillis,
    };
    this.#connections.set(peer.id, opened);
    return opened;
  }

  #ready(connection: Known, peer: string): Promise<void> {
    return new Promise((resolve, reject) => {
      connection.client.waitForReady(
        Date.now() + connectWaitMillis,
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

/** Reads the answer of one forwarded request in order. */
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

  /** Ends normally only after the receiver said that the answer is complete. */
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
              "The other entry went away.",
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
