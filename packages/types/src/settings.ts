/**
 * Settings of one entry process, read once at start.
 */

/** An operator's credential. */
export interface OperatorCredential {
  name: string;
  token: string;
}

/** Bounds on what one caller can ask of an instance. */
export interface EntryLimits {
  headerBytes: number;
  bodyBytes: number;
  /** Longest time that a request may take, whatever its deadline says. */
  requestTimeoutMillis: number;
  connections: number;
  ticketsPerBatch: number;
  ticketLifetimeMillis: number;
  /** Answers kept for resends of known keys. */
  keptAnswers: number;
  /** Largest answer body that is kept for a resend. */
  keptAnswerBytes: number;
}

/** Timers of membership and configuration. */
export interface EntryTimers {
  heartbeatMillis: number;
  /** Silence after which a peer of the same data centre counts as dead. */
  suspectAfterMillis: number;
  headPollMillis: number;
  /** Age of the last proof of the newest revision at which an instance is cut off. */
  freshnessMillis: number;
  probeMillis: number;
  /** How often the platform's list is read for leaving instances and targets. */
  listPollMillis: number;
}

/** All settings of an entry. */
export interface EntrySettings {
  instance: { id: string; dataCentre: string; region: string };
  listen: {
    callers: string;
    peers: string;
    operators: string;
    metrics: string;
  };
  /** Addresses that others use, where they differ from those listened on. */
  advertise: { callers?: string; peers?: string };
  platform: { url: string; timeoutMillis: number };
  /** `host:port` of peers to contact when the platform's list can't be read. */
  seeds: string[];
  credentials: { operators: OperatorCredential[]; peerSecret: string };
  limits: EntryLimits;
  timers: EntryTimers;
  log: { level: "debug" | "info" | "warn" | "error"; lookups: boolean };
  /** Stop the process when an invariant breaks; for tests. */
  stopOnBreach: boolean;
}
