/**
 * Configuration and state that the gateway steers by: routes, services, targets
 * and entries as published in a state store. Plain data, exchanged as JSON; a
 * new row replaces its predecessor as a whole.
 */

/** Whether a request may run more than once. */
export const RepeatPolicy = {
  idempotent: "idempotent",
  atMostOnce: "at-most-once",
} as const;
/** One of {@link RepeatPolicy}. */
export type RepeatPolicy = typeof RepeatPolicy[keyof typeof RepeatPolicy];

/** A service that receives a share of a route's requests, in proportion to its weight. */
export interface RoutePart {
  service: string;
  weight: number;
}

/** Requests of one host under one path prefix. */
export interface SteeringRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  repeat: RepeatPolicy;
  /** Longest time that a caller waits for its answer. */
  timeoutMillis: number;
  /** Latency objective: within it an answer has its full value. */
  objectiveMillis: number;
  /** Maximum number of targets that one caller's attempt is sent to. */
  attempts: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Requests for an object run faster on a target that recently served it. */
  affinity: boolean;
  /** Regions that may run the requests; empty for all. */
  allowedRegions: readonly string[];
  parts: readonly RoutePart[];
}

/** A service and the limits of its targets. */
export interface SteeringService {
  name: string;
  /** Path of the targets' health check. */
  healthPath: string;
  /** Maximum connections of one target from all entries together. */
  maxConnections: number;
  /** Time for which a target counts as cold after it lost its caches. */
  warmupMillis: number;
  /** Requests per second that a cold target can take from all entries together. */
  warmupPerSecond: number;
}

/** Size and time limits of callers' requests. */
export interface CallerLimits {
  /** Maximum size of a request's headers. */
  headerBytes: number;
  /** Maximum size of a request's body. */
  bodyBytes: number;
  headerTimeoutMillis: number;
  idleTimeoutMillis: number;
}

/** One revision of the configuration. */
export interface SteeringConfig {
  revision: number;
  routes: readonly SteeringRoute[];
  services: readonly SteeringService[];
  limits: CallerLimits;
}

/** A target as it registered itself. */
export interface TargetRecord {
  id: string;
  service: string;
  /** `ip:port`. */
  address: string;
  dataCentre: string;
  /** Requests that the target runs at the same time. */
  slots: number;
  draining: boolean;
  /** Remaining warm-up time when the target wrote the record. */
  warmupLeftMillis: number;
  /** Start of this incarnation on the target's wall clock; 0 if unknown. */
  bornMillis: number;
  /** Grows with each record that the incarnation writes; 0 if unknown. */
  sequence: number;
}

/** An entry as it registered itself. */
export interface EntryRecord {
  id: string;
  /** Wall-clock start time of the process: a later incarnation replaces an earlier one. */
  incarnation: number;
  dataCentre: string;
  region: string;
  /** `ip:port` for callers. */
  callerAddress: string;
  /** `ip:port` for datagrams between entries, and for forwarded requests. */
  peerAddress: string;
  /** `ip:port` from which other entries read this entry's state. */
  stateAddress: string;
}

/** One row of the state store; `version` is a state version, see state_version.ts. */
export type StateRow =
  | { kind: "config"; version: number; config: SteeringConfig }
  | {
    kind: "evacuation";
    version: number;
    dataCentre: string;
    /** While true, no request is sent to the data centre's targets. */
    active: boolean;
  }
  | {
    kind: "target";
    version: number;
    id: string;
    /** Undefined for a removed or unreadable record. */
    record: TargetRecord | undefined;
  }
  | {
    kind: "entry";
    version: number;
    id: string;
    /** Undefined for a removed or unreadable record. */
    record: EntryRecord | undefined;
  };

/** Region of each data centre, by data centre. */
export type DataCentreRegions = Readonly<Record<string, string>>;
