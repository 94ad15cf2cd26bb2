/**
 * A target leaves under load, by each of the three signals.
 */
import process from "node:process";
import {
  atMost,
  type BenchArm,
  type BenchOptions,
  type BenchReport,
  round,
} from "./bench_report.ts";
import { Caller, type CallResult } from "../harness/caller.ts";
import { ndiaye } from "../harness/make_fleet.ts";
import { type Cluster, prepareCluster } from "../harness/start_cluster.ts";
import { verifyCalls } from "../harness/verify_calls.ts";
import { driveCalls, ndiayeCalls } from "../harness/workload.ts";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";

const basePort = 29_000;
const runMillis = 16_000;
const firstSignalMillis = 3000;
const betweenMillis = 3500;
const lastNewLimitSeconds = 2;
const dataCentre = "dk1";

interface Signal {
  name: string;
  target: string;
  give(cluster: Cluster): Promise<void>;
}

const signals: Signal[] = [
  {
    name: "operator's change",
    target: `pickups-${dataCentre}-1`,
    give: async (cluster) => {
      const drain = {
        kind: "target",
        id: `pickups-${dataCentre}-1`,
        owner: "bench",
        reason: "a planned drain",
      };
      await cluster.operator(cluster.entries[0], {
        method: "POST",
        path: "/v1/edit",
        body: { edit: { kind: "drain-add", drain } },
      });
    },
  },
  {
    name: "target's own signal",
    target: `wash-tracking-${dataCentre}-1`,
    give: (cluster) =>
      cluster.setBehaviour(`wash-tracking-${dataCentre}-1`, { draining: true }),
  },
  {
    name: "platform's list",
    target: `billing-${dataCentre}-1`,
    give: (cluster) =>
      cluster.listInstances([
        ...cluster.entries.map((e) => ({
          id: e.id,
          dataCentre: e.dataCentre,
          peerAddress: e.peers,
          leaving: false,
        })),
        {
          id: `billing-${dataCentre}-1`,
          kind: "target" as const,
          dataCentre,
          peerAddress: "",
          leaving: true,
        },
      ]),
  },
];

interface Given {
  signal: Signal;
  atMillis: number;
}

async function giveSignals(cluster: Cluster): Promise<Given[]> {
  const given: Given[] = [];
  await new Promise((resolve) => setTimeout(resolve, firstSignalMillis));
  for (const signal of signals) {
    given.push({ signal, atMillis: Date.now() });
    await signal.give(cluster);
    await new Promise((resolve) => setTimeout(resolve, betweenMillis));
  }
  return given;
}

async function stopEntry(
  cluster: Cluster,
): Promise<{ seconds: number; code: number | null }> {
  await new Promise((resolve) => setTimeout(resolve, firstSignalMillis));
  const startedAt = performance.now();
  const code = await cluster.children.stop(cluster.entries[1].id);
  return { seconds: (performance.now() - startedAt) / 1000, code };
}

async function drive(
  cluster: Cluster,
  options: BenchOptions,
): Promise<CallResult[]> {
  const caller = new Caller({
    seeds: cluster.entries.map((e) => e.callers),
    maxSends: 6,
  });
  const results: CallResult[] = [];
  const pending: Promise<void>[] = [];
  await driveCalls({
    kinds: ndiayeCalls,
    durationMillis: runMillis,
    random: seededRandom(options.seed),
    blocks: 2,
    start: (call) =>
      void pending.push(caller.run(call).then((r) => void results.push(r))),
  });
  await Promise.all(pending);
  await caller.close();
  return results;
}

/** Gives each signal once, and stops one entry, under load. */
export async function drainBench(options: BenchOptions): Promise<BenchReport> {
  const cluster = await prepareCluster({
    layout: {
      profiles: [{
        ...ndiaye,
        regions: [{ id: "dakar", dataCentres: ["dk1", "dk2"] }],
      }],
      targetsPerDataCentre: 3,
      capInFlight: 100,
      lookupTtlSeconds: 1,
    },
    entriesPerDataCentre: [2, 1],
    basePort,
  });
  await cluster.start();
  const [results, given, stopped] = await Promise.all([
    drive(cluster, options),
    giveSignals(cluster),
    stopEntry(cluster),
  ]);
  const targets = await cluster.targets();
  await cluster.stop();
  await cluster.removeFolder();
  const failures = results.filter((r) => r.outcome !== "ran");
  const interrupted = failures.length;
  for (const { call, code, sends, detail, durationMillis } of failures) {
    const name = `${call.service}${call.path} (${call.key})`;
    const text = `${name}: code ${code} after ${sends} sends, ${
      Math.round(durationMillis)
    } ms: ${detail}`;
    process.stderr.write(`${text}\n`);
  }
  const breaches = verifyCalls(results, targets);
  const arms: BenchArm[] = given.map(({ signal, atMillis }) => {
    const ran = targets.find((t) => t.id === signal.target)?.ran ?? [];
    const after = ran.filter((r) => r.startedAtMillis > atMillis);
    const last = after.at(-1)?.startedAtMillis ?? atMillis;
    return {
      name: signal.name,
      ranBefore: ran.length - after.length,
      ranAfter: after.length,
      lastNewSeconds: round((last - atMillis) / 1000),
    };
  });
  arms.push({
    name: "entry stopped",
    drainSeconds: round(stopped.seconds),
    exitCode: String(stopped.code),
  });
  arms.push({
    name: "requests",
    sent: results.length,
    interrupted,
    breaches: breaches.length,
  });
  return {
    bench: "drain",
    seed: options.seed,
    arms,
    bounds: [
      ...arms.slice(0, signals.length).map((arm) =>
        atMost(
          `${arm.name}: seconds to the last new request`,
          Number(arm.lastNewSeconds),
          lastNewLimitSeconds,
        )
      ),
      atMost("requests interrupted", interrupted, 0),
      atMost("promises broken", breaches.length, 0),
    ],
  };
}
