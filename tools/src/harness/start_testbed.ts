/**
 * Starts a cluster with a proxy in front of each entry's peer address, ready
 * for fault injection.
 */
import { readFile } from "node:fs/promises";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import type { Testbed } from "./fault_injectors.ts";
import { LinkProxy } from "./link_proxy.ts";
import type { UserProfile } from "./make_fleet.ts";
import { prepareCluster, proxyAddress } from "./start_cluster.ts";

/** Options of {@link startTestbed}. */
export interface TestbedOptions {
  profile: UserProfile;
  /** Number of entries in each data centre, in the order of the data centres. */
  entriesPerDataCentre: number[];
  /** First of the ports that the cluster uses. */
  basePort: number;
  /** Seed of the random choices that faults make, such as the entry to kill. */
  seed: number;
}

const TARGET_RESTART_MILLIS = 1500;

/** Starts a testbed; end it with {@link stopTestbed}. */
export async function startTestbed(options: TestbedOptions): Promise<Testbed> {
  const cluster = await prepareCluster({
    layout: {
      profiles: [options.profile],
      targetsPerDataCentre: 2,
      capInFlight: 60,
      lookupTtlSeconds: 1,
      restartMillis: TARGET_RESTART_MILLIS,
    },
    entriesPerDataCentre: options.entriesPerDataCentre,
    basePort: options.basePort,
    advertiseProxies: true,
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

/** Stops the cluster and the proxies; returns the exit codes of the entries. */
export async function stopTestbed(
  testbed: Testbed,
): Promise<Record<string, number | null>> {
  const codes = await testbed.cluster.stop();
  for (const proxy of testbed.proxies.values()) proxy.close();
  return codes;
}

/** Lines of the entries' logs that report a breach of an invariant. */
export async function findInvariantBreaches(
  testbed: Testbed,
): Promise<string[]> {
  const lines: string[] = [];
  for (const entry of testbed.cluster.entries) {
    const text = await readFile(
      `${testbed.cluster.folder}/${entry.id}.log`,
      "utf8",
    );
    lines.push(
      ...text.split("\n").filter((line) =>
        line.includes("event=invariant_breach")
      ),
    );
  }
  return lines;
}
