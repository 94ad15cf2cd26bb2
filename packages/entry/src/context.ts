/**
 * The services shared by all components of an entry.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import type { Clock } from "@bamboolane/platform/ports";
import type { Random } from "@bamboolane/route/choose_target";
import type { EntrySettings } from "@bamboolane/types/settings";
import type { Invariants } from "./invariants.ts";

/** Shared services of one entry. */
export interface EntryContext {
  settings: EntrySettings;
  log: EventLog;
  metrics: Metrics;
  clock: Clock;
  random: Random;
  invariants: Invariants;
}
