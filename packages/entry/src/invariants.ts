/**
 * Runtime checks of the system's guarantees, enabled in production too. Each
 * invariant counts its checks; a breach logs one line and, if the settings say
 * so, stops the process.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";

/** Names of the invariants. */
export const Invariant = {
  /** A move redirects at most its cap's share of the requests. */
  moveCap: "move-cap",
  /** A pool admits at most its share of the data centre's cap. */
  regionCap: "region-cap",
  /** A caller gets the answer to its own request, and only one. */
  answerMatches: "answer-matches",
  /** A request is reported as not run only if this is proven. */
  notRunProven: "not-run-proven",
  /** A non-idempotent request is resent only if it is proven not to have run. */
  atMostOnce: "at-most-once",
  /** No attempt is sent to a draining target. */
  noWorkToLeaving: "no-work-to-leaving",
  /** After a graceful stop, no request is in flight. */
  gracefulStop: "graceful-stop",
  /** The revision in force only increases. */
  revisionForward: "revision-forward",
} as const;

/** One of the values of {@link Invariant}. */
export type Invariant = typeof Invariant[keyof typeof Invariant];

/** Checks and breaches of one invariant. */
export interface InvariantCount {
  checks: number;
  breaches: number;
}

/** Options of {@link Invariants}. */
export interface InvariantsOptions {
  log: EventLog;
  metrics: Metrics;
  /** Called after a breach is logged. */
  onBreach: (name: Invariant) => void;
}

/** Checks invariants and counts checks and breaches. */
export class Invariants {
  readonly #options: InvariantsOptions;
  readonly #counts = new Map<Invariant, InvariantCount>(
    Object.values(Invariant).map((name) => [name, { checks: 0, breaches: 0 }]),
  );

  constructor(options: InvariantsOptions) {
    this.#options = options;
  }

  /** Checks that `holds` is true; `detail` is evaluated only after a breach. */
  check(name: Invariant, holds: boolean, detail: () => string): void {
    const count = this.#counts.get(name) as InvariantCount;
    count.checks++;
    this.#options.metrics.count("bamboolane_invariant_checks", 1, {
      invariant: name,
    });
    if (holds) return;
    count.breaches++;
    this.#options.metrics.count("bamboolane_invariant_breaches", 1, {
      invariant: name,
    });
    this.#options.log.error("invariant_breach", {
      invariant: name,
      detail: detail(),
    });
    this.#options.onBreach(name);
  }

  /** Counts so far, by name. */
  counts(): Record<string, InvariantCount> {
    return Object.fromEntries(this.#counts);
  }
}
