/**
 * Converts a load pattern to the rows that the store would publish.
 */
import {
  type EntryRecord,
  RepeatPolicy,
  type StateRow,
  type SteeringRoute,
} from "@bamboolane/steering/steering_config";
import type { LoadPattern } from "./load_pattern.ts";
import type { SimulatedTarget } from "./simulated_target.ts";

/** Name of the only service of a pattern. */
export const SERVICE = "s";

/** Creates the only route of a pattern. */
export function createRoute(pattern: LoadPattern): SteeringRoute {
  return {
    name: "r",
    host: "replay.example",
    prefix: "/",
    repeat: RepeatPolicy.idempotent,
    timeoutMillis: pattern.deadlineMillis,
    objectiveMillis: pattern.objectiveMillis,
    attempts: 1,
    priority: 1,
    affinity: true,
    allowedRegions: [],
    parts: [{ service: SERVICE, weight: 1 }],
  };
}

/** Creates the published rows: the configuration and the targets. */
export function createRows(
  pattern: LoadPattern,
  route: SteeringRoute,
  targets: readonly SimulatedTarget[],
): StateRow[] {
  const config: StateRow = {
    kind: "config",
    version: 1,
    config: {
      revision: 1,
      routes: [route],
      services: [{
        name: SERVICE,
        healthPath: "",
        maxConnections: 100,
        warmupMillis: 0,
        warmupPerSecond: 5,
      }],
      limits: {
        headerBytes: 1,
        bodyBytes: 1,
        headerTimeoutMillis: 1,
        idleTimeoutMillis: 1,
      },
    },
  };
  const records = targets.map((target, i): StateRow => ({
    kind: "target",
    version: 2 + i,
    id: target.id,
    record: {
      id: target.id,
      service: SERVICE,
      address: `${target.id}:1`,
      dataCentre: target.region,
      slots: pattern.slots,
      draining: false,
      warmupLeftMillis: 0,
      bornMillis: 1,
      sequence: 0,
    },
  }));
  return [config, ...records];
}

/** Creates an entry's record; each region is one data centre of the same name. */
export function createEntryRecord(id: string, region: string): EntryRecord {
  return {
    id,
    incarnation: 1,
    dataCentre: region,
    region,
    callerAddress: "",
    peerAddress: "",
    stateAddress: "",
  };
}
