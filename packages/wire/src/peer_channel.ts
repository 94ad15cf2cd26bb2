/**
 * Client and server of the gRPC protocol between entries. Each call carries
 * the shared peer secret; a server rejects calls without it.
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

const encodedSizes = new WeakMap<Heartbeat, number>();

/** Encoded size of a heartbeat; 0 until it is sent or received. Unit: bytes. */
export function heartbeatBytes(heartbeat: Heartbeat): number {
  return encodedSizes.get(heartbeat) ?? 0;
}

/** Wraps the generated codec to record encoded sizes without encoding twice. */
function recordEncodedSizes(): void {
  const method = PeerService.exchange as {
    requestSerialize: (heartbeat: Heartbeat) => Buffer;
    requestDeserialize: (bytes: Buffer) => Heartbeat;
    responseSerialize: (heartbeat: Heartbeat) => Buffer;
    responseDeserialize: (bytes: Buffer) => Heartbeat;
  };
  const { requestSerialize, requestDeserialize } = method;
  function serialize(heartbeat: Heartbeat): Buffer {
    const bytes = requestSerialize(heartbeat);
    encodedSizes.set(heartbeat, bytes.byteLength);
    return bytes;
  }
  function deserialize(bytes: Buffer): Heartbeat {
    const heartbeat = requestDeserialize(bytes);
    encodedSizes.set(heartbeat, bytes.byteLength);
    return heartbeat;
  }
  method.requestSerialize = serialize;
  method.responseSerialize = serialize;
  method.requestDeserialize = deserialize;
  method.responseDeserialize = deserialize;
}

recordEncodedSizes();

/** Created after the codec was wrapped; the generated class uses the unwrapped codec. */
const SizeRecordingClient = makeGenericClientConstructor(
  PeerService,
  "bamboolane.v1.Peer",
) as unknown as typeof GeneratedClient;

const SECRET_HEADER = "x-peer-secret";
const KEEPALIVE_MILLIS = 2000;
const MAX_RECONNECT_DELAY_MILLIS = 1000;
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Handlers of the peer service. */
export interface PeerHandlers {
  /** Handles a stream of heartbeats. */
  exchange(stream: ServerDuplexStream<Heartbeat, Heartbeat>): void;
  /** Handles a stream of forwarded requests and their answers. */
  forward(stream: ServerDuplexStream<ForwardUp, ForwardDown>): void;
  /** Returns the object with this hash; undefined if there is none. */
  fetchObject(hash: string): Promise<Uint8Array | undefined>;
}

function sha256(text: string): Uint8Array {
  return createHash("sha256").update(text).digest();
}

/** Compares two secrets in time independent of their content. */
export function secretsMatch(left: string, right: string): boolean {
  return timingSafeEqual(sha256(left), sha256(right));
}

function hasPeerSecret(metadata: Metadata, secret: string): boolean {
  const presented = metadata.get(SECRET_HEADER)[0];
  return typeof presented === "string" && secretsMatch(presented, secret);
}

const ACCESS_DENIED = {
  code: status.UNAUTHENTICATED,
  details: "peer secret is wrong",
};

function rejectStream(
  stream: { emit: (name: "error", e: unknown) => boolean },
) {
  stream.emit("error", ACCESS_DENIED);
}

/** Starts a peer server at `address` (`host:port`); rejects if it can't bind. */
export function servePeers(
  address: string,
  options: { secret: string; handlers: PeerHandlers },
): Promise<{ close(): void }> {
  const { secret, handlers } = options;
  const server = new Server({
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  });
  server.addService(PeerService, {
    exchange(stream: ServerDuplexStream<Heartbeat, Heartbeat>) {
      stream.on("error", () => {});
      if (!hasPeerSecret(stream.metadata, secret)) return rejectStream(stream);
      handlers.exchange(stream);
    },
    forward(stream: ServerDuplexStream<ForwardUp, ForwardDown>) {
      stream.on("error", () => {});
      if (!hasPeerSecret(stream.metadata, secret)) return rejectStream(stream);
      handlers.forward(stream);
    },
    fetchObject(
      call: ServerUnaryCall<ObjectRequest, ObjectReply>,
      reply: sendUnaryData<ObjectReply>,
    ) {
      if (!hasPeerSecret(call.metadata, secret)) return reply(ACCESS_DENIED);
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

/** Creates a client for the peer at `address`; it connects on the first call. */
export function connectPeer(address: string, secret: string): PeerConnection {
  const client = new SizeRecordingClient(
    address,
    credentials.createInsecure(),
    {
      "grpc.keepalive_time_ms": KEEPALIVE_MILLIS,
      "grpc.keepalive_timeout_ms": KEEPALIVE_MILLIS,
      "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_DELAY_MILLIS,
      "grpc.initial_reconnect_backoff_ms": 100,
      "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
      "grpc.use_local_subchannel_pool": 1,
      "grpc.enable_retries": 0,
    },
  );
  const metadata = new Metadata();
  metadata.set(SECRET_HEADER, secret);
  return { client, metadata, close: () => client.close() };
}

/** Fetches an immutable object from a peer; undefined if the peer has none. */
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
