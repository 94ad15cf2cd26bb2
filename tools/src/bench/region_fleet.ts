/**
 * Three regions as three slot pools over real targets. The latency between
 * regions is simulated by a delay.
 */
import { SteeringError } from "@bamboolane/errors/steering_error";
import type { PoolView } from "@bamboolane/route/choose_data_centre";
import type { FleetConfig, FleetDefaults } from "@bamboolane/types/fleet";
import { sampleFleet } from "@bamboolane/test-utils/sample_fleet";
import type { TargetBehaviour } from "@bamboolane/standins/serve_target";
import {
  type BenchPool,
  BenchTargets,
  createPool,
  makeTargets,
} from "./pool_harness.ts";

/** One region of the bench. */
export interface BenchRegion {
  id: string;
  pool: BenchPool;
  targetIds: string[];
  /** Cap on requests in flight. */
  cap: number;
}

/** Options of {@link startRegionTargets} and {@link createRegions}. */
export interface RegionOptions {
  /** Port of the first target; the others follow, and the port before it controls them. */
  firstPort: number;
  targetsPerRegion: number;
  /** Slots of each target. */
  slots: number;
  behaviour: Partial<TargetBehaviour>;
  seed: number;
  /** Cap on requests in flight of each region. */
  cap: number;
  defaults?: Partial<FleetDefaults>;
}

const REGION_IDS = ["east", "west", "north"] as const;
/** One-way latency between two regions. */
export const LINK_LATENCY_MILLIS = 35;

/** Creates a fleet of three regions with one data centre each, named like its region. */
export function createRegionFleet(): FleetConfig {
  return sampleFleet({
    overrides: {
      regions: REGION_IDS.map((id) => ({
        id,
        dataCentres: [{ id, capInFlight: 1 }],
      })),
      links: [["east", "west"], ["east", "north"], ["west", "north"]].map((
        [a, b],
      ) => ({
        between: [a, b],
        bytesPerSecond: 1e8,
        latencyMillis: LINK_LATENCY_MILLIS,
      })),
    },
  });
}

/** Starts the targets of all regions. */
export async function startRegionTargets(
  options: RegionOptions,
): Promise<BenchTargets> {
  const specs = REGION_IDS.flatMap((id, index) =>
    makeTargets(id, options.targetsPerRegion, {
      firstPort: options.firstPort + index * options.targetsPerRegion,
      behaviour: { slots: options.slots, ...options.behaviour },
      spread: 0.3,
    })
  );
  const targets = new BenchTargets(specs, {
    controlPort: options.firstPort - 1,
  });
  await targets.start();
  return targets;
}

/** Creates one pool for each region. */
export function createRegions(
  targets: BenchTargets,
  options: RegionOptions,
): BenchRegion[] {
  return REGION_IDS.map((id) => {
    const regionTargets = targets.specs.filter((spec) =>
      spec.id.startsWith(id)
    );
    const pool = createPool({
      targets: regionTargets,
      seed: options.seed,
      capInFlight: options.cap,
      defaults: options.defaults,
    });
    return {
      id,
      pool,
      targetIds: regionTargets.map((spec) => spec.id),
      cap: options.cap,
    };
  });
}

/** The view of a pool that its owner would publish. */
export function toPoolView(region: BenchRegion): PoolView {
  const status = region.pool.task.status();
  return {
    dataCentre: region.id,
    reachable: status.slots > 0,
    freeSlots: status.freeSlots,
    queued: status.queued,
    slots: status.slots,
    typicalMillis: status.typicalMillis,
  };
}

/** Waits for the one-way latency between two regions. */
export async function simulateLinkLatency(
  from: string,
  to: string,
): Promise<void> {
  if (from !== to) {
    await new Promise((resolve) => setTimeout(resolve, LINK_LATENCY_MILLIS));
  }
}

/** True for an error which guarantees that the request didn't run. */
export function isNotRun(error: unknown): boolean {
  return error instanceof SteeringError && error.outcome === "not-run";
}
