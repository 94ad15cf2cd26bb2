/**
 * Drains targets under load, one by each of the three drain signals, and stops
 * an entry.
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
import { NDIAYE_PROFILE } from "../harness/make_fleet.ts";
import { type Cluster, prepareCluster } from "../harness/start_cluster.ts";
import { verifyCalls } from "../harness/verify_calls.ts";
import { driveCalls, NDIAYE_CALLS } from "../harness/workload.ts";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";

const BASE_PORT = 29_000;
const RUN_MILLIS = 16_000;
const FIRST_SIGNAL_DELAY_MILLIS = 3000;
const SIGNAL_INTERVAL_MILLIS = 3500;
/** Longest time from a drain signal to the last new request at the target. */
const MAX_LAST_NEW_SECONDS = 2;
const DATA_CENTRE = "dk1";

interface Signal {
  name: string;
  target: string;
  send(cluster: Cluster): Promise<void>;
}

const SIGNALS: Signal[] = [
  {
    name: "operator's change",
    target: `pickups-${DATA_CENTRE}-1`,
    send: async (cluster) => {
      const drain = {
        kind: "target",
        id: `pickups-${DATA_CENTRE}-1`,
        owner: "bench",
        reason: "a planned drain",
      };
      await cluster.callOperator(cluster.entries[0], {
        method: "POST",
        path: "/v1/edit",
        body: { edit: { kind: "drain-add", drain } },
      });
    },
  },
  {
    name: "target's own signal",
    target: `wash-tracking-${DATA_CENTRE}-1`,
    send: (cluster) =>
      cluster.setBehaviour(`wash-tracking-${DATA_CENTRE}-1`, {
        draining: true,
      }),
  },
  {
    name: "platform's list",
    target: `billing-${DATA_CENTRE}-1`,
    send: (cluster) =>
      cluster.setInstanceList([
        ...cluster.entries.map((e) => ({
          id: e.id,
          dataCentre: e.dataCentre,
          peerAddress: e.peers,
          leaving: false,
        })),
        {
          id: `billing-${DATA_CENTRE}-1`,
          kind: "target" as const,
          dataCentre: DATA_CENTRE,
          peerAddress: "",
          leaving: true,
        },
      ]),
  },
];

interface SentSignal {
  signal: Signal;
  /** Unix time, to compare with the targets' `startedAtMillis`. */
  atMillis: number;
}

async function sendSignals(cluster: Cluster): Promise<SentSignal[]> {
  const sentSignals: SentSignal[] = [];
  await new Promise((resolve) =>
    setTimeout(resolve, FIRST_SIGNAL_DELAY_MILLIS)
  );
  for (const signal of SIGNALS) {
    sentSignals.push({ signal, atMillis: Date.now() });
    await signal.send(cluster);
    await new Promise((resolve) => setTimeout(resolve, SIGNAL_INTERVAL_MILLIS));
  }
  return sentSignals;
}

async function stopEntry(
  cluster: Cluster,
): Promise<{ seconds: number; code: number | null }> {
  await new Promise((resolve) =>
    setTimeout(resolve, FIRST_SIGNAL_DELAY_MILLIS)
  );
  const stopRequestedAtMillis = performance.now();
  const code = await cluster.children.stop(cluster.entries[1].id);
  return { seconds: (performance.now() - stopRequestedAtMillis) / 1000, code };
}

async function runCalls(
  cluster: Cluster,
  options: BenchOptions,
): Promise<CallResult[]> {
  const caller = new Caller({
    lookupAddresses: cluster.entries.map((e) => e.callers),
    maxSends: 6,
  });
  const results: CallResult[] = [];
  const pending: Promise<void>[] = [];
  await driveCalls({
    kinds: NDIAYE_CALLS,
    durationMillis: RUN_MILLIS,
    random: seededRandom(options.seed),
    clientBlockCount: 2,
    startCall: (call) =>
      void pending.push(caller.run(call).then((r) => void results.push(r))),
  });
  await Promise.all(pending);
  await caller.close();
  return results;
}

/** Sends each drain signal once and stops one entry, under load. */
export async function drainBench(options: BenchOptions): Promise<BenchReport> {
  const cluster = await prepareCluster({
    layout: {
      profiles: [{
        ...NDIAYE_PROFILE,
        regions: [{ id: "dakar", dataCentres: ["dk1", "dk2"] }],
      }],
      targetsPerDataCentre: 3,
      capInFlight: 100,
      lookupTtlSeconds: 1,
    },
    entriesPerDataCentre: [2, 1],
    basePort: BASE_PORT,
  });
  await cluster.start();
  const [results, sentSignals, stopped] = await Promise.all([
    runCalls(cluster, options),
    sendSignals(cluster),
    stopEntry(cluster),
  ]);
  const targets = await cluster.fetchTargetActivity();
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
  const arms: BenchArm[] = sentSignals.map(({ signal, atMillis }) => {
    const ran = targets.find((t) => t.id === signal.target)?.ran ?? [];
    const after = ran.filter((r) => r.startedAtMillis > atMillis);
    const lastStartedAtMillis = after.at(-1)?.startedAtMillis ?? atMillis;
    return {
      name: signal.name,
      ranBefore: ran.length - after.length,
      ranAfter: after.length,
      lastNewSeconds: round((lastStartedAtMillis - atMillis) / 1000),
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
      ...arms.slice(0, SIGNALS.length).map((arm) =>
        atMost(
          `${arm.name}: seconds to the last new request`,
          Number(arm.lastNewSeconds),
          MAX_LAST_NEW_SECONDS,
        )
      ),
      atMost("requests interrupted", interrupted, 0),
      atMost("guarantees violated", breaches.length, 0),
    ],
  };
}
