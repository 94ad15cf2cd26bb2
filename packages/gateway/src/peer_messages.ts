/**
 * Datagrams between entries, as JSON: field names are the wire format. A lost
 * datagram is not resent, since each one carries the current state, not changes.
 */
import type { CrashSuspect } from "@bamboolane/types/instance";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import { isName, parseEntryRecord } from "./entry_record.ts";
import type { Confirmations, RowVersions } from "./latest_rows.ts";
import { checkConfirmations } from "./state_confirmations.ts";

/** What an answer of a target stated about its request limit. */
export interface LimitReport {
  /** Requests per second; null if the answer named no limit. */
  perSecond: number | null;
  /** Time since the answer. */
  ageMillis: number;
}

/** Sent by an entry to the others of its data centre. */
export interface Heartbeat {
  kind: "heartbeat";
  entry: EntryRecord;
  /** False while the entry starts or stops. */
  serving: boolean;
  /** False if the entry lost the store recently. */
  reachesStore: boolean;
  /** Newest row versions of the entry. */
  versions: RowVersions;
  /** Configuration revision in force, if any. */
  revision?: number;
  /** What the store confirmed to the entry; entries of an older build send none. */
  confirmed?: Confirmations;
  /** Time since the store recovered from an outage; absent if that is long ago. */
  storeBackAgeMillis?: number;
  /** Requests of the entry in flight, by target. */
  inFlight: Record<string, number>;
  /** Services of which the entry reaches no target. */
  unreachableServices?: string[];
  /** Share of the region's objects that other regions serve, by service. */
  shares: Record<string, number>;
  /** Requests that crashed targets. */
  suspects: CrashSuspect[];
  /** Request limits of targets, by id. */
  limits?: Record<string, LimitReport>;
  /** Targets that said that they leave: start of the incarnation, by id. */
  leaving?: Record<string, number>;
  /** Digests of other data centres that the relay received since its last heartbeat. */
  digests: Digest[];
}

/** Sent by a relay to another data centre's relay, for all entries of its own. */
export interface Digest {
  kind: "digest";
  relay: EntryRecord;
  /** Ids of the entries that serve in the relay's data centre. */
  serving: string[];
  /** Newest row versions of the relay. */
  versions: RowVersions;
  /** Configuration revision in force at the relay, if any. */
  revision?: number;
  /** What the store confirmed to the relay; relays of an older build send none. */
  confirmed?: Confirmations;
  /** Requests of the whole data centre in flight, by target. */
  inFlight: Record<string, number>;
  /** Services of which an entry of the data centre reaches no target, by entry. */
  unreachableServices?: Record<string, string[]>;
  /**
   * Share of its region's objects that other regions serve, by service, as seen
   * by the relay.
   */
  shares: Record<string, number>;
  /** Requests that crashed targets. */
  suspects: CrashSuspect[];
  /** Request limits of targets, by id. */
  limits?: Record<string, LimitReport>;
  /** Targets that said that they leave: start of the incarnation, by id. */
  leaving?: Record<string, number>;
}

/** Any datagram between entries. */
export type PeerMessage = Heartbeat | Digest;

/** Encodes a datagram. */
export function encodeMessage(message: PeerMessage): Buffer {
  return Buffer.from(JSON.stringify(message));
}

/** Throws unless all that a message is kept by has short names, and its numbers are such. */
function checkFields(
  message: Pick<Digest, "inFlight" | "shares" | "suspects" | "confirmed">,
): void {
  checkConfirmations(message.confirmed);
  const names = [
    ...Object.keys(message.inFlight),
    ...Object.keys(message.shares),
    ...message.suspects.flatMap(({ fingerprint, targets }) => [
      fingerprint,
      ...targets,
    ]),
  ];
  if (!names.every(isName)) throw new Error("a name that is too long");
}

/** Decodes a datagram; throws unless it is JSON of a known kind from a valid entry. */
export function decodeMessage(bytes: Buffer): PeerMessage {
  const message = JSON.parse(bytes.toString("utf8")) as PeerMessage;
  switch (message.kind) {
    case "heartbeat":
      message.entry = parseEntryRecord(message.entry);
      checkFields(message);
      for (const digest of message.digests) {
        digest.relay = parseEntryRecord(digest.relay);
        checkFields(digest);
      }
      return message;
    case "digest":
      message.relay = parseEntryRecord(message.relay);
      checkFields(message);
      return message;
    default:
      throw new Error("unknown message kind");
  }
}
