/**
 * Rendezvous hashing: every instance that sees the same candidates ranks
 * them alike, and losing one moves only what it held.
 */
import { hash } from "node:crypto";

const fullRange = 2 ** 32;

/** Maps a text to an evenly spread integer in [0, 2^32). */
export function hashToUint32(text: string): number {
  return parseInt(hash("sha256", text, "hex").slice(0, 8), 16);
}

/** Maps a text to an evenly spread number in [0, 1). */
export function hashToShare(text: string): number {
  return hashToUint32(text) / fullRange;
}

/** Orders candidates for `key`, best first. */
export function rankByRendezvous<T extends { id: string }>(
  key: string,
  candidates: readonly T[],
): T[] {
  return candidates
    .map((candidate) => ({
      candidate,
      score: hashToUint32(`${key}/${candidate.id}`),
    }))
    .sort((a, b) =>
      b.score - a.score || (a.candidate.id < b.candidate.id ? -1 : 1)
    )
    .map((scored) => scored.candidate);
}
