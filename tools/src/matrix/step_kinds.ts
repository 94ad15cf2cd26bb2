/**
 * Steps of the system that faults are brought about at. Each performs the
 * step once and throws where it did not succeed.
 */
import { request } from "undici";
import type { Call, Caller, CallResult } from "../harness/caller.ts";
import type { FaultScene } from "../harness/fault_kinds.ts";
import type { ClusterEntry } from "../harness/start_cluster.ts";

/** What a step works with. */
export interface StepScene extends FaultScene {
  caller: Caller;
  /** Results of all calls of the cell, for the check at its end. */
  results: CallResult[];
  /** An entry that runs only while the join step needs it. */
  extra: ClusterEntry;
}

/** Performs a step. */
export type StepKind = (scene: StepScene) => Promise<void>;

const callTimeoutMillis = 5000;
/** Twenty archive pulls of 400 ms share a few bulk slots. */
const burstTimeoutMillis = 20_000;
const waitMillis = 12_000;
const drainGraceMillis = 2000;
let marks = 0;

function nextMark(): string {
  return `x${Date.now().toString(36)}-${++marks}`;
}

/** Runs calls and keeps their results; throws unless all are allowed. */
async function runCalls(
  scene: StepScene,
  calls: Call[],
  options: { allowNotRun?: boolean } = {},
): Promise<void> {
  const results = await Promise.all(
    calls.map((call) => scene.caller.run(call)),
  );
  scene.results.push(...results);
  const bad = results.filter((r) =>
    r.outcome !== "ran" && !(options.allowNotRun && r.outcome === "not-run")
  );
  if (bad.length > 0) {
    throw new Error(`${bad.length} calls failed: ${bad[0].detail}`);
  }
}

function read(
  block: number,
  path = "/pickups",
  timeoutMillis = callTimeoutMillis,
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

function charge(key: "ticket" | "own"): Call {
  return {
    member: "ndiaye",
    service: "billing",
    method: "POST",
    path: "/charge",
    body: nextMark(),
    client: `10.${1 + marks % 3}.0.1`,
    key,
    timeoutMillis: callTimeoutMillis,
  };
}

function running(scene: StepScene): ClusterEntry[] {
  return scene.cluster.entries.filter((e) => scene.cluster.children.get(e.id));
}

async function lookUp(scene: StepScene): Promise<void> {
  const query = "member=ndiaye&service=pickups&client=10.2.0.1";
  const answers = await Promise.all(
    running(scene).map(async (entry) => {
      const reply = await request(
        `http://${entry.callers}/v1/lookup?${query}`,
        {
          signal: AbortSignal.timeout(callTimeoutMillis),
        },
      );
      return await reply.body.json() as { entries?: unknown[] };
    }),
  );
  if (answers.some((a) => !a.entries?.length)) {
    throw new Error("an entry names no entries");
  }
}

function many(count: number, make: (index: number) => Call): Call[] {
  return Array.from({ length: count }, (_, index) => make(index));
}

async function edit(
  scene: StepScene,
  change: Record<string, unknown>,
): Promise<number> {
  const [entry] = running(scene);
  const result = await scene.cluster.operator<{ revision: number }>(entry, {
    method: "POST",
    path: "/v1/edit",
    body: { edit: change },
  });
  return result.revision;
}

async function until(
  check: () => Promise<boolean>,
  what: string,
): Promise<void> {
  const end = Date.now() + waitMillis;
  while (Date.now() < end) {
    if (await check().catch(() => false)) return;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  throw new Error(`gave up waiting until ${what}`);
}

interface EntryStatus {
  revision: number;
  duties: string[];
}

function status(scene: StepScene, entry: ClusterEntry): Promise<EntryStatus> {
  return scene.cluster.operator<EntryStatus>(entry, {
    method: "GET",
    path: "/v1/status",
  });
}

async function publish(scene: StepScene): Promise<void> {
  const id = nextMark();
  const revision = await edit(scene, {
    kind: "exception-add",
    exception: {
      id,
      match: { member: "ndiaye" },
      change: { bulkShare: 0.34 },
      owner: "matrix",
      reason: "a change while faults are about",
    },
  });
  await until(async () => {
    const all = await Promise.all(
      running(scene).map((entry) => status(scene, entry)),
    );
    return all.every((s) => s.revision >= revision);
  }, `revision ${revision} is in force everywhere`);
  await edit(scene, { kind: "exception-retire", id });
}

async function join(scene: StepScene): Promise<void> {
  const { extra, cluster } = scene;
  await cluster.startEntry(extra);
  const joined = until(
    async () => (await status(scene, extra)).revision > 0,
    "the newcomer has a revision",
  );
  const failure = await joined.then(() => undefined, (error) => error as Error);
  const code = await cluster.children.stop(extra.id);
  if (failure !== undefined) throw failure;
  if (code !== 0) throw new Error(`the newcomer exited with ${code}`);
}

async function drain(scene: StepScene): Promise<void> {
  const id = scene.cluster.fleet.targets[0].id;
  const ranCount = async () =>
    (await scene.cluster.targets()).find((t) => t.id === id)?.ran.length ?? 0;
  await edit(scene, { kind: "drain-remove", id }).catch(() => 0);
  await edit(scene, {
    kind: "drain-add",
    drain: {
      kind: "target",
      id,
      owner: "matrix",
      reason: "a drain while faults are about",
    },
  });
  await new Promise((resolve) => setTimeout(resolve, drainGraceMillis));
  const before = await ranCount();
  await runCalls(scene, many(10, () => read(1)));
  const after = await ranCount();
  await edit(scene, { kind: "drain-remove", id });
  if (after !== before) {
    throw new Error(`the drained target ran ${after - before} more`);
  }
}

async function move(scene: StepScene): Promise<void> {
  const id = nextMark();
  await edit(scene, {
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
      reason: "a move while faults are about",
    },
  });
  await edit(scene, { kind: "move", id, action: "advance" });
  await runCalls(scene, many(10, () => read(1)));
  await edit(scene, { kind: "move", id, action: "abort" });
}

async function holderOf(scene: StepScene): Promise<ClusterEntry | undefined> {
  const holders: ClusterEntry[] = [];
  for (const entry of running(scene)) {
    const { duties } = await status(scene, entry).catch(() => ({
      duties: [] as string[],
    }));
    if (duties.includes("moves")) holders.push(entry);
  }
  if (holders.length > 1) {
    throw new Error(`two holders: ${holders.map((h) => h.id)}`);
  }
  return holders[0];
}

async function takeOver(scene: StepScene): Promise<void> {
  await until(
    async () => await holderOf(scene) !== undefined,
    "somebody holds the duty",
  );
  const holder = await holderOf(scene) as ClusterEntry;
  const child = scene.cluster.children.get(holder.id);
  scene.cluster.children.signal(holder.id, "SIGKILL");
  await child?.exited;
  try {
    await until(async () => {
      const next = await holderOf(scene);
      return next !== undefined && next.id !== holder.id;
    }, "another takes the duty");
  } finally {
    await scene.cluster.startEntry(holder);
    await scene.cluster.untilServing(holder);
  }
}

/** All steps by name. */
export const stepKinds = {
  "look-up": lookUp,
  "forward": (scene) => runCalls(scene, many(9, (i) => read(1 + i % 3))),
  "admission": (scene) =>
    runCalls(scene, many(20, () => read(2, "/archive", burstTimeoutMillis)), {
      allowNotRun: true,
    }),
  "ticket": (scene) => runCalls(scene, many(6, () => charge("ticket"))),
  "claim": (scene) => runCalls(scene, many(6, () => charge("own"))),
  "publish": publish,
  "join": join,
  "drain": drain,
  "move": move,
  "takeover": takeOver,
} as const satisfies Record<string, StepKind>;

/** Name of a step. */
export type StepName = keyof typeof stepKinds;
