/**
 * Starts a cluster with a proxy before each entry, ready for faults.
 */
import { readFile } from "node:fs/promises";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import type { FaultScene } from "./fault_kinds.ts";
import { LinkProxy } from "./link_proxy.ts";
import type { UserProfile } from "./make_fleet.ts";
import { prepareCluster, proxyAddress } from "./start_cluster.ts";

/** Options of {@link startScene}. */
export interface SceneOptions {
  profile: UserProfile;
  entriesPerDataCentre: number[];
  basePort: number;
  seed: number;
}

const targetRestartMillis = 1500;

/** Starts a scene; stop its cluster and close its proxies at the end. */
export async function startScene(options: SceneOptions): Promise<FaultScene> {
  const cluster = await prepareCluster({
    layout: {
      profiles: [options.profile],
      targetsPerDataCentre: 2,
      capInFlight: 60,
      lookupTtlSeconds: 1,
      restartMillis: targetRestartMillis,
    },
    entriesPerDataCentre: options.entriesPerDataCentre,
    basePort: options.basePort,
    proxies: true,
  });
  const proxies = new Map<string, LinkProxy>();
  for (const entry of cluster.entries) {
    const proxy = new LinkProxy(entry.peers);
    await proxy.listen(proxyAddress(entry));
    proxies.set(entry.id, proxy);
  }
  await cluster.start();
  return {
    cluster,
    proxies,
    random: seededRandom(options.seed),
    victims: cluster.entries,
  };
}

/** Ends a scene; returns the exit codes of its entries. */
export async function endScene(
  scene: FaultScene,
): Promise<Record<string, number | null>> {
  const codes = await scene.cluster.stop();
  for (const proxy of scene.proxies.values()) proxy.close();
  return codes;
}

/** Lines of the entries' logs that tell of a broken invariant. */
export async function findInvariantBreaches(
  scene: FaultScene,
): Promise<string[]> {
  const found: string[] = [];
  for (const entry of scene.cluster.entries) {
    const text = await readFile(
      `${scene.cluster.folder}/${entry.id}.log`,
      "utf8",
    );
    found.push(
      ...text.split("\n").filter((line) =>
        line.includes("event=invariant_breach")
      ),
    );
  }
  return found;
}
