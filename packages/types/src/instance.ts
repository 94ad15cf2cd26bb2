/**
 * Identity, state and load of entry instances, as published to their peers.
 */

/**
 * Life-cycle states of an instance. Of two records with the same incarnation
 * and version, the one with the higher state replaces the other.
 */
export const InstanceState = {
  joining: 0,
  serving: 1,
  leaving: 2,
  dead: 3,
} as const;

/** One of the values of {@link InstanceState}. */
export type InstanceState = typeof InstanceState[keyof typeof InstanceState];

/** Load of one service's slot pool at the instance that owns it. */
export interface PoolLoad {
  service: string;
  /**
   * Slots that can be taken now: the free slots of all targets that are neither
   * draining nor down, limited by the pool's cap on running requests.
   */
  freeSlots: number;
  /** Requests that wait for a slot. */
  queued: number;
  /** Median of the targets' expected latencies. Unit: milliseconds. */
  typicalMillis: number;
  /** Requests that hold a slot. */
  inFlight: number;
}

/** The record that an instance publishes about itself; distributed by heartbeats. */
export interface InstanceRecord {
  id: string;
  dataCentre: string;
  region: string;
  /** `host:port` for callers. */
  callerAddress: string;
  /** `host:port` for the gRPC protocol between entries. */
  peerAddress: string;
  /**
   * Identifies one run of the process; derived from its start time, so that a
   * later run has a higher number. A record with a higher incarnation replaces
   * one with a lower.
   */
  incarnation: number;
  /** Counts changes of the record within one incarnation. */
  version: number;
  state: InstanceState;
  /** Configuration revision in force at the instance. */
  revision: number;
  /** True while the instance has no fresh proof that its revision is the newest. */
  cutOff: boolean;
  pools: PoolLoad[];
}

/** A fingerprint of a request that was in flight on targets that crashed. */
export interface CrashSuspect {
  fingerprint: string;
  /** Targets that crashed while they ran it. */
  targets: string[];
}
