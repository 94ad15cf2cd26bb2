/**
 * Many stand-in peers in one process: each keeps a member table and the
 * heartbeat mesh, and serves nothing else.
 * `main_peers.js FILE`, where FILE holds {@link PeersSpec} as JSON.
 */
import { readFile } from "node:fs/promises";
import process from "node:process";
import { createSilentLogger } from "@bamboolane/logger/create_logger";
import { HeartbeatMesh } from "@bamboolane/membership/heartbeat_mesh";
import { MemberTable } from "@bamboolane/membership/member_table";
import { InstanceState } from "@bamboolane/types/instance";
import { servePeers } from "@bamboolane/wire/peer_channel";

/** One stand-in peer. */
export interface PeerSpec {
  id: string;
  dataCentre: string;
  region: string;
  address: string;
}

/** All stand-in peers of a process. */
export interface PeersSpec {
  peers: PeerSpec[];
  secret: string;
  /** Address of the entry under test. */
  seed: string;
  heartbeatMillis: number;
  suspectAfterMillis: number;
}

const spec = JSON.parse(await readFile(process.argv[2], "utf8")) as PeersSpec;

async function startPeer(peer: PeerSpec): Promise<void> {
  const table = new MemberTable({
    self: {
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
    },
    maxRecords: 4096,
    keepDeadMillis: 600_000,
  });
  const mesh = new HeartbeatMesh({
    table,
    secret: spec.secret,
    heartbeatMillis: spec.heartbeatMillis,
    suspectAfterMillis: spec.suspectAfterMillis,
    log: createSilentLogger(),
    now: () => performance.now(),
    proof: () => ({ revision: 0, hash: "", freshAgeMillis: Infinity }),
    suspects: () => [],
    listener: {
      onProof: () => {},
      onChange: () => {},
      onSuspects: () => {},
      onTraffic: () => {},
    },
  });
  await servePeers(peer.address, {
    secret: spec.secret,
    handlers: {
      exchange: (stream) => mesh.accept(stream),
      forward: (stream) => stream.end(),
      fetchObject: () => Promise.resolve(undefined),
    },
  });
  mesh.start();
  mesh.contact(spec.seed);
}

for (const peer of spec.peers) await startPeer(peer);
process.stdout.write(`${spec.peers.length} peers\n`);
process.on("SIGTERM", () => process.exit(0));
