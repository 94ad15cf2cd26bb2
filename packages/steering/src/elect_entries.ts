/**
 * Who does a duty for its data centre. Every entry works it out from what it
 * hears, without agreement: the entry with the smallest id is the relay that
 * speaks to other data centres, and the first few that reach the store follow
 * it for all. Where two entries differ for a moment a duty is done twice or
 * late by a heartbeat, and both are harmless. This answers the number of
 * entries: messages and calls to the store grow with data centres, not with
 * entries squared.
 */
import type { Member } from "./member_view.ts";
import type { EntryRecord } from "./steering_config.ts";

/** Entries of a data centre that follow the store: one may fail unnoticed for seconds. */
export const FOLLOWERS_PER_DATA_CENTRE = 2;

/** A candidate as the electing entry sees it. */
export interface Candidate {
  id: string;
  reachesStore: boolean;
}

/** True where `self` speaks for its data centre; `mates` are those that serve there. */
export function isRelay(self: string, mates: readonly string[]): boolean {
  return mates.every((mate) => self < mate);
}

/** True where `self` follows the store for its data centre. */
export function isStoreFollower(
  self: Candidate,
  mates: readonly Candidate[],
): boolean {
  const ahead = mates.filter((mate) => goesBefore(mate, self));
  return ahead.length < FOLLOWERS_PER_DATA_CENTRE;
}

function goesBefore(a: Candidate, b: Candidate): boolean {
  if (a.reachesStore !== b.reachesStore) return a.reachesStore;
  return a.id < b.id;
}

/**
 * The entry of another data centre that takes a digest: the first that lives;
 * while none is heard of, each known one in turn.
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
