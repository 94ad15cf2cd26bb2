/**
 * Rendezvous hashing: every instance that sees the same candidates ranks them
 * in the same order, and losing a candidate moves only the keys assigned to it.
 */
import { hash } from "node:crypto";

const UINT32_RANGE = 2 ** 32;

/** Hashes a text to a uniformly distributed integer in [0, 2^32). */
export function hashToUint32(text: string): number {
  return parseInt(hash("sha256", text, "hex").slice(0, 8), 16);
}

/** Hashes a text to a uniformly distributed number in [0, 1). */
export function hashToUnitInterval(text: string): number {
  return hashToUint32(text) / UINT32_RANGE;
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
