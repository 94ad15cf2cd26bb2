/**
 * Steps of the system during which the matrix injects faults. Each runner
 * performs its step once and throws if it did not succeed.
 */
import { request } from "undici";
import type { Call, Caller, CallResult } from "../harness/caller.ts";
import type { Testbed } from "../harness/fault_injectors.ts";
import type { ClusterEntry } from "../harness/start_cluster.ts";

/** A testbed with the caller, results and additional entry of the steps. */
export interface StepTestbed extends Testbed {
  caller: Caller;
  /** Results of all calls of a cell, verified at its end. */
  results: CallResult[];
  /** An additional entry that runs only during the join step. */
  joiningEntry: ClusterEntry;
}

/** Performs a step. */
export type StepRunner = (testbed: StepTestbed) => Promise<void>;

const CALL_TIMEOUT_MILLIS = 5000;
/** Longer than other calls', as 20 archive requests of 400 ms each share a few bulk slots. */
const BURST_TIMEOUT_MILLIS = 20_000;
const WAIT_TIMEOUT_MILLIS = 12_000;
const DRAIN_GRACE_MILLIS = 2000;
let markCount = 0;

function nextMark(): string {
  return `x${Date.now().toString(36)}-${++markCount}`;
}

/** Runs calls and records their results; throws if one ended in an outcome that is not allowed. */
async function runCalls(
  testbed: StepTestbed,
  calls: Call[],
  options: { allowNotRun?: boolean } = {},
): Promise<void> {
  const results = await Promise.all(
    calls.map((call) => testbed.caller.run(call)),
  );
  testbed.results.push(...results);
  const failedCalls = results.filter((r) =>
    r.outcome !== "ran" && !(options.allowNotRun && r.outcome === "not-run")
  );
  if (failedCalls.length > 0) {
    throw new Error(
      `${failedCalls.length} calls failed: ${failedCalls[0].detail}`,
    );
  }
}

function makePickupCall(
  block: number,
  path = "/pickups",
  timeoutMillis = CALL_TIMEOUT_MILLIS,
): Call {
  return {
    member: "ndiaye",
    service: "pickups",
    method: "GET",
    path: `${path}/${nextMark()}`,
    body: "",
    client: `10.${block}.0.1`,
    key: "none",
    timeoutMillis,
  };
}

function makeChargeCall(key: "ticket" | "own"): Call {
  return {
    member: "ndiaye",
    service: "billing",
    method: "POST",
    path: "/charge",
    body: nextMark(),
    client: `10.${1 + markCount % 3}.0.1`,
    key,
    timeoutMillis: CALL_TIMEOUT_MILLIS,
  };
}

function runningEntries(testbed: StepTestbed): ClusterEntry[] {
  return testbed.cluster.entries.filter((e) =>
    testbed.cluster.children.get(e.id)
  );
}

async function lookUp(testbed: StepTestbed): Promise<void> {
  const query = "member=ndiaye&service=pickups&client=10.2.0.1";
  const answers = await Promise.all(
    runningEntries(testbed).map(async (entry) => {
      const reply = await request(
        `http://${entry.callers}/v1/lookup?${query}`,
        {
          signal: AbortSignal.timeout(CALL_TIMEOUT_MILLIS),
        },
      );
      return await reply.body.json() as { entries?: unknown[] };
    }),
  );
  if (answers.some((a) => !a.entries?.length)) {
    throw new Error("the look-up answer of an entry lists no entries");
  }
}

function makeCalls(count: number, makeCall: (index: number) => Call): Call[] {
  return Array.from({ length: count }, (_, index) => makeCall(index));
}

async function sendEdit(
  testbed: StepTestbed,
  change: Record<string, unknown>,
): Promise<number> {
  const [entry] = runningEntries(testbed);
  const result = await testbed.cluster.callOperator<{ revision: number }>(
    entry,
    {
      method: "POST",
      path: "/v1/edit",
      body: { edit: change },
    },
  );
  return result.revision;
}

async function waitUntil(
  check: () => Promise<boolean>,
  condition: string,
): Promise<void> {
  const endAtMillis = Date.now() + WAIT_TIMEOUT_MILLIS;
  while (Date.now() < endAtMillis) {
    if (await check().catch(() => false)) return;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  throw new Error(`gave up waiting until ${condition}`);
}

interface EntryStatus {
  revision: number;
  duties: string[];
}

function fetchStatus(
  testbed: StepTestbed,
  entry: ClusterEntry,
): Promise<EntryStatus> {
  return testbed.cluster.callOperator<EntryStatus>(entry, {
    method: "GET",
    path: "/v1/status",
  });
}

async function publish(testbed: StepTestbed): Promise<void> {
  const id = nextMark();
  const revision = await sendEdit(testbed, {
    kind: "exception-add",
    exception: {
      id,
      match: { member: "ndiaye" },
      change: { bulkShare: 0.34 },
      owner: "matrix",
      reason: "a change during a fault",
    },
  });
  await waitUntil(async () => {
    const all = await Promise.all(
      runningEntries(testbed).map((entry) => fetchStatus(testbed, entry)),
    );
    return all.every((s) => s.revision >= revision);
  }, `revision ${revision} is in force everywhere`);
  await sendEdit(testbed, { kind: "exception-retire", id });
}

async function join(testbed: StepTestbed): Promise<void> {
  const { joiningEntry, cluster } = testbed;
  await cluster.startEntry(joiningEntry);
  const joined = waitUntil(
    async () => (await fetchStatus(testbed, joiningEntry)).revision > 0,
    "the joining entry has a revision",
  );
  const failure = await joined.then(() => undefined, (error) => error as Error);
  const code = await cluster.children.stop(joiningEntry.id);
  if (failure !== undefined) throw failure;
  if (code !== 0) throw new Error(`the joining entry exited with ${code}`);
}

async function drain(testbed: StepTestbed): Promise<void> {
  const id = testbed.cluster.fleet.targets[0].id;
  const countRuns = async () =>
    (await testbed.cluster.fetchTargetActivity()).find((t) => t.id === id)?.ran
      .length ?? 0;
  // An earlier run of the step that failed may have left its drain in place.
  await sendEdit(testbed, { kind: "drain-remove", id }).catch(() => 0);
  await sendEdit(testbed, {
    kind: "drain-add",
    drain: {
      kind: "target",
      id,
      owner: "matrix",
      reason: "a drain during a fault",
    },
  });
  await new Promise((resolve) => setTimeout(resolve, DRAIN_GRACE_MILLIS));
  const before = await countRuns();
  await runCalls(testbed, makeCalls(10, () => makePickupCall(1)));
  const after = await countRuns();
  await sendEdit(testbed, { kind: "drain-remove", id });
  if (after !== before) {
    throw new Error(`the drained target ran ${after - before} more requests`);
  }
}

async function move(testbed: StepTestbed): Promise<void> {
  const id = nextMark();
  await sendEdit(testbed, {
    kind: "move-plan",
    move: {
      id,
      service: "pickups",
      from: "dk1",
      to: "th1",
      capShare: 0.3,
      steps: [0.2, 0.3],
      step: -1,
      state: "planned",
      owner: "matrix",
      reason: "a move during a fault",
    },
  });
  await sendEdit(testbed, { kind: "move", id, action: "advance" });
  await runCalls(testbed, makeCalls(10, () => makePickupCall(1)));
  await sendEdit(testbed, { kind: "move", id, action: "abort" });
}

/** Finds the entry that holds the moves duty; throws if several hold it. */
async function findDutyHolder(
  testbed: StepTestbed,
): Promise<ClusterEntry | undefined> {
  const holders: ClusterEntry[] = [];
  for (const entry of runningEntries(testbed)) {
    const { duties } = await fetchStatus(testbed, entry).catch(() => ({
      duties: [] as string[],
    }));
    if (duties.includes("moves")) holders.push(entry);
  }
  if (holders.length > 1) {
    throw new Error(
      `more than one entry holds the moves duty: ${holders.map((h) => h.id)}`,
    );
  }
  return holders[0];
}

/** Kills the holder of the moves duty; another entry must take over the duty. */
async function takeOverDuty(testbed: StepTestbed): Promise<void> {
  await waitUntil(
    async () => await findDutyHolder(testbed) !== undefined,
    "an entry holds the moves duty",
  );
  const holder = await findDutyHolder(testbed) as ClusterEntry;
  const child = testbed.cluster.children.get(holder.id);
  testbed.cluster.children.signal(holder.id, "SIGKILL");
  await child?.exited;
  try {
    await waitUntil(async () => {
      const next = await findDutyHolder(testbed);
      return next !== undefined && next.id !== holder.id;
    }, "another entry holds the moves duty");
  } finally {
    await testbed.cluster.startEntry(holder);
    await testbed.cluster.waitUntilServing(holder);
  }
}

/** Runners of all steps by name. */
export const STEP_RUNNERS = {
  "look-up": lookUp,
  "forward": (testbed) =>
    runCalls(testbed, makeCalls(9, (i) => makePickupCall(1 + i % 3))),
  "admission": (testbed) =>
    runCalls(
      testbed,
      makeCalls(20, () => makePickupCall(2, "/archive", BURST_TIMEOUT_MILLIS)),
      {
        allowNotRun: true,
      },
    ),
  "ticket": (testbed) =>
    runCalls(testbed, makeCalls(6, () => makeChargeCall("ticket"))),
  "claim": (testbed) =>
    runCalls(testbed, makeCalls(6, () => makeChargeCall("own"))),
  "publish": publish,
  "join": join,
  "drain": drain,
  "move": move,
  "takeover": takeOverDuty,
} as const satisfies Record<string, StepRunner>;

/** Name of a step. */
export type StepName = keyof typeof STEP_RUNNERS;
