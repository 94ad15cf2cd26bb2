/**
 * The task that owns one service's slot pool in this data centre: it turns
 * the pool's events into grants, runs attempts on targets, hedges and
 * retries them, and tells the pool how they ended.
 */
import { ResultCode } from "@bamboolane/errors/result_code";
import {
  SteeringError,
  toSteeringError,
} from "@bamboolane/errors/steering_error";
import {
  type FinishKind,
  type PoolEvent,
  type PoolStatus,
  SlotPool,
} from "@bamboolane/admit/slot_pool";
import { AttemptBudget } from "@bamboolane/route/attempt_budget";
import type { TargetStrategy } from "@bamboolane/route/choose_target";
import type { CrashTracker } from "@bamboolane/route/crash_tracker";
import type { LaneLearner } from "@bamboolane/route/lane_learner";
import {
  type FleetDefaults,
  Lane,
  type ServiceConfig,
} from "@bamboolane/types/fleet";
import { Outcome } from "@bamboolane/types/request";
import { type Answer, isReplayable, type Work } from "./answer.ts";
import {
  type AttemptHost,
  AttemptRunner,
  type Grant,
} from "./attempt_runner.ts";
import type { EntryContext } from "./context.ts";
import { type Attempt, raceHedged } from "./hedge_race.ts";
import { Invariant } from "./invariants.ts";
import { LatencyWindow } from "./latency_window.ts";
import { TargetClient } from "./target_client.ts";

interface Waiter {
  resolve: (grant: Grant) => void;
  reject: (error: SteeringError) => void;
}

/** What a pool needs from the configuration. */
export interface PoolConfig {
  service: ServiceConfig;
  dataCentre: string;
  capInFlight: number;
  queueLimit: number;
  maxEjectedShare: number;
  /** Ids of targets that the configuration drains. */
  drained: ReadonlySet<string>;
}

/** Options of {@link PoolTask}. */
export interface PoolTaskOptions {
  context: EntryContext;
  config: PoolConfig;
  /** Values in force for a member's requests. */
  defaultsFor: (member: string) => FleetDefaults;
  weightOf: (member: string) => number;
  crashes: CrashTracker;
  learner: LaneLearner;
  /** Called when a crash was recorded, so that peers hear of it. */
  onCrash: () => void;
  /** Called with the time that a request held a slot. */
  onSlotTime: (work: Work, slotMillis: number) => void;
  /** The three below choose baselines that benches compare with. */
  strategy?: TargetStrategy;
  hedging?: boolean;
  singleQueue?: boolean;
}

/** Attempts on different targets of one pool. */
const maxAttempts = 3;
const hedgeQuantile = 0.95;
const minHedgeDelayMillis = 5;
const advanceEveryMillis = 20;
const initialBudget = 3;

/** Runs work on the targets of one pool. */
export class PoolTask {
  readonly #options: PoolTaskOptions;
  readonly #pool: SlotPool;
  readonly #clients = new Map<string, TargetClient>();
  readonly #waiters = new Map<string, Waiter>();
  readonly #latencies = new LatencyWindow();
  readonly #hedgeBudget = new AttemptBudget({ initialTokens: initialBudget });
  readonly #retryBudget = new AttemptBudget({ initialTokens: initialBudget });
  readonly #configDrained = new Set<string>();
  readonly #signalDrained = new Set<string>();
  readonly #attempts: AttemptRunner;
  #config: PoolConfig;
  #timer: NodeJS.Timeout | undefined;
  #nextSlot = 0;
  #heldUntilMillis = 0;
  #foreignInFlight = 0;

  constructor(options: PoolTaskOptions) {
    this.#options = options;
    this.#config = options.config;
    this.#pool = new SlotPool({
      random: options.context.random,
      weightOf: options.weightOf,
      strategy: options.strategy,
      singleQueue: options.singleQueue,
    });
    this.#attempts = new AttemptRunner(this.#attemptHost());
    this.configure(options.config);
  }

  /** Applies a new configuration. */
  configure(config: PoolConfig): void {
    this.#config = config;
    const targets = config.service.targets.filter((t) =>
      t.dataCentre === config.dataCentre
    );
    this.#configurePool();
    this.#configDrained.clear();
    for (const target of targets) {
      const client = this.#clients.get(target.id);
      if (client?.address !== target.address) {
        client?.close();
        this.#clients.set(target.id, new TargetClient(target.address, target));
      }
      if (config.drained.has(target.id)) this.#configDrained.add(target.id);
      this.#applyDrain(target.id);
    }
    this.#advance();
  }

  /** Admits nothing until `untilMillis`: the owner before may not know yet. */
  hold(untilMillis: number): void {
    this.#heldUntilMillis = Math.max(this.#heldUntilMillis, untilMillis);
    this.#pool.setPaused(true);
  }

  /** Requests that an owner before still runs; they count against the cap. */
  setForeignInFlight(count: number): void {
    if (count === this.#foreignInFlight) return;
    this.#foreignInFlight = count;
    this.#configurePool();
  }

  /** Refuses what waits, because another instance owns the pool now. */
  release(): void {
    this.#handle(this.#pool.refuseWaiting(ResultCode.notOwner));
  }

  get inFlight(): number {
    return this.#pool.inFlight;
  }

  status(): PoolStatus {
    return this.#pool.status(this.#now());
  }

  close(): void {
    clearInterval(this.#timer);
    for (const client of this.#clients.values()) client.close();
  }

  /** Asks each target for its health. */
  async probe(timeoutMillis: number): Promise<void> {
    await Promise.all([...this.#clients].map(async ([id, client]) => {
      const health = await client.probe(timeoutMillis);
      // A target that gives no health answer may still run requests; only a closed port proves it down.
      this.#pool.setDown(id, health === undefined && await client.isGone());
      if (health !== undefined) this.#setSignalDrained(id, health.draining);
    }));
    this.#advance();
  }

  /** Runs work on one of the targets; the answer holds its slot until read. */
  async run(work: Work): Promise<Answer> {
    const avoid: string[] = [];
    let doubt: SteeringError | undefined;
    const values = this.#options.defaultsFor(work.info.member);
    this.#hedgeBudget.earn(values.hedgeBudget);
    this.#retryBudget.earn(values.retryBudget);
    for (let attempt = 1;; attempt++) {
      const grant = await this.#acquire(work, { values, avoid }).catch(
        (error) => {
          throw doubt ?? error;
        },
      );
      try {
        return await this.#runHedged(work, { grant, values });
      } catch (error) {
        const failure = toSteeringError(error, ResultCode.internal);
        avoid.push(grant.target);
        if (failure.outcome !== Outcome.notRun) doubt = failure;
        if (!this.#mayRetry(work, failure, attempt)) throw doubt ?? failure;
        this.#options.context.metrics.count("bamboolane_retries", 1, {
          service: work.info.service,
        });
        this.#log("retry", work, {
          target: grant.target,
          result: failure.info.name,
          attempt,
        });
      }
    }
  }

  #mayRetry(work: Work, failure: SteeringError, attempt: number): boolean {
    if (
      attempt >= maxAttempts || work.signal.aborted || !isReplayable(work.body)
    ) return false;
    if (this.#now() >= work.deadlineMillis) return false;
    switch (failure.info) {
      case ResultCode.connectFailed:
      case ResultCode.targetRefused:
        return true;
      case ResultCode.targetLost:
      case ResultCode.answerCut: {
        if (!work.info.idempotent) return false;
        if (
          this.#options.crashes.isHeldBack(work.info.fingerprint, this.#now())
        ) {
          return false;
        }
        return this.#retryBudget.spend();
      }
      default:
        return false;
    }
  }

  #acquire(
    work: Work,
    options: { values: FleetDefaults; avoid: readonly string[] },
  ): Promise<Grant> {
    const { values, avoid } = options;
    const slotId = `${work.info.id}/${++this.#nextSlot}`;
    const now = this.#now();
    const wait = work.info.lane === Lane.interactive
      ? values.queueWaitMillis
      : values.bulkQueueWaitMillis;
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        if (!this.#pool.withdraw(slotId)) return;
        this.#waiters.delete(slotId);
        reject(new SteeringError(ResultCode.callerCancelledBeforeRun));
      };
      if (work.signal.aborted) {
        return reject(new SteeringError(ResultCode.callerCancelledBeforeRun));
      }
      work.signal.addEventListener("abort", onAbort, { once: true });
      this.#waiters.set(slotId, {
        resolve: (grant) => {
          work.signal.removeEventListener("abort", onAbort);
          resolve(grant);
        },
        reject: (error) => {
          work.signal.removeEventListener("abort", onAbort);
          reject(error);
        },
      });
      const events = this.#pool.offer({
        id: slotId,
        member: work.info.member,
        lane: work.info.lane,
        waitUntilMillis: Math.min(now + wait, work.deadlineMillis),
        bulkShare: values.bulkShare,
        bulkAfterMillis: values.bulkAfterMillis,
        avoid,
        suspect: this.#options.crashes.isSuspect(work.info.fingerprint),
      }, now);
      this.#handle(events);
    });
  }

  async #runHedged(
    work: Work,
    options: { grant: Grant; values: FleetDefaults },
  ): Promise<Answer> {
    const { grant, values } = options;
    const first = this.#attempts.start(work, grant, values);
    const delay = this.#hedgeDelay(work);
    if (delay === undefined) return await first.answer;
    return await raceHedged(first, {
      delayMillis: delay,
      startSecond: () => this.#tryHedge(work, { ...options, delay }),
    });
  }

  #hedgeDelay(work: Work): number | undefined {
    const { info } = work;
    if (this.#options.hedging === false) return undefined;
    if (!info.idempotent || info.lane !== Lane.interactive) return undefined;
    if (work.body.kind !== "whole") return undefined;
    if (this.#options.crashes.isSuspect(info.fingerprint)) return undefined;
    const delay = this.#latencies.quantile(hedgeQuantile);
    return delay === undefined
      ? undefined
      : Math.max(minHedgeDelayMillis, delay);
  }

  #tryHedge(
    work: Work,
    options: { grant: Grant; values: FleetDefaults; delay: number },
  ): Attempt | undefined {
    const { grant, values } = options;
    if (work.signal.aborted || !this.#hedgeBudget.spend()) return undefined;
    const slotId = `${work.info.id}/${++this.#nextSlot}`;
    const now = this.#now();
    const event = this.#pool.offerHedge({
      id: slotId,
      member: work.info.member,
      lane: work.info.lane,
      waitUntilMillis: now,
      bulkShare: values.bulkShare,
      bulkAfterMillis: values.bulkAfterMillis,
      avoid: [grant.target],
    }, now);
    if (event.kind !== "admitted") return undefined;
    this.#options.context.metrics.count("bamboolane_hedges", 1, {
      service: work.info.service,
    });
    this.#log("hedge", work, {
      target: event.target,
      first: grant.target,
      afterMillis: Math.round(options.delay),
    });
    const second = { slotId, target: event.target, startedAtMillis: now };
    return this.#attempts.start(work, second, values);
  }

  #attemptHost(): AttemptHost {
    const { context, crashes, onCrash } = this.#options;
    return {
      context,
      crashes,
      onCrash,
      client: (target) => this.#clients.get(target),
      isLeaving: (target) =>
        this.#configDrained.has(target) || this.#signalDrained.has(target),
      dataCentre: () => this.#config.dataCentre,
      onLeaving: (target) => this.#setSignalDrained(target, true),
      onDown: (target) => this.#pool.setDown(target, true),
      onEnd: (work, grant, how) => this.#finish(work, grant, how),
    };
  }

  #finish(work: Work, grant: Grant, how: FinishKind): void {
    const now = this.#now();
    const durationMillis = now - grant.startedAtMillis;
    const { info } = work;
    this.#options.onSlotTime(work, durationMillis);
    if (how === "success") {
      const { bulkAfterMillis } = this.#options.defaultsFor(info.member);
      this.#options.learner.observe(info.routeKey, durationMillis, {
        bulkAfterMillis,
      });
      if (info.lane === Lane.interactive) {
        this.#latencies.observe(durationMillis);
      }
      if (this.#options.crashes.isSuspect(info.fingerprint)) {
        this.#options.crashes.clear(info.fingerprint);
      }
    }
    this.#handle(
      this.#pool.finish(grant.slotId, how, { durationMillis, nowMillis: now }),
    );
  }

  #configurePool(): void {
    const { service, dataCentre, capInFlight, queueLimit, maxEjectedShare } =
      this.#config;
    const targets = service.targets.filter((t) => t.dataCentre === dataCentre);
    this.#pool.configure(targets, {
      capInFlight: Math.max(0, capInFlight - this.#foreignInFlight),
      queueLimit,
      maxEjectedShare,
    });
  }

  #setSignalDrained(target: string, draining: boolean): void {
    if (this.#signalDrained.has(target) === draining) return;
    if (draining) this.#signalDrained.add(target);
    else this.#signalDrained.delete(target);
    this.#options.context.log.info("target_drain_signal", {
      service: this.#config.service.id,
      target,
      draining,
    });
    this.#applyDrain(target);
  }

  #applyDrain(target: string): void {
    const draining = this.#configDrained.has(target) ||
      this.#signalDrained.has(target);
    this.#pool.setDraining(target, draining);
  }

  #advance(): void {
    const now = this.#now();
    this.#pool.setPaused(now < this.#heldUntilMillis);
    this.#handle(this.#pool.advance(now));
  }

  #handle(events: PoolEvent[]): void {
    for (const event of events) this.#handleOne(event);
    this.#tendTimer();
  }

  #handleOne(event: PoolEvent): void {
    const waiter = this.#waiters.get(event.id);
    switch (event.kind) {
      case "queued":
        return;
      case "refused":
        this.#waiters.delete(event.id);
        waiter?.reject(new SteeringError(event.code));
        return;
      case "admitted":
        this.#waiters.delete(event.id);
        this.#checkCap();
        this.#options.context.metrics.record(
          "bamboolane_queue_wait_millis",
          event.waitedMillis,
          {
            service: this.#config.service.id,
          },
        );
        this.#options.context.log.info("place", {
          request: event.id,
          service: this.#config.service.id,
          target: event.target,
          why: event.reason,
          over: this.#clients.size,
          waitedMillis: Math.round(event.waitedMillis),
        });
        waiter?.resolve({
          slotId: event.id,
          target: event.target,
          startedAtMillis: this.#now(),
        });
    }
  }

  #checkCap(): void {
    this.#options.context.invariants.check(
      Invariant.regionCap,
      this.#pool.inFlight <= this.#config.capInFlight,
      () =>
        `service=${this.#config.service.id} inFlight=${this.#pool.inFlight}`,
    );
  }

  /** Time must be told to the pool only while something waits. */
  #tendTimer(): void {
    const waits = this.#waiters.size > 0;
    if (waits && this.#timer === undefined) {
      this.#timer = setInterval(() => this.#advance(), advanceEveryMillis);
    } else if (!waits && this.#timer !== undefined) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }

  #log(
    event: string,
    work: Work,
    fields: Record<string, string | number | boolean>,
  ): void {
    this.#options.context.log.info(event, {
      request: work.info.id,
      service: work.info.service,
      ...fields,
    });
  }

  #now(): number {
    return this.#options.context.clock.nowMillis();
  }
}
