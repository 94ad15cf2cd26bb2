/**
 * Settings of one entry process, read once at start.
 */

/** An operator's credential. */
export interface OperatorCredential {
  name: string;
  token: string;
}

/** Limits of an instance on callers' requests and on kept answers. */
export interface EntryLimits {
  /** Maximum size of a request's headers. */
  headerBytes: number;
  /** Maximum size of a request's body. */
  bodyBytes: number;
  /** Maximum duration of a request, regardless of its deadline. */
  requestTimeoutMillis: number;
  /** Maximum number of callers' connections. */
  connections: number;
  ticketsPerBatch: number;
  ticketLifetimeMillis: number;
  /** Maximum number of keys whose answers are kept for resends. */
  keptAnswers: number;
  /** Maximum size of an answer body that is kept for a resend. */
  keptAnswerBytes: number;
}

/** Intervals and timeouts of membership and configuration. */
export interface EntryTimers {
  heartbeatMillis: number;
  /** Time without a heartbeat after which a peer in the same data centre counts as dead. */
  suspectAfterMillis: number;
  /** Interval at which the configuration's head row is read; longer after failures. */
  headPollMillis: number;
  /** Age of the last proof of the newest revision at which an instance counts as cut off. */
  freshnessMillis: number;
  /** Interval and timeout of the health probes of targets. */
  probeMillis: number;
  /** Interval at which the platform's list is read for leaving instances and targets. */
  listPollMillis: number;
}

/** All settings of an entry. */
export interface EntrySettings {
  instance: { id: string; dataCentre: string; region: string };
  /** Addresses to listen at, `host:port`. */
  listen: {
    callers: string;
    peers: string;
    operators: string;
    metrics: string;
  };
  /** Addresses announced to others, if they differ from the listen addresses. */
  advertise: { callers?: string; peers?: string };
  platform: { url: string; timeoutMillis: number };
  /** `host:port` of peers to contact when the platform's list can't be read. */
  seeds: string[];
  credentials: { operators: OperatorCredential[]; peerSecret: string };
  limits: EntryLimits;
  timers: EntryTimers;
  log: { level: "debug" | "info" | "warn" | "error"; lookups: boolean };
  /** Stops the process when an invariant is violated; for tests. */
  stopOnBreach: boolean;
}
