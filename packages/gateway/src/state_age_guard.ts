/**
 * Bounds the age of an entry's state at that entry: once neither its own watches nor
 * another entry has confirmed a table for some time, it asks the store itself, on a new
 * connection. The bound holds whoever follows the store, and whatever calls are pending.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import {
  mustAskStore,
  type StatePace,
} from "@bamboolane/steering/plan_state_pace";
import type { StateConfirmations } from "./state_confirmations.ts";
import { FOLLOWED_TABLES, type FollowedTable } from "./state_store.ts";

/** Options of {@link StateAgeGuard}. */
export interface StateAgeGuardOptions {
  pace: StatePace;
  confirmations: StateConfirmations;
  /** Asks the store once; resolves to false if it gave no answer. */
  ask: (table: FollowedTable) => Promise<boolean>;
  log: EventLog;
  random: () => number;
}

const CHECK_INTERVAL_MILLIS = 50;
/** Minimum time between two log lines on a table. */
const LOG_INTERVAL_MILLIS = 5000;

interface TableChecks {
  askedAtMillis: number;
  failures: number;
  random: number;
  loggedAtMillis: number;
}

/** Task that checks the ages until it is stopped. */
export class StateAgeGuard {
  readonly #options: StateAgeGuardOptions;
  readonly #startedAtMillis = performance.now();
  readonly #checks = new Map<FollowedTable, TableChecks>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: StateAgeGuardOptions) {
    this.#options = options;
    for (const table of FOLLOWED_TABLES) {
      this.#checks.set(table, {
        askedAtMillis: -Infinity,
        failures: 0,
        random: options.random(),
        loggedAtMillis: -Infinity,
      });
    }
  }

  start(): void {
    this.#timer = setInterval(() => {
      const nowMillis = performance.now();
      for (const [table, checks] of this.#checks) {
        if (this.#isDue(table, checks, nowMillis)) {
          this.#check(table, checks, nowMillis);
        }
      }
    }, CHECK_INTERVAL_MILLIS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #isDue(
    table: FollowedTable,
    checks: TableChecks,
    nowMillis: number,
  ): boolean {
    const { pace, confirmations } = this.#options;
    return mustAskStore(pace, {
      // The first reads of a start are under way.
      ageMillis: Math.min(
        confirmations.age(table).millis(nowMillis),
        nowMillis - this.#startedAtMillis,
      ),
      sinceAskedMillis: nowMillis - checks.askedAtMillis,
      failures: checks.failures,
      random: checks.random,
    });
  }

  async #check(
    table: FollowedTable,
    checks: TableChecks,
    nowMillis: number,
  ): Promise<void> {
    checks.askedAtMillis = nowMillis;
    checks.random = this.#options.random();
    if (nowMillis - checks.loggedAtMillis >= LOG_INTERVAL_MILLIS) {
      checks.loggedAtMillis = nowMillis;
      const { confirmations, log } = this.#options;
      log.info("state_overdue", {
        table,
        ageMillis: confirmations.loggedAgeMillis(table, nowMillis),
        confirmedBy: confirmations.age(table).source,
      });
    }
    if (await this.#options.ask(table)) checks.failures = 0;
    else checks.failures++;
  }
}
