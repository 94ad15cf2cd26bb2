/**
 * Detects requests that crash their targets. Once two different targets have
 * crashed while running requests with the same fingerprint, such requests are
 * held back on all instances, which exchange their crash records.
 */
import type { CrashSuspect } from "@bamboolane/types/instance";

const CRASHES_TO_HOLD_BACK = 2;
/** Maximum number of targets that are remembered of one request. */
const MAX_TARGETS = 8;

interface CrashRecord {
  targets: Set<string>;
  expiresAtMillis: number;
}

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  /** Maximum number of fingerprints tracked; beyond it the oldest is dropped. */
  maxFingerprints: number;
  /** Time for which a crash counts. Unit: milliseconds. */
  retentionMillis: number;
}

/** Counts crashes by request fingerprint. */
export class CrashTracker {
  readonly #records = new Map<string, CrashRecord>();
  readonly #options: CrashTrackerOptions;

  constructor(options: CrashTrackerOptions) {
    this.#options = options;
  }

  /** Records that `target` crashed while it ran the request. Returns true if this is new. */
  recordCrash(fingerprint: string, target: string, nowMillis: number): boolean {
    const record = this.#records.get(fingerprint) ??
      this.#add(fingerprint);
    if (record.targets.has(target) || record.targets.size >= MAX_TARGETS) {
      return false;
    }
    record.targets.add(target);
    record.expiresAtMillis = nowMillis + this.#options.retentionMillis;
    return true;
  }

  /** Merges the crashes that a peer observed. Returns true if any of them is new. */
  merge(suspect: CrashSuspect, nowMillis: number): boolean {
    const additions = suspect.targets.map((target) =>
      this.recordCrash(suspect.fingerprint, target, nowMillis)
    );
    return additions.includes(true);
  }

  /** True if the request must not be sent to another target. */
  isHeldBack(fingerprint: string, nowMillis: number): boolean {
    const record = this.#records.get(fingerprint);
    if (record === undefined) return false;
    if (record.expiresAtMillis <= nowMillis) {
      this.#records.delete(fingerprint);
      return false;
    }
    return record.targets.size >= CRASHES_TO_HOLD_BACK;
  }

  /** True if the request was in flight on a target that crashed. */
  isSuspect(fingerprint: string): boolean {
    return this.#records.has(fingerprint);
  }

  /** Clears a request that a target answered: another request caused the crash. */
  clear(fingerprint: string): void {
    this.#records.delete(fingerprint);
  }

  /** Lists the unexpired suspects, to be sent to peers. */
  listSuspects(nowMillis: number): CrashSuspect[] {
    const suspects: CrashSuspect[] = [];
    for (const [fingerprint, record] of this.#records) {
      if (record.expiresAtMillis <= nowMillis) continue;
      suspects.push({ fingerprint, targets: [...record.targets] });
    }
    return suspects;
  }

  #add(fingerprint: string): CrashRecord {
    if (this.#records.size >= this.#options.maxFingerprints) {
      const oldest = this.#records.keys().next().value as string;
      this.#records.delete(oldest);
    }
    const record = { targets: new Set<string>(), expiresAtMillis: 0 };
    this.#records.set(fingerprint, record);
    return record;
  }
}
