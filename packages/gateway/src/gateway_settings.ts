/**
 * Settings of one gateway process.
 */
import type { DataCentreRegions } from "@bamboolane/steering/steering_config";

/** All settings of a gateway. */
export interface GatewaySettings {
  instance: { id: string; dataCentre: string; region: string };
  /** Addresses to listen on, as `host:port`. */
  listen: {
    /** Callers' requests. */
    callers: string;
    /** Readiness checks. */
    readiness: string;
    /** Look-ups of entries. */
    directory: string;
    /** State for other entries. */
    state: string;
    /** Datagrams between entries (UDP), and requests that they forward (TCP). */
    peers: string;
    /** Metrics; empty for none. */
    metrics: string;
  };
  /** Memory that the process may use; undefined if there is no known limit. */
  memoryBytes?: number;
  /** Sockets that the process may open; undefined if there is no known limit. */
  maxSockets?: number;
  storeAddress: string;
  /** State addresses of entries to fetch the state from while the store can't be read. */
  seeds: readonly string[];
  /** Region of each data centre. */
  dataCentres: DataCentreRegions;
  /** How long a stopping process may take until it is killed. */
  graceMillis: number;
  /** Time within which a change in the store must be in force at an entry that reaches it. */
  applyWithinMillis: number;
  /** Maximum time that a directory answer may be cached. */
  lookupTtlMillis: number;
  /** Budget of each service; see `RetryBudgetSettings` of the steering package. */
  retryBudget: { ratio: number; allowance: number; windowMillis: number };
  log: { level: "debug" | "info" | "warn" | "error" };
}
