/**
 * Runs many stand-in peers in one process. Each exchanges heartbeats with the
 * entry under test and knows no other peer. Usage: `main_peers.js FILE`, where
 * FILE holds {@link PeersSpec} as JSON.
 */
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { readFile } from "node:fs/promises";
import process from "node:process";
import { toWireRecord } from "@bamboolane/membership/record_codec";
import { InstanceState } from "@bamboolane/types/instance";
import type { Heartbeat } from "@bamboolane/wire/generated/bamboolane/v1/peer";
import { connectPeer, servePeers } from "@bamboolane/wire/peer_channel";

/** One stand-in peer. */
export interface PeerSpec {
  /** Ids of relays in other data centres begin with `far`. */
  id: string;
  dataCentre: string;
  region: string;
  /** Address at which the peer listens, as `host:port`. */
  address: string;
}

/** All stand-in peers of a process. */
export interface PeersSpec {
  peers: PeerSpec[];
  secret: string;
  /** Address of the entry under test. */
  seed: string;
  heartbeatMillis: number;
}

const spec = JSON.parse(await readFile(process.argv[2], "utf8")) as PeersSpec;
/** Relays exchange heartbeats at half the rate, as in the product. */
const RELAY_INTERVAL_FACTOR = 2;

function createHeartbeat(
  peer: PeerSpec,
  fields: Partial<Heartbeat>,
): Heartbeat {
  return {
    sender: peer.id,
    incarnation: 1,
    sequence: 0,
    echoSequence: 0,
    records: [],
    revision: 0,
    configHash: "",
    freshAgeMillis: -1,
    suspects: [],
    unreachable: [],
    contact: false,
    ...fields,
  };
}

function createRecord(peer: PeerSpec) {
  return toWireRecord({
    id: peer.id,
    dataCentre: peer.dataCentre,
    region: peer.region,
    callerAddress: peer.address,
    peerAddress: peer.address,
    incarnation: 1,
    version: 1,
    state: InstanceState.serving,
    revision: 0,
    cutOff: false,
    pools: [],
  });
}

/** Sends heartbeats to the entry at the rate of a real peer. */
function exchangeHeartbeats(
  peer: PeerSpec,
  stream: ServerDuplexStream<Heartbeat, Heartbeat>,
): void {
  let sequence = 0;
  let echoSequence = 0;
  const isRemote = peer.id.startsWith("far");
  const send = () => {
    const records = sequence === 0 ? [createRecord(peer)] : [];
    stream.write(
      createHeartbeat(peer, { sequence: ++sequence, echoSequence, records }),
    );
  };
  stream.on(
    "data",
    (heartbeat: Heartbeat) => echoSequence = heartbeat.sequence,
  );
  const timer = setInterval(
    send,
    spec.heartbeatMillis * (isRemote ? RELAY_INTERVAL_FACTOR : 1),
  );
  stream.on("end", () => {
    clearInterval(timer);
    stream.end();
  });
  send();
}

/** Starts a peer and introduces it to the entry, which then opens a stream to it. */
async function startPeer(peer: PeerSpec): Promise<void> {
  await servePeers(peer.address, {
    secret: spec.secret,
    handlers: {
      exchange: (stream) => exchangeHeartbeats(peer, stream),
      forward: (stream) => stream.end(),
      fetchObject: () => Promise.resolve(undefined),
    },
  });
  const connection = connectPeer(spec.seed, spec.secret);
  const stream = connection.client.exchange(connection.metadata);
  stream.on("error", () => {});
  stream.on("data", () => connection.close());
  stream.write(
    createHeartbeat(peer, { contact: true, records: [createRecord(peer)] }),
  );
}

for (const peer of spec.peers) await startPeer(peer);
process.stdout.write(`${spec.peers.length} peers\n`);
process.on("SIGTERM", () => process.exit(0));
