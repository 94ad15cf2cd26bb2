/**
 * Elects the entries that perform duties for their data centre, so that messages
 * and store calls grow with the number of data centres, not with the square of
 * the number of entries. Every entry computes the result from the heartbeats it
 * receives, without a consensus protocol: the entry with the smallest id is the
 * relay that exchanges digests with other data centres, and the first few
 * entries that reach the store follow it for all. While two entries disagree, a
 * duty is done twice or one heartbeat late; both are harmless.
 */
import type { Member } from "./member_view.ts";
import type { EntryRecord } from "./steering_config.ts";

/**
 * Store followers of each data centre: more than one, as the failure of one may
 * go unnoticed for seconds.
 */
export const FOLLOWERS_PER_DATA_CENTRE = 2;

/** A candidate for a duty, as known to the electing entry. */
export interface Candidate {
  id: string;
  /** The entry can read the store. */
  reachesStore: boolean;
}

/** True if `self` is the relay; `peers` are the other serving entries of its data centre. */
export function isRelay(self: string, peers: readonly string[]): boolean {
  return peers.every((peer) => self < peer);
}

/** True if `self` follows the store on behalf of its data centre. */
export function isStoreFollower(
  self: Candidate,
  peers: readonly Candidate[],
): boolean {
  const ahead = peers.filter((peer) => precedes(peer, self));
  return ahead.length < FOLLOWERS_PER_DATA_CENTRE;
}

function precedes(a: Candidate, b: Candidate): boolean {
  if (a.reachesStore !== b.reachesStore) return a.reachesStore;
  return a.id < b.id;
}

/**
 * Chooses the entry of another data centre that receives a digest: the live
 * serving entry with the smallest id or, if there is none, each known entry in
 * turn. `turn` is a counter that grows from call to call.
 */
export function chooseDigestReceiver(
  members: readonly Member[],
  options: { nowMillis: number; turn: number },
): EntryRecord | undefined {
  const ordered = [...members].sort((a, b) =>
    a.record.id < b.record.id ? -1 : 1
  );
  const live = ordered.find((member) =>
    member.serving && options.nowMillis < member.liveUntilMillis
  );
  const member = live ?? ordered[options.turn % Math.max(1, ordered.length)];
  return member?.record;
}
