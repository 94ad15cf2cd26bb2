/**
 * What the gateway steers by: routes, services, targets and entries as a state
 * store publishes them. Plain data; each kind of row replaces its predecessor
 * whole.
 */

/** Whether a request may run more than once. */
export const RepeatPolicy = {
  idempotent: "idempotent",
  atMostOnce: "at-most-once",
} as const;
/** One of {@link RepeatPolicy}. */
export type RepeatPolicy = typeof RepeatPolicy[keyof typeof RepeatPolicy];

/** A service that takes a share of a route's requests. */
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
  /** Longest time that a caller is kept waiting. */
  timeoutMillis: number;
  /** Latency within which an answer is worth its full value. */
  objectiveMillis: number;
  /** Targets that one caller's attempt may be sent to. */
  attempts: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Requests for one object run faster on a target that ran others for it. */
  affinity: boolean;
  /** Regions that may run the requests; empty for all. */
  allowedRegions: readonly string[];
  parts: readonly RoutePart[];
}

/** A service and what its targets bear. */
export interface SteeringService {
  name: string;
  healthPath: string;
  /** Connections that one target takes from all entries together. */
  maxConnections: number;
  warmupMillis: number;
  /** Requests a second that a cold target bears, from all entries together. */
  warmupPerSecond: number;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  headerBytes: number;
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
  slots: number;
  draining: boolean;
  /** How much longer it was cold when it wrote the record. */
  warmupLeftMillis: number;
  /** Start of this incarnation on the target's wall clock; 0 where unknown. */
  bornMillis: number;
}

/** An entry as it registered itself. */
export interface EntryRecord {
  id: string;
  /** Wall time of the process's start: a later life replaces an earlier one. */
  incarnation: number;
  dataCentre: string;
  region: string;
  /** `ip:port` for callers. */
  callerAddress: string;
  /** `ip:port` for datagrams between entries. */
  peerAddress: string;
  /** `ip:port` where other entries read this one's state. */
  stateAddress: string;
}

/** One published fact; `version` grows with each change in the store. */
export type StateRow =
  | { kind: "config"; version: number; config: SteeringConfig }
  | {
    kind: "evacuation";
    version: number;
    dataCentre: string;
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
    record: EntryRecord | undefined;
  };

/** Data centres with their regions. */
export type DataCentreRegions = Readonly<Record<string, string>>;
