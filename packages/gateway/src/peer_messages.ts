/**
 * Datagrams between entries. A lost one costs nothing: the next one carries
 * all of it.
 */
import type { CrashSuspect } from "@bamboolane/types/instance";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import type { RowVersions } from "./row_archive.ts";

/** What an entry says to the others of its data centre. */
export interface Heartbeat {
  kind: "heartbeat";
  entry: EntryRecord;
  serving: boolean;
  /** It can follow the store, as far as it knows. */
  reachesStore: boolean;
  /** Newest rows that it has. */
  versions: RowVersions;
  /** Time since the store came back after an outage; absent where that is long ago. */
  storeBackAgeMillis?: number;
  /** Own requests in flight, by target. */
  inFlight: Record<string, number>;
  /** Shares of the region's objects that other regions run, by service. */
  shares: Record<string, number>;
  suspects: CrashSuspect[];
  /** What the relay heard of other data centres since its last heartbeat. */
  digests: Digest[];
}

/** What a relay says to another data centre's relay, for all entries of its own. */
export interface Digest {
  kind: "digest";
  relay: EntryRecord;
  /** Ids of the entries that serve in its data centre. */
  serving: string[];
  versions: RowVersions;
  /** Requests of the whole data centre in flight, by target. */
  inFlight: Record<string, number>;
  /** The relay's shares of its region's objects that other regions run. */
  shares: Record<string, number>;
  suspects: CrashSuspect[];
}

/** Every datagram is one of these. */
export type PeerMessage = Heartbeat | Digest;

/** Writes a datagram. */
export function encodeMessage(message: PeerMessage): Buffer {
  return Buffer.from(JSON.stringify(message));
}

/** Reads a datagram; throws for anything else. */
export function decodeMessage(bytes: Buffer): PeerMessage {
  const message = JSON.parse(bytes.toString("utf8")) as PeerMessage;
  switch (message.kind) {
    case "heartbeat":
    case "digest":
      return message;
    default:
      throw new Error("unknown kind of message");
  }
}
