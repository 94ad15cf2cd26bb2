/**
 * A caller's request as routing decisions use it, independent of the transport.
 */
import type { Lane } from "./fleet.ts";

/**
 * Key that protects a request against running twice: a ticket that an entry
 * issued, or the caller's own key, which is claimed in the platform's table.
 */
export type IdempotencyKey =
  | { kind: "none" }
  | { kind: "ticket"; value: string }
  | { kind: "claim"; value: string };

/** The parts of a request that decisions depend on. */
export interface RequestInfo {
  id: string;
  member: string;
  service: string;
  method: string;
  /** Path and query below the service. */
  path: string;
  /** Client address in dotted form, for the block table. */
  client: string;
  lane: Lane;
  /** Reason why the request was assigned to its lane. */
  laneReason: string;
  idempotent: boolean;
  key: IdempotencyKey;
  /** Time left until the deadline when the request was read. Unit: milliseconds. */
  timeoutMillis: number;
  /** Groups requests that are expected to have similar durations. */
  routeKey: string;
  /** Identifies resends of the same work, to detect requests that crash targets. */
  fingerprint: string;
}

/** Whether a request ran, as far as it is known. */
export const Outcome = {
  ran: "ran",
  notRun: "not-run",
  unknown: "unknown",
} as const;

/** One of the values of {@link Outcome}. */
export type Outcome = typeof Outcome[keyof typeof Outcome];
