/**
 * Plays a load pattern through the gateway's decisions on a simulated clock and
 * counts the outcomes of the calls.
 */
import type { GatewayRequest } from "@bamboolane/gateway/gateway_request";
import type { SteeringRoute } from "@bamboolane/steering/steering_config";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import { EventQueue } from "./event_queue.ts";
import type { LoadPattern, PatternEvent } from "./load_pattern.ts";
import {
  createEntryRecord,
  createRoute,
  createRows,
  SERVICE,
} from "./pattern_rows.ts";
import type { ReplayArm } from "./replay_arm.ts";
import {
  createRegionResult,
  type RegionResult,
  type ReplayResult,
  type WindowRuns,
} from "./replay_result.ts";
import { type RequestEnd, SimulatedEntry } from "./simulated_entry.ts";
import { SimulatedTarget } from "./simulated_target.ts";

/** Interval at which entries exchange their state. */
const HEARTBEAT_INTERVAL_MILLIS = 150;
/** Length of the windows in which the runs are counted. */
const WINDOW_MILLIS = 2000;
/** One-way latency between a caller and its entry. */
const CALLER_LATENCY_MILLIS = 1;

/** Plays `pattern` with `arm`; the same seed gives the same result. */
export function playPattern(
  pattern: LoadPattern,
  options: { arm: ReplayArm; seed: number },
): ReplayResult {
  return new Replay(pattern, options).play();
}

class Replay {
  readonly #pattern: LoadPattern;
  readonly #clock = new EventQueue();
  readonly #random: () => number;
  readonly #targets = new Map<string, SimulatedTarget>();
  readonly #entries: SimulatedEntry[] = [];
  readonly #results = new Map<string, RegionResult>();
  readonly #route: SteeringRoute;
  /** Runs by region and window. */
  readonly #windows = new Map<string, WindowRuns[]>();

  constructor(
    pattern: LoadPattern,
    options: { arm: ReplayArm; seed: number },
  ) {
    this.#pattern = pattern;
    this.#random = seededRandom(options.seed);
    this.#route = createRoute(pattern);
    const dataCentres: Record<string, string> = {};
    for (const { name, targets } of pattern.regions) {
      dataCentres[name] = name;
      const count = Math.floor(pattern.durationMillis / WINDOW_MILLIS);
      this.#windows.set(
        name,
        Array.from({ length: count }, () => ({ total: 0, remote: 0 })),
      );
      this.#results.set(name, createRegionResult(name));
      for (let i = 0; i < targets; i++) this.#addTarget(`${name}-${i}`, name);
    }
    const rows = createRows(pattern, this.#route, [...this.#targets.values()]);
    for (const { name, entries } of pattern.regions) {
      for (let i = 0; i < entries; i++) {
        this.#entries.push(
          new SimulatedEntry(createEntryRecord(`${name}-e${i}`, name), {
            clock: this.#clock,
            arm: options.arm,
            random: this.#random,
            targets: this.#targets,
            rows,
            interRegionMillis: pattern.interRegionMillis,
            dataCentres,
          }),
        );
      }
    }
  }

  play(): ReplayResult {
    const { durationMillis, deadlineMillis, events, regions } = this.#pattern;
    this.#restartAll();
    for (const event of events) this.#schedule(event);
    this.#clock.after(0, () => this.#exchangeHeartbeats());
    for (const region of regions) this.#scheduleArrivals(region.name);
    this.#clock.runUntil(durationMillis + 2 * deadlineMillis);
    const targets = [...this.#targets.values()];
    const sum = (read: (target: SimulatedTarget) => number) =>
      targets.reduce((total, target) => total + read(target), 0);
    const runs = sum((target) => target.runs);
    const busyMillis = sum((target) => target.busySlotMillis);
    return {
      regions: [...this.#results.values()],
      warmShare: sum((target) => target.warmRuns) / Math.max(1, runs),
      wastedShare: sum((target) => target.wastedSlotMillis) /
        Math.max(1, busyMillis),
      windows: this.#windows,
    };
  }

  #addTarget(id: string, region: string): void {
    this.#targets.set(
      id,
      new SimulatedTarget(id, {
        region,
        clock: this.#clock,
        pattern: this.#pattern,
        random: this.#random,
      }),
    );
  }

  #restartAll(): void {
    const records = this.#entries.map(({ record }) => record);
    for (const entry of this.#entries) entry.restart(records);
  }

  #schedule(event: PatternEvent): void {
    const { nowMillis } = this.#clock;
    switch (event.kind) {
      case "restart":
        this.#clock.after(event.atMillis - nowMillis, () => this.#restartAll());
        return;
      case "slow":
        for (const target of this.#firstTargets(event.share)) {
          this.#clock.after(
            event.fromMillis,
            () => target.slowdownFactor = event.factor,
          );
          this.#clock.after(event.toMillis, () => target.slowdownFactor = 1);
        }
        return;
      case "lost":
        for (const target of this.#targets.values()) {
          if (target.region !== event.region) continue;
          this.#clock.after(event.fromMillis, () => target.isDown = true);
          this.#clock.after(event.toMillis, () => {
            target.isDown = false;
            target.clearCache();
          });
        }
        return;
      case "burst":
      case "shift":
      case "abuse":
        // Applied when requests arrive.
        return;
    }
  }

  /** Returns the first targets of each region, up to `share` of its targets. */
  #firstTargets(share: number): SimulatedTarget[] {
    return this.#pattern.regions.flatMap(({ name }) => {
      const local = [...this.#targets.values()].filter((t) =>
        t.region === name
      );
      return local.slice(0, Math.round(local.length * share));
    });
  }

  /** Passes the state of each entry to all others, repeatedly until the end. */
  #exchangeHeartbeats(): void {
    const { nowMillis } = this.#clock;
    for (const sender of this.#entries) {
      const inFlight = sender.inFlight();
      const shares = new Map(Object.entries(sender.placer.remoteShares()));
      for (const receiver of this.#entries) {
        if (receiver === sender) continue;
        const memberState = { serving: true, reachesStore: true, inFlight };
        receiver.state.members.applyHeartbeat(
          sender.record,
          memberState,
          nowMillis,
        );
        if (receiver.record.region === sender.record.region) {
          const untilMillis = nowMillis + 10 * HEARTBEAT_INTERVAL_MILLIS;
          receiver.state.shares.setShares(
            sender.record.id,
            shares,
            untilMillis,
          );
        }
      }
    }
    if (nowMillis > this.#pattern.durationMillis) return;
    this.#clock.after(
      HEARTBEAT_INTERVAL_MILLIS,
      () => this.#exchangeHeartbeats(),
    );
  }

  /** Schedules the next call after a random gap, and so on until the end. */
  #scheduleArrivals(region: string): void {
    const { nowMillis } = this.#clock;
    if (nowMillis > this.#pattern.durationMillis) return;
    const perSecond = this.#arrivalRate(region, nowMillis);
    const gapMillis = -Math.log(1 - this.#random()) * 1000 / perSecond;
    this.#clock.after(gapMillis, () => {
      this.#startCall(region);
      this.#scheduleArrivals(region);
    });
  }

  /** Calls per second; never 0, as the gaps between calls are its reciprocal. */
  #arrivalRate(region: string, nowMillis: number): number {
    const { regions, events } = this.#pattern;
    const baseRate = (name: string) =>
      regions.find((candidate) => candidate.name === name)?.requestsPerSecond ??
        0;
    let rate = baseRate(region);
    for (const event of events) {
      if (!("fromMillis" in event)) continue;
      if (nowMillis < event.fromMillis || nowMillis >= event.toMillis) continue;
      if (event.kind === "burst") rate *= event.factor;
      if (event.kind !== "shift") continue;
      if (event.from === region) rate -= baseRate(region) * event.share;
      if (event.to === region) rate += baseRate(event.from) * event.share;
    }
    return Math.max(0.001, rate);
  }

  #startCall(region: string): void {
    const { deadlineMillis, maxRetries, events } = this.#pattern;
    const { nowMillis } = this.#clock;
    const isAbusive =
      events.some((event) =>
        event.kind === "abuse" && nowMillis >= event.fromMillis &&
        nowMillis < event.toMillis
      ) && this.#random() < 0.3;
    (this.#results.get(region) as RegionResult).calls++;
    this.#attempt(region, {
      object: this.#pickObject(region),
      startedAtMillis: nowMillis,
      deadlineAtMillis: nowMillis + deadlineMillis,
      retriesLeft: isAbusive ? 4 * maxRetries : maxRetries,
      isAbusive,
      isRetry: false,
    });
  }

  /** Picks an object; objects with a low index are picked more often. */
  #pickObject(region: string): string {
    const { regions, objectsPerRegion, ownRegionShare } = this.#pattern;
    const isOwn = this.#random() < ownRegionShare;
    const randomRegion =
      regions[Math.floor(this.#random() * regions.length)].name;
    const index = Math.floor(this.#random() ** 1.2 * objectsPerRegion);
    return `${isOwn ? region : randomRegion}-${index}`;
  }

  #attempt(region: string, call: Call): void {
    const local = this.#entries.filter(({ record }) =>
      record.region === region
    );
    const entry = local[Math.floor(this.#random() * local.length)];
    this.#clock.after(CALLER_LATENCY_MILLIS, () => {
      const request = this.#createRequest(call);
      entry.run(request, (end) =>
        this.#clock.after(
          CALLER_LATENCY_MILLIS,
          () => this.#completeAttempt(region, call, { end, request }),
        ));
    });
  }

  #createRequest(call: Call): GatewayRequest {
    const { nowMillis } = this.#clock;
    return {
      id: "",
      route: this.#route,
      service: SERVICE,
      object: call.object,
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      arrivedAtMillis: nowMillis,
      // As the entry sees it: from the arrival of this attempt, not of the call.
      objectiveAtMillis: nowMillis + this.#pattern.objectiveMillis,
      priority: 1,
      expiresAtMillis: call.deadlineAtMillis,
      fingerprint: "",
      sink: {} as GatewayRequest["sink"],
      memory: {} as GatewayRequest["memory"],
      isForwarded: false,
      triedTargets: new Set(),
      triedEntries: new Set(),
      arrivals: 0,
      possibleRuns: 0,
      readCaller: () => undefined,
      sends: 0,
      done: false,
      abort: undefined,
      expiryTimer: undefined,
    };
  }

  #completeAttempt(
    region: string,
    call: Call,
    { end, request }: { end: RequestEnd; request: GatewayRequest },
  ): void {
    const result = this.#results.get(region) as RegionResult;
    const { nowMillis } = this.#clock;
    const latencyMillis = nowMillis - call.startedAtMillis;
    this.#countRun(region, request);
    switch (end.kind) {
      case "served":
        if (nowMillis > call.deadlineAtMillis) return void result.failed++;
        result.latenciesMillis.push(latencyMillis);
        if (latencyMillis <= this.#pattern.objectiveMillis) result.inTime++;
        else result.late++;
        return;
      case "failed":
        result.failed++;
        return;
      case "refused": {
        const remainingMillis = call.deadlineAtMillis - nowMillis;
        const retryDelayMillis = call.isAbusive
          ? 0
          : Math.min(end.retryAfterMillis, remainingMillis / 3);
        if (call.retriesLeft === 0 || remainingMillis <= 0) {
          result.refused++;
          if (call.isRetry) result.refusedAgain++;
          return;
        }
        const retry = {
          ...call,
          retriesLeft: call.retriesLeft - 1,
          isRetry: true,
        };
        this.#clock.after(retryDelayMillis, () => this.#attempt(region, retry));
      }
    }
  }

  /** Counts the attempt as a run if the entry sent it to a target. */
  #countRun(region: string, request: GatewayRequest): void {
    const [target] = request.triedTargets;
    if (target === undefined) return;
    const index = Math.floor(this.#clock.nowMillis / WINDOW_MILLIS);
    const window = this.#windows.get(region)?.[index];
    if (window === undefined) return;
    window.total++;
    if (this.#targets.get(target)?.region !== region) window.remote++;
  }
}

/** A call; it may take several attempts. */
interface Call {
  object: string;
  startedAtMillis: number;
  deadlineAtMillis: number;
  retriesLeft: number;
  isAbusive: boolean;
  isRetry: boolean;
}
