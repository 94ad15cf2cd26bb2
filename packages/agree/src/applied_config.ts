/**
 * The configuration revision in force at one instance. The revision number only
 * increases, and the time of the latest proof that it is the newest is tracked.
 */
import type { ConfigBody, ConfigHead } from "@bamboolane/types/fleet";

/** Newest revision as reported by a peer or the store. */
export interface HeadProof {
  revision: number;
  hash: string;
  /**
   * Time on this instance's clock at which this was certainly the head; -Infinity
   * if not proven.
   */
  provenAtMillis: number;
}

/**
 * Result of comparing a {@link HeadProof} with the applied revision: the report
 * names the same revision and hash (`current`), a newer revision (`behind`), an
 * older one (`stale-source`), or the same revision with another hash
 * (`contradiction`).
 */
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

  /** Applies a revision if it is newer. True if it took effect. */
  apply(revision: AppliedRevision): boolean {
    if (revision.head.revision <= this.revision) return false;
    this.#applied = revision;
    return true;
  }

  /** Compares a reported head with the applied one; a match renews the proof. */
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
        detail: `revision ${proof.revision} has two different contents`,
      };
    }
    this.#provenAtMillis = Math.max(this.#provenAtMillis, proof.provenAtMillis);
    return { kind: "current" };
  }

  /** Age of the newest proof; infinite before the first. Unit: milliseconds. */
  freshAgeMillis(nowMillis: number): number {
    return nowMillis - this.#provenAtMillis;
  }

  /**
   * True if the age of the newest proof has reached the freshness period or there
   * is no proof, so that a newer revision may be in force elsewhere.
   */
  isCutOff(nowMillis: number): boolean {
    return this.freshAgeMillis(nowMillis) >= this.#freshnessMillis;
  }
}
