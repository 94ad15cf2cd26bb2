/**
 * A small valid fleet configuration for tests.
 */
import type { FleetConfig, TargetConfig } from "@bamboolane/types/fleet";

/** Parts of the configuration that a test may override. */
export interface SampleFleetOptions {
  targets?: TargetConfig[];
  overrides?: Partial<FleetConfig>;
  defaults?: Partial<FleetConfig["defaults"]>;
}

/** Two regions, three data centres, two members, one service. */
export function sampleFleet(options: SampleFleetOptions = {}): FleetConfig {
  const targets = options.targets ?? [
    { id: "t1", dataCentre: "a1", address: "127.0.0.1:9001", slots: 3 },
  ];
  return {
    defaults: {
      timeoutMillis: 10_000,
      bulkAfterMillis: 300,
      bulkShare: 0.34,
      queueLimit: 100,
      queueWaitMillis: 2000,
      bulkQueueWaitMillis: 5000,
      hedgeBudget: 0.05,
      retryBudget: 0.1,
      lookupTtlSeconds: 1,
      maxEjectedShare: 0.4,
      notRunRefusal: { status: 503, header: "x-not-run", value: "1" },
      drainHeader: "x-draining",
      ...options.defaults,
    },
    regions: [
      {
        id: "east",
        dataCentres: [{ id: "a1", capInFlight: 20 }, {
          id: "a2",
          capInFlight: 20,
        }],
      },
      { id: "west", dataCentres: [{ id: "b1", capInFlight: 20 }] },
    ],
    links: [{
      between: ["east", "west"],
      bytesPerSecond: 1_000_000,
      latencyMillis: 30,
    }],
    members: [
      { id: "m1", weight: 1, ownShare: 0.5, costPerSlotSecond: 1 },
      { id: "m2", weight: 1, ownShare: 0.5, costPerSlotSecond: 1 },
    ],
    services: [{
      id: "s1",
      members: ["m1", "m2"],
      routes: [
        { pathPrefix: "/read", lane: "interactive", idempotent: true },
        { pathPrefix: "/bulk", lane: "bulk", idempotent: true },
        { pathPrefix: "/charge", lane: "interactive", idempotent: false },
      ],
      targets,
    }],
    sites: [],
    clientBlocks: [
      { cidr: "10.1.0.0/16", site: "a1" },
      { cidr: "10.2.0.0/16", site: "a2" },
      { cidr: "10.3.0.0/16", site: "b1" },
    ],
    exceptions: [],
    drains: [],
    moves: [],
    ...options.overrides,
  };
}
