/**
 * Aggregate of the revision in force at one instance. It only goes forward,
 * and it knows since when the revision is proven to be the newest.
 */
import type { ConfigBody, ConfigHead } from "@bamboolane/types/fleet";

/** What a peer or the store says about the newest revision. */
export interface HeadProof {
  revision: number;
  hash: string;
  /** Moment on this instance's clock at which the head was surely this. */
  provenAtMillis: number;
}

/** What to do about a {@link HeadProof}. */
export type ProofVerdict =
  | { kind: "current" }
  | { kind: "behind"; head: { revision: number; hash: string } }
  | { kind: "stale-source" }
  | { kind: "contradiction"; detail: string };

/** The applied revision with its content hash. */
export interface AppliedRevision {
  head: ConfigHead;
  body: ConfigBody;
}

/** The revision in force and its freshness. */
export class AppliedConfig {
  #applied: AppliedRevision | undefined;
  #provenAtMillis = -Infinity;
  readonly #freshnessMillis: number;

  constructor(options: { freshnessMillis: number }) {
    this.#freshnessMillis = options.freshnessMillis;
  }

  get applied(): AppliedRevision | undefined {
    return this.#applied;
  }

  get revision(): number {
    return this.#applied?.head.revision ?? 0;
  }

  get hash(): string {
    return this.#applied?.head.hash ?? "";
  }

  /** Applies a revision if it is newer. True when it took effect. */
  apply(revision: AppliedRevision): boolean {
    if (revision.head.revision <= this.revision) return false;
    this.#applied = revision;
    return true;
  }

  /** Judges what a source says, and takes it as proof where it agrees. */
  evaluateProof(proof: HeadProof): ProofVerdict {
    if (proof.revision > this.revision) {
      return {
        kind: "behind",
        head: { revision: proof.revision, hash: proof.hash },
      };
    }
    if (proof.revision < this.revision) return { kind: "stale-source" };
    if (proof.hash !== this.hash) {
      return {
        kind: "contradiction",
        detail: `revision ${proof.revision} has two contents`,
      };
    }
    this.#provenAtMillis = Math.max(this.#provenAtMillis, proof.provenAtMillis);
    return { kind: "current" };
  }

  /** Age of the newest proof; infinite before the first. Unit: milliseconds. */
  freshAgeMillis(nowMillis: number): number {
    return nowMillis - this.#provenAtMillis;
  }

  /** True where a newer revision may be in force elsewhere for too long. */
  isCutOff(nowMillis: number): boolean {
    return this.freshAgeMillis(nowMillis) >= this.#freshnessMillis;
  }
}
