/**
 * Client and server ends of the gRPC protocol between entries. Each call
 * carries the shared peer secret; a server refuses calls without it.
 */
import type { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import {
  credentials,
  makeGenericClientConstructor,
  Metadata,
  Server,
  ServerCredentials,
  status,
} from "@grpc/grpc-js";
import type {
  sendUnaryData,
  ServerDuplexStream,
  ServerUnaryCall,
} from "@grpc/grpc-js";
import {
  type ForwardDown,
  type ForwardUp,
  type Heartbeat,
  type ObjectReply,
  type ObjectRequest,
  PeerClient as GeneratedClient,
  PeerService,
} from "./generated/bamboolane/v1/peer.ts";

const sizes = new WeakMap<Heartbeat, number>();

/** Size of a heartbeat on the wire, once it was sent or received. Unit: bytes. */
export function heartbeatBytes(beat: Heartbeat): number {
  return sizes.get(beat) ?? 0;
}

/** Lets the generated codec note sizes, so that nothing is encoded twice. */
function noteSizes(): void {
  const method = PeerService.exchange as {
    requestSerialize: (beat: Heartbeat) => Buffer;
    requestDeserialize: (bytes: Buffer) => Heartbeat;
    responseSerialize: (beat: Heartbeat) => Buffer;
    responseDeserialize: (bytes: Buffer) => Heartbeat;
  };
  const { requestSerialize, requestDeserialize } = method;
  function serialize(beat: Heartbeat): Buffer {
    const bytes = requestSerialize(beat);
    sizes.set(beat, bytes.byteLength);
    return bytes;
  }
  function deserialize(bytes: Buffer): Heartbeat {
    const beat = requestDeserialize(bytes);
    sizes.set(beat, bytes.byteLength);
    return beat;
  }
  method.requestSerialize = serialize;
  method.responseSerialize = serialize;
  method.requestDeserialize = deserialize;
  method.responseDeserialize = deserialize;
}

noteSizes();

/** Built after the codec was wrapped; the generated class holds the plain one. */
const CountingClient = makeGenericClientConstructor(
  PeerService,
  "bamboolane.v1.Peer",
) as unknown as typeof GeneratedClient;

const secretHeader = "x-peer-secret";
const keepaliveMillis = 2000;
const maxReconnectMillis = 1000;
const maxMessageBytes = 16 * 1024 * 1024;

/** Handlers of the peer service. */
export interface PeerHandlers {
  exchange(stream: ServerDuplexStream<Heartbeat, Heartbeat>): void;
  forward(stream: ServerDuplexStream<ForwardUp, ForwardDown>): void;
  fetchObject(hash: string): Promise<Uint8Array | undefined>;
}

function digest(text: string): Uint8Array {
  return createHash("sha256").update(text).digest();
}

/** Compares two secrets in time that does not depend on their content. */
export function secretsMatch(left: string, right: string): boolean {
  return timingSafeEqual(digest(left), digest(right));
}

function isAllowed(metadata: Metadata, secret: string): boolean {
  const given = metadata.get(secretHeader)[0];
  return typeof given === "string" && secretsMatch(given, secret);
}

const denied = {
  code: status.UNAUTHENTICATED,
  details: "peer secret is wrong",
};

function refuseStream(
  stream: { emit: (name: "error", e: unknown) => boolean },
) {
  stream.emit("error", denied);
}

/** Starts a peer server at `address` (`host:port`). */
export function servePeers(
  address: string,
  options: { secret: string; handlers: PeerHandlers },
): Promise<{ close(): void }> {
  const { secret, handlers } = options;
  const server = new Server({
    "grpc.max_receive_message_length": maxMessageBytes,
  });
  server.addService(PeerService, {
    exchange(stream: ServerDuplexStream<Heartbeat, Heartbeat>) {
      stream.on("error", () => {});
      if (!isAllowed(stream.metadata, secret)) return refuseStream(stream);
      handlers.exchange(stream);
    },
    forward(stream: ServerDuplexStream<ForwardUp, ForwardDown>) {
      stream.on("error", () => {});
      if (!isAllowed(stream.metadata, secret)) return refuseStream(stream);
      handlers.forward(stream);
    },
    fetchObject(
      call: ServerUnaryCall<ObjectRequest, ObjectReply>,
      reply: sendUnaryData<ObjectReply>,
    ) {
      if (!isAllowed(call.metadata, secret)) return reply(denied);
      handlers.fetchObject(call.request.hash).then(
        (content) =>
          reply(null, {
            found: content !== undefined,
            content: content ?? new Uint8Array(),
          } as ObjectReply),
        (error) => reply({ code: status.UNAVAILABLE, details: String(error) }),
      );
    },
  });
  return new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error) => {
      if (error) return reject(error);
      resolve({ close: () => server.forceShutdown() });
    });
  });
}

/** A connection to one peer. */
export interface PeerConnection {
  client: GeneratedClient;
  metadata: Metadata;
  close(): void;
}

/** Opens a lazily connected channel to the peer at `address`. */
export function connectPeer(address: string, secret: string): PeerConnection {
  const client = new CountingClient(address, credentials.createInsecure(), {
    "grpc.keepalive_time_ms": keepaliveMillis,
    "grpc.keepalive_timeout_ms": keepaliveMillis,
    "grpc.max_reconnect_backoff_ms": maxReconnectMillis,
    "grpc.initial_reconnect_backoff_ms": 100,
    "grpc.max_receive_message_length": maxMessageBytes,
    "grpc.use_local_subchannel_pool": 1,
    "grpc.enable_retries": 0,
  });
  const metadata = new Metadata();
  metadata.set(secretHeader, secret);
  return { client, metadata, close: () => client.close() };
}

/** Fetches an immutable object from a peer. */
export function fetchPeerObject(
  peer: PeerConnection,
  hash: string,
  timeoutMillis: number,
): Promise<Uint8Array | undefined> {
  return new Promise((resolve, reject) => {
    peer.client.fetchObject(
      { hash },
      peer.metadata,
      { deadline: Date.now() + timeoutMillis },
      (error, reply) => {
        if (error) return reject(error);
        resolve(reply.found ? reply.content : undefined);
      },
    );
  });
}
