/**
 * What callers and targets say in headers, as the deployment spells it. The
 * gateway knows meanings; an adapter brings the names.
 */
import type { LoadReport } from "@bamboolane/steering/target_state";
import type { CallerLocation } from "@bamboolane/steering/select_entries";

/** Header names in lower case, and the forms that vary between deployments. */
export interface CallerDialect {
  requestIdHeader: string;
  /** Milliseconds that the sender waits. */
  deadlineHeader: string;
  /** Proof that an answer is a target's own. */
  signatureHeader: string;
  /** Names the target that must run the request. */
  expectedTargetHeader: string;
  /** A target's own load. */
  loadHeader: string;
  /** Says that the target did not run the request. */
  notRunHeader: string;
  /** How long a target stays cold, in its health answers. */
  warmupHeader: string;
  /** Status of a target that isn't the one named; it did not run the request. */
  misdirectedStatus: number;
  readinessPath: string;
  directoryPath: string;
  /** The object that a request is about. */
  parseObject(cookies: string | undefined): string | undefined;
  parseLoad(header: string): LoadReport | undefined;
  parseLocation(query: URLSearchParams): CallerLocation;
  formatEntries(addresses: readonly string[], ttlMillis: number): string;
}
