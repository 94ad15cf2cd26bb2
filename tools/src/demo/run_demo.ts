/**
 * Runs the demo: stand-ins, ten entries in six data centres of three regions,
 * and both users' workloads. While they run, it publishes a revision, drains a
 * target and stops an entry.
 */
import process from "node:process";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import { Caller, type CallResult } from "../harness/caller.ts";
import { formatRows } from "../harness/format_rows.ts";
import { CYCLESTAND_PROFILE, NDIAYE_PROFILE } from "../harness/make_fleet.ts";
import { type Cluster, prepareCluster } from "../harness/start_cluster.ts";
import { tabulateCalls, totalCalls } from "../harness/summarize_calls.ts";
import { verifyCalls } from "../harness/verify_calls.ts";
import {
  CYCLESTAND_CALLS,
  driveCalls,
  NDIAYE_CALLS,
} from "../harness/workload.ts";

const DURATION_MILLIS = 20_000;
const SEED = 7;
const BASE_PORT = 21_000;
const ENTRIES_PER_DATA_CENTRE = [2, 2, 2, 2, 1, 1];

function print(text: string): void {
  process.stdout.write(`demo: ${text}\n`);
}

async function publishException(cluster: Cluster): Promise<void> {
  const changed = {
    ...cluster.fleet.document,
    exceptions: [{
      id: "ndiaye-archive",
      match: { member: "ndiaye", service: "pickups" },
      change: { bulkQueueWaitMillis: 8000 },
      owner: "fleet operations",
      reason: "Accounting closes the year and pulls more archives",
    }],
  };
  const published = await cluster.publish(changed, "year-end exception");
  print(
    `published revision ${published.revision}, in force in ${published.elapsedMillis} ms`,
  );
}

async function drainTarget(cluster: Cluster): Promise<void> {
  const drain = {
    kind: "target",
    id: "pickups-dk1-1",
    owner: "fleet operations",
    reason: "planned disk replacement",
  };
  await cluster.callOperator(cluster.entries[0], {
    method: "POST",
    path: "/v1/edit",
    body: { edit: { kind: "drain-add", drain } },
  });
  const runCount =
    (await cluster.fetchTargetActivity()).find((t) => t.id === drain.id)?.ran
      .length ?? 0;
  print(`drained target ${drain.id}, which had run ${runCount} requests`);
}

async function stopEntry(cluster: Cluster): Promise<number | null> {
  const name = cluster.entries[1].id;
  const startedAtMillis = performance.now();
  const code = await cluster.children.stop(name);
  print(
    `stopped ${name} in ${
      Math.round(performance.now() - startedAtMillis)
    } ms, exit code ${code}`,
  );
  return code;
}

function runAfter(
  millis: number,
  action: () => Promise<unknown>,
): Promise<unknown> {
  return new Promise((resolve, reject) => {
    setTimeout(() => action().then(resolve, reject), millis);
  });
}

async function runWorkload(cluster: Cluster): Promise<CallResult[]> {
  const caller = new Caller({
    lookupAddresses: cluster.entries.map((e) => e.callers),
    maxSends: 6,
  });
  const pending = new Set<Promise<void>>();
  const results: CallResult[] = [];
  const progressTimer = setInterval(() => {
    const { sent, complete } = totalCalls(results);
    print(`${sent} answered, ${complete} complete, ${pending.size} under way`);
  }, 4000);
  await driveCalls({
    kinds: [...NDIAYE_CALLS, ...CYCLESTAND_CALLS],
    durationMillis: DURATION_MILLIS,
    random: seededRandom(SEED),
    clientBlockCount: 6,
    startCall: (call) => {
      const done = caller.run(call).then((result) => {
        results.push(result);
        pending.delete(done);
      });
      pending.add(done);
    },
  });
  await Promise.all(pending);
  clearInterval(progressTimer);
  await caller.close();
  return results;
}

async function runDemo(): Promise<number> {
  const cluster = await prepareCluster({
    layout: {
      profiles: [NDIAYE_PROFILE, CYCLESTAND_PROFILE],
      targetsPerDataCentre: 2,
      capInFlight: 60,
      lookupTtlSeconds: 2,
    },
    entriesPerDataCentre: ENTRIES_PER_DATA_CENTRE,
    basePort: BASE_PORT,
  });
  print(
    `starting ${cluster.entries.length} entries and ${cluster.fleet.targets.length} targets`,
  );
  await cluster.start();
  print("serving");
  const [results, ...actionResults] = await Promise.all([
    runWorkload(cluster),
    runAfter(5000, () => publishException(cluster)),
    runAfter(9000, () => drainTarget(cluster)),
    runAfter(12_000, () => stopEntry(cluster)),
  ]);
  const targets = await cluster.fetchTargetActivity();
  const codes = await cluster.stop();
  const breaches = verifyCalls(results, targets);
  process.stdout.write(formatRows(tabulateCalls(results)) + "\n");
  for (const breach of breaches) {
    print(`breach of ${breach.property}: ${breach.detail}`);
  }
  // `codes` leaves out the entry that was stopped during the run.
  const badExits = Object.entries({
    ...codes,
    midway: actionResults[2] as number | null,
  })
    .filter(([, code]) => code !== 0);
  for (const [name, code] of badExits) print(`${name} exited with ${code}`);
  const { sent, complete, notRun, unknown } = totalCalls(results);
  const failed = breaches.length > 0 || badExits.length > 0 || complete === 0;
  if (failed) print(`logs are in ${cluster.folder}`);
  else await cluster.removeFolder();
  process.stdout.write(
    `demo: ${sent} sent, ${complete} complete, ${notRun} not run, ${unknown} unknown, ` +
      `${breaches.length} wrong\n`,
  );
  return failed ? 1 : 0;
}

process.exit(await runDemo());
