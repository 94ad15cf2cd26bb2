/**
 * Plays one load pattern through the gateway's decisions on a fake clock, and
 * counts what callers got.
 */
import type { GatewayRequest } from "@bamboolane/gateway/gateway_request";
import type { SteeringRoute } from "@bamboolane/steering/steering_config";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import { EventQueue } from "./event_queue.ts";
import type { LoadPattern, PatternEvent } from "./load_pattern.ts";
import { entryRecord, routeOf, rowsOf, service } from "./pattern_rows.ts";
import type { ReplayArm } from "./replay_arm.ts";
import {
  emptyResult,
  type RegionResult,
  type ReplayResult,
  type WindowRuns,
} from "./replay_result.ts";
import { type RequestEnd, SimulatedEntry } from "./simulated_entry.ts";
import { SimulatedTarget } from "./simulated_target.ts";

/** How often entries hear of each other. */
const heartbeatMillis = 150;
const windowMillis = 2000;
const callerWayMillis = 1;

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
  /** Runs and runs elsewhere, by region and window. */
  readonly #windows = new Map<string, WindowRuns[]>();
  #slotMillis = 0;
  #wastedMillis = 0;

  constructor(
    pattern: LoadPattern,
    options: { arm: ReplayArm; seed: number },
  ) {
    this.#pattern = pattern;
    this.#random = seededRandom(options.seed);
    this.#route = routeOf(pattern);
    const dataCentres: Record<string, string> = {};
    for (const { name, targets } of pattern.regions) {
      dataCentres[name] = name;
      const count = Math.floor(pattern.lengthMillis / windowMillis);
      this.#windows.set(
        name,
        Array.from({ length: count }, () => ({ all: 0, away: 0 })),
      );
      this.#results.set(name, emptyResult(name));
      for (let i = 0; i < targets; i++) this.#addTarget(`${name}-${i}`, name);
    }
    const rows = rowsOf(pattern, this.#route, [...this.#targets.values()]);
    for (const { name, entries } of pattern.regions) {
      for (let i = 0; i < entries; i++) {
        this.#entries.push(
          new SimulatedEntry(entryRecord(`${name}-e${i}`, name), {
            clock: this.#clock,
            arm: options.arm,
            random: this.#random,
            targets: this.#targets,
            rows,
            betweenRegionsMillis: pattern.betweenRegionsMillis,
            dataCentres,
          }),
        );
      }
    }
  }

  play(): ReplayResult {
    const { lengthMillis, deadlineMillis, events, regions } = this.#pattern;
    this.#restartAll();
    for (const event of events) this.#schedule(event);
    this.#clock.after(0, () => this.#beat());
    for (const region of regions) this.#arrive(region.name);
    this.#clock.runUntil(lengthMillis + 2 * deadlineMillis);
    const targets = [...this.#targets.values()];
    const runs = targets.reduce((sum, target) => sum + target.runs, 0);
    const warm = targets.reduce((sum, target) => sum + target.warmRuns, 0);
    return {
      regions: [...this.#results.values()],
      warmShare: warm / Math.max(1, runs),
      wastedShare: this.#wastedMillis / Math.max(1, this.#slotMillis),
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
            () => target.factor = event.factor,
          );
          this.#clock.after(event.toMillis, () => target.factor = 1);
        }
        return;
      case "lost":
        for (const target of this.#targets.values()) {
          if (target.region !== event.region) continue;
          this.#clock.after(event.fromMillis, () => target.lost = true);
          this.#clock.after(event.toMillis, () => {
            target.lost = false;
            target.forget();
          });
        }
        return;
      case "burst":
      case "shift":
      case "abuse":
        // Looked up when requests arrive.
        return;
    }
  }

  /** The same share of each region's targets. */
  #firstTargets(share: number): SimulatedTarget[] {
    return this.#pattern.regions.flatMap(({ name }) => {
      const own = [...this.#targets.values()].filter((t) => t.region === name);
      return own.slice(0, Math.round(own.length * share));
    });
  }

  #beat(): void {
    const { nowMillis } = this.#clock;
    for (const teller of this.#entries) {
      const inFlight = teller.inFlight();
      const shares = new Map(Object.entries(teller.placer.remoteShares()));
      for (const hearer of this.#entries) {
        if (hearer === teller) continue;
        const told = { serving: true, reachesStore: true, inFlight };
        hearer.state.members.applyHeartbeat(teller.record, told, nowMillis);
        if (hearer.record.region === teller.record.region) {
          const untilMillis = nowMillis + 10 * heartbeatMillis;
          hearer.state.shares.setShares(teller.record.id, shares, untilMillis);
        }
      }
    }
    if (nowMillis > this.#pattern.lengthMillis) return;
    this.#clock.after(heartbeatMillis, () => this.#beat());
  }

  /** One request now, and the next one after a random gap. */
  #arrive(region: string): void {
    const { nowMillis } = this.#clock;
    if (nowMillis > this.#pattern.lengthMillis) return;
    const perSecond = this.#rateOf(region, nowMillis);
    const gapMillis = -Math.log(1 - this.#random()) * 1000 / perSecond;
    this.#clock.after(gapMillis, () => {
      this.#call(region);
      this.#arrive(region);
    });
  }

  #rateOf(region: string, nowMillis: number): number {
    const { regions, events } = this.#pattern;
    const base = (name: string) =>
      regions.find((one) => one.name === name)?.requestsPerSecond ?? 0;
    let rate = base(region);
    for (const event of events) {
      if (!("fromMillis" in event)) continue;
      if (nowMillis < event.fromMillis || nowMillis >= event.toMillis) continue;
      if (event.kind === "burst") rate *= event.factor;
      if (event.kind !== "shift") continue;
      if (event.from === region) rate -= base(region) * event.share;
      if (event.to === region) rate += base(event.from) * event.share;
    }
    return Math.max(0.001, rate);
  }

  #call(region: string): void {
    const { deadlineMillis, returns, events } = this.#pattern;
    const { nowMillis } = this.#clock;
    const abusive =
      events.some((event) =>
        event.kind === "abuse" && nowMillis >= event.fromMillis &&
        nowMillis < event.toMillis
      ) && this.#random() < 0.3;
    (this.#results.get(region) as RegionResult).asked++;
    this.#attempt(region, {
      object: this.#objectFor(region),
      startMillis: nowMillis,
      untilMillis: nowMillis + deadlineMillis,
      returnsLeft: abusive ? 4 * returns : returns,
      abusive,
      returned: false,
    });
  }

  /** Few objects are asked for much more often than others. */
  #objectFor(region: string): string {
    const { regions, objects, atHomeShare } = this.#pattern;
    const isOwn = this.#random() < atHomeShare;
    const any = regions[Math.floor(this.#random() * regions.length)].name;
    const index = Math.floor(this.#random() ** 1.2 * objects);
    return `${isOwn ? region : any}-${index}`;
  }

  #attempt(region: string, call: Call): void {
    const own = this.#entries.filter(({ record }) => record.region === region);
    const entry = own[Math.floor(this.#random() * own.length)];
    this.#clock.after(callerWayMillis, () => {
      const request = this.#request(call);
      entry.run(request, (end) =>
        this.#clock.after(
          callerWayMillis,
          () => this.#settle(region, call, { end, request }),
        ));
    });
  }

  #request(call: Call): GatewayRequest {
    const { nowMillis } = this.#clock;
    return {
      id: "",
      route: this.#route,
      service,
      object: call.object,
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      arrivedAtMillis: nowMillis,
      objectiveAtMillis: nowMillis + this.#pattern.objectiveMillis,
      priority: 1,
      expiresAtMillis: call.untilMillis,
      fingerprint: "",
      sink: {} as GatewayRequest["sink"],
      triedTargets: new Set(),
      possibleRuns: 0,
      sends: 0,
      done: false,
      abort: undefined,
      expiryTimer: undefined,
    };
  }

  #settle(
    region: string,
    call: Call,
    { end, request }: { end: RequestEnd; request: GatewayRequest },
  ): void {
    const result = this.#results.get(region) as RegionResult;
    const { nowMillis } = this.#clock;
    const tookMillis = nowMillis - call.startMillis;
    this.#countRun(region, request);
    switch (end.kind) {
      case "served":
        if (nowMillis > call.untilMillis) return void result.failed++;
        result.latenciesMillis.push(tookMillis);
        if (tookMillis <= this.#pattern.objectiveMillis) result.inTime++;
        else result.late++;
        return;
      case "failed":
        result.failed++;
        return;
      case "refused": {
        const leftMillis = call.untilMillis - nowMillis;
        const pauseMillis = call.abusive
          ? 0
          : Math.min(end.retryAfterMillis, leftMillis / 3);
        if (call.returnsLeft === 0 || leftMillis <= 0) {
          result.refused++;
          if (call.returned) result.refusedAgain++;
          return;
        }
        const again = {
          ...call,
          returnsLeft: call.returnsLeft - 1,
          returned: true,
        };
        this.#clock.after(pauseMillis, () => this.#attempt(region, again));
      }
    }
  }

  #countRun(region: string, request: GatewayRequest): void {
    const [target] = request.triedTargets;
    if (target === undefined) return;
    const index = Math.floor(this.#clock.nowMillis / windowMillis);
    const window = this.#windows.get(region)?.[index];
    if (window === undefined) return;
    window.all++;
    if (this.#targets.get(target)?.region !== region) window.away++;
  }
}

interface Call {
  object: string;
  startMillis: number;
  untilMillis: number;
  returnsLeft: number;
  abusive: boolean;
  returned: boolean;
}
