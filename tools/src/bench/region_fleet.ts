/**
 * Three regions as three slot pools over real targets, with the latency
 * between regions added as waiting.
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
  cap: number;
}

/** Options of {@link startRegions}. */
export interface RegionOptions {
  firstPort: number;
  targetsPerRegion: number;
  slots: number;
  behaviour: Partial<TargetBehaviour>;
  seed: number;
  cap: number;
  defaults?: Partial<FleetDefaults>;
}

const regionIds = ["east", "west", "north"] as const;
export const linkMillis = 35;

/** Fleet of three regions with one data centre each, named like its region. */
export function regionFleet(): FleetConfig {
  return sampleFleet({
    overrides: {
      regions: regionIds.map((id) => ({
        id,
        dataCentres: [{ id, capInFlight: 1 }],
      })),
      links: [["east", "west"], ["east", "north"], ["west", "north"]].map((
        [a, b],
      ) => ({
        between: [a, b],
        bytesPerSecond: 1e8,
        latencyMillis: linkMillis,
      })),
    },
  });
}

/** Starts the targets of all regions. */
export async function startRegionTargets(
  options: RegionOptions,
): Promise<BenchTargets> {
  const specs = regionIds.flatMap((id, index) =>
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
  return regionIds.map((id) => {
    const own = targets.specs.filter((spec) => spec.id.startsWith(id));
    const pool = createPool({
      targets: own,
      seed: options.seed,
      capInFlight: options.cap,
      defaults: options.defaults,
    });
    return {
      id,
      pool,
      targetIds: own.map((spec) => spec.id),
      cap: options.cap,
    };
  });
}

/** What an owner would publish of its pool. */
export function viewOf(region: BenchRegion): PoolView {
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

/** Waits for one way between two regions. */
export async function travel(from: string, to: string): Promise<void> {
  if (from !== to) {
    await new Promise((resolve) => setTimeout(resolve, linkMillis));
  }
}

/** True for a refusal that proves that nothing ran. */
export function isNotRun(error: unknown): boolean {
  return error instanceof SteeringError && error.outcome === "not-run";
}
