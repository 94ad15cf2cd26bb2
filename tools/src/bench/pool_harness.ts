/**
 * Harness for benches of slot pools over real sockets: the targets run in a
 * child process, the product's pool task in this one. All arms of a bench get
 * the same seeded arrivals.
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { request } from "undici";
import type { EntryContext } from "@bamboolane/entry/context";
import { Invariants } from "@bamboolane/entry/invariants";
import type { Work } from "@bamboolane/entry/answer";
import { PoolTask, type PoolTaskOptions } from "@bamboolane/entry/pool_task";
import { createNoopLogger } from "@bamboolane/logger/create_logger";
import {
  createNoopMetrics,
  type Metrics,
} from "@bamboolane/metrics/create_metrics";
import { systemClock } from "@bamboolane/platform/ports";
import { CrashTracker } from "@bamboolane/route/crash_tracker";
import { LaneLearner } from "@bamboolane/route/lane_learner";
import type { TargetSpec } from "@bamboolane/standins/main_targets";
import type { TargetBehaviour } from "@bamboolane/standins/serve_target";
import { sampleFleet } from "@bamboolane/test-utils/sample_fleet";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import type { FleetDefaults, Lane } from "@bamboolane/types/fleet";
import type { EntrySettings } from "@bamboolane/types/settings";
import { ChildProcesses } from "../harness/child_processes.ts";

const LOOPBACK_HOST = "127.0.0.1";
const REPOSITORY_ROOT = path.resolve(import.meta.dirname, "../../..");

/** Targets of a bench in a child process. */
export class BenchTargets {
  readonly specs: TargetSpec[];
  readonly #children = new ChildProcesses();
  readonly #control: string;
  #folder = "";

  constructor(specs: TargetSpec[], options: { controlPort: number }) {
    this.specs = specs;
    this.#control = `${LOOPBACK_HOST}:${options.controlPort}`;
  }

  async start(): Promise<void> {
    this.#folder = await mkdtemp(path.join(tmpdir(), "bamboolane-bench-"));
    const file = path.join(this.#folder, "targets.json");
    await writeFile(file, JSON.stringify(this.specs));
    const script = path.join(REPOSITORY_ROOT, "standins/dist/main_targets.js");
    this.#children.start("targets", [script, this.#control, file], {
      logFile: path.join(this.#folder, "targets.log"),
    });
    for (let attempt = 0; attempt < 200; attempt++) {
      const isUp = await request(`http://${this.#control}/ran`).then(
        () => true,
        () => false,
      );
      if (isUp) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error("the targets did not start");
  }

  async setBehaviour(
    ids: string[],
    behaviour: Partial<TargetBehaviour>,
  ): Promise<void> {
    await Promise.all(ids.map(async (id) => {
      const url = `http://${this.#control}/behaviour/${id}`;
      const reply = await request(url, {
        method: "PUT",
        body: JSON.stringify(behaviour),
      });
      await reply.body.dump();
    }));
  }

  /** Makes targets crash. */
  async crash(ids: string[]): Promise<void> {
    await Promise.all(ids.map(async (id) => {
      const url = `http://${this.#control}/crash/${id}`;
      await (await request(url, { method: "PUT", body: "{}" })).body.dump();
    }));
  }

  /**
   * Activity of each target, by its id: the number of requests it has started,
   * the maximum that ran concurrently, and the start of the last one in
   * milliseconds of Unix time, 0 for none.
   */
  async fetchActivity(): Promise<
    Map<string, { count: number; peak: number; lastAtMillis: number }>
  > {
    const reply = await request(`http://${this.#control}/ran`);
    const records = await reply.body.json() as {
      id: string;
      peak: number;
      ran: { startedAtMillis: number }[];
    }[];
    return new Map(records.map((r) => [r.id, {
      count: r.ran.length,
      peak: r.peak,
      lastAtMillis: r.ran.at(-1)?.startedAtMillis ?? 0,
    }]));
  }

  async stop(): Promise<void> {
    await this.#children.stopAll();
    await rm(this.#folder, { recursive: true, force: true });
  }
}

/** Makes `count` targets with the same behaviour. */
export function makeTargets(
  prefix: string,
  count: number,
  options: {
    firstPort: number;
    behaviour: Partial<TargetBehaviour>;
    spread: number;
  },
): TargetSpec[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `${prefix}-${i + 1}`,
    address: `${LOOPBACK_HOST}:${options.firstPort + i}`,
    behaviour: options.behaviour,
    spread: options.spread,
  }));
}

/** Numbers of hedges, retries and invariant breaches of a pool. */
export interface PoolCounts {
  hedges: number;
  retries: number;
  breaches: number;
}

/** Options of {@link createPool}. */
export interface BenchPoolOptions {
  targets: TargetSpec[];
  seed: number;
  /** Cap on requests in flight; 10,000 by default, more than the benches reach. */
  capInFlight?: number;
  defaults?: Partial<FleetDefaults>;
  /** Slots of each target that the pool may use; by default those of the first target. */
  slots?: number;
  pool?: Pick<PoolTaskOptions, "strategy" | "hedging" | "singleQueue">;
}

/** A pool with its counters and its lane learner. */
export interface BenchPool {
  task: PoolTask;
  counts: PoolCounts;
  learner: LaneLearner;
  /** Reconfigures the pool so that exactly these targets are drained. */
  drain(ids: string[]): void;
}

const DATA_CENTRE = "a1";

/** Creates the product's pool task over real targets. */
export function createPool(options: BenchPoolOptions): BenchPool {
  const counts: PoolCounts = { hedges: 0, retries: 0, breaches: 0 };
  const metrics: Metrics = {
    ...createNoopMetrics(),
    count: (name) => {
      if (name === "bamboolane_hedges") counts.hedges++;
      if (name === "bamboolane_retries") counts.retries++;
      if (name === "bamboolane_invariant_breaches") counts.breaches++;
    },
  };
  const log = createNoopLogger();
  const context: EntryContext = {
    settings: {} as EntrySettings,
    log,
    metrics,
    clock: systemClock,
    random: seededRandom(options.seed),
    invariants: new Invariants({ log, metrics, onBreach: () => {} }),
  };
  const slots = options.slots ?? options.targets[0]?.behaviour.slots ?? 3;
  const fleet = sampleFleet({
    defaults: options.defaults,
    targets: options.targets.map(({ id, address }) => ({
      id,
      address,
      dataCentre: DATA_CENTRE,
      slots,
    })),
  });
  const learner = new LaneLearner({ maxRoutes: 100 });
  const createConfig = (drained: string[]) => ({
    service: fleet.services[0],
    dataCentre: DATA_CENTRE,
    capInFlight: options.capInFlight ?? 10_000,
    queueLimit: fleet.defaults.queueLimit,
    maxEjectedShare: fleet.defaults.maxEjectedShare,
    drained: new Set(drained),
  });
  const task = new PoolTask({
    context,
    config: createConfig([]),
    defaultsFor: () => fleet.defaults,
    weightOf: () => 1,
    crashes: new CrashTracker({ maxFingerprints: 100, retentionMillis: 1000 }),
    learner,
    onCrash: () => {},
    onSlotTime: () => {},
    ...options.pool,
  });
  return {
    task,
    counts,
    learner,
    drain: (ids) => task.configure(createConfig(ids)),
  };
}

let requestCount = 0;

/** Makes work for a pool. */
export function makeWork(
  route: string,
  options: {
    lane: Lane;
    member?: string;
    timeoutMillis?: number;
    idempotent?: boolean;
  },
): Work {
  const id = `b${++requestCount}`;
  const timeoutMillis = options.timeoutMillis ?? 20_000;
  return {
    info: {
      id,
      member: options.member ?? "m1",
      service: "s1",
      method: "GET",
      path: `/${route}/${id}`,
      client: "",
      lane: options.lane,
      laneReason: "bench",
      idempotent: options.idempotent ?? true,
      key: { kind: "none" },
      timeoutMillis,
      routeKey: route,
      fingerprint: id,
    },
    headers: [],
    body: { kind: "whole", bytes: new Uint8Array() },
    deadlineMillis: performance.now() + timeoutMillis,
    signal: new AbortController().signal,
    move: "",
    attempts: { dispatches: 0, provenNotRun: 0, keySeen: false },
  };
}

/** One arrival of a schedule. */
export interface Arrival {
  /** Time of the arrival, from the start of the schedule. */
  atMillis: number;
  kind: string;
  /** Uniform in [0, 1), for random choices of an arm. */
  randomValue: number;
}

/** Makes Poisson arrivals of several kinds; the same seed gives the same arrivals. */
export function makeArrivals(
  kinds: {
    kind: string;
    perSecond: number;
    fromMillis?: number;
    toMillis: number;
  }[],
  seed: number,
): Arrival[] {
  const random = seededRandom(seed);
  const arrivals = kinds.flatMap(
    ({ kind, perSecond, fromMillis = 0, toMillis }) => {
      const kindArrivals: Arrival[] = [];
      let atMillis = fromMillis;
      for (;;) {
        atMillis += -Math.log(1 - random()) * 1000 / perSecond;
        if (atMillis >= toMillis) return kindArrivals;
        kindArrivals.push({ atMillis, kind, randomValue: random() });
      }
    },
  );
  return arrivals.sort((a, b) => a.atMillis - b.atMillis);
}

/** How one arrival ended. */
export interface CompletedArrival {
  arrival: Arrival;
  ok: boolean;
  /** Name of the error; empty for an answer. */
  errorName: string;
  durationMillis: number;
  /** Time of the end, from the start of the schedule. */
  endedAtMillis: number;
  /** Id of the target that answered; empty for an error. */
  target: string;
}

/** Starts each arrival at its time and waits until all have ended. */
export async function playArrivals(
  arrivals: Arrival[],
  run: (arrival: Arrival) => Promise<{ target: string }>,
): Promise<CompletedArrival[]> {
  const scheduleStartMillis = performance.now();
  const completed: CompletedArrival[] = [];
  const pending: Promise<void>[] = [];
  for (const arrival of arrivals) {
    const wait = scheduleStartMillis + arrival.atMillis -
      performance.now();
    if (wait > 1) await new Promise((resolve) => setTimeout(resolve, wait));
    const sentAtMillis = performance.now();
    const finish = (
      fields: Pick<CompletedArrival, "ok" | "errorName" | "target">,
    ) => {
      const nowMillis = performance.now();
      completed.push({
        arrival,
        ...fields,
        durationMillis: nowMillis - sentAtMillis,
        endedAtMillis: nowMillis - scheduleStartMillis,
      });
    };
    pending.push(
      run(arrival).then(
        ({ target }) => finish({ ok: true, errorName: "", target }),
        (error) =>
          finish({
            ok: false,
            errorName: error.info?.name ?? String(error),
            target: "",
          }),
      ),
    );
  }
  await Promise.all(pending);
  return completed;
}

/** Runs work in a pool and reads its answer to the end. */
export async function runInPool(
  pool: BenchPool,
  work: Work,
): Promise<{ target: string }> {
  const answer = await pool.task.run(work);
  if (answer.body.kind === "stream") {
    for await (const _ of answer.body.chunks);
  }
  return { target: answer.target };
}

/** Durations of the answered arrivals that match, in milliseconds. */
export function durations(
  completed: CompletedArrival[],
  matches: (arrival: Arrival) => boolean = () => true,
): number[] {
  return completed.filter((e) => e.ok && matches(e.arrival)).map((e) =>
    e.durationMillis
  );
}
