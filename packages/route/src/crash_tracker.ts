/**
 * Holds back a request that was in flight on targets that crashed. After two
 * different targets crashed under the same fingerprint it is refused
 * everywhere; other instances learn of it by gossip.
 */
import type { CrashSuspect } from "@bamboolane/types/instance";

const crashesToHold = 2;

interface Suspicion {
  targets: Set<string>;
  expiresAtMillis: number;
}

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  maxFingerprints: number;
  /** How long a crash counts. Unit: milliseconds. */
  retentionMillis: number;
}

/** Counts crashes by request fingerprint. */
export class CrashTracker {
  readonly #suspicions = new Map<string, Suspicion>();
  readonly #options: CrashTrackerOptions;

  constructor(options: CrashTrackerOptions) {
    this.#options = options;
  }

  /** Records that `target` crashed while it ran the request. True when new. */
  recordCrash(fingerprint: string, target: string, nowMillis: number): boolean {
    const suspicion = this.#suspicions.get(fingerprint) ??
      this.#add(fingerprint);
    if (suspicion.targets.has(target)) return false;
    suspicion.targets.add(target);
    suspicion.expiresAtMillis = nowMillis + this.#options.retentionMillis;
    return true;
  }

  /** Takes over what a peer saw. True when something was new. */
  merge(suspect: CrashSuspect, nowMillis: number): boolean {
    const news = suspect.targets.map((target) =>
      this.recordCrash(suspect.fingerprint, target, nowMillis)
    );
    return news.includes(true);
  }

  /** Tells whether the request must not reach another target. */
  isHeldBack(fingerprint: string, nowMillis: number): boolean {
    const suspicion = this.#suspicions.get(fingerprint);
    if (suspicion === undefined) return false;
    if (suspicion.expiresAtMillis <= nowMillis) {
      this.#suspicions.delete(fingerprint);
      return false;
    }
    return suspicion.targets.size >= crashesToHold;
  }

  /** Tells whether the request was in flight on a target that crashed. */
  isSuspect(fingerprint: string): boolean {
    return this.#suspicions.has(fingerprint);
  }

  /** Forgets a request that a target answered: it was only a neighbour. */
  clear(fingerprint: string): void {
    this.#suspicions.delete(fingerprint);
  }

  /** What peers should know. */
  listSuspects(nowMillis: number): CrashSuspect[] {
    const suspects: CrashSuspect[] = [];
    for (const [fingerprint, suspicion] of this.#suspicions) {
      if (suspicion.expiresAtMillis <= nowMillis) continue;
      suspects.push({ fingerprint, targets: [...suspicion.targets] });
    }
    return suspects;
  }

  #add(fingerprint: string): Suspicion {
    if (this.#suspicions.size >= this.#options.maxFingerprints) {
      const oldest = this.#suspicions.keys().next().value as string;
      this.#suspicions.delete(oldest);
    }
    const suspicion = { targets: new Set<string>(), expiresAtMillis: 0 };
    this.#suspicions.set(fingerprint, suspicion);
    return suspicion;
  }
}
