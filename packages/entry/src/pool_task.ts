/**
 * The task that owns one service's slot pool in this data centre: it grants
 * slots to the requests that the pool admits, runs attempts on targets, hedges
 * and retries them, and reports to the pool how they ended.
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
  type SlotGrant,
} from "./attempt_runner.ts";
import type { EntryContext } from "./context.ts";
import { type Attempt, raceHedged } from "./hedge_race.ts";
import { Invariant } from "./invariants.ts";
import { LatencyWindow } from "./latency_window.ts";
import { TargetClient } from "./target_client.ts";

interface Waiter {
  resolve: (grant: SlotGrant) => void;
  reject: (error: SteeringError) => void;
}

/** The part of the configuration that a pool uses. */
export interface PoolConfig {
  service: ServiceConfig;
  dataCentre: string;
  /**
   * Maximum number of requests that run at once, including those that the
   * previous owner still runs.
   */
  capInFlight: number;
  /** Maximum number of requests that wait in each lane. */
  queueLimit: number;
  /** Maximum share of the targets that may be ejected at once. */
  maxEjectedShare: number;
  /**
   * Ids of targets drained by the configuration or the platform's instance
   * list.
   */
  drained: ReadonlySet<string>;
}

/** Options of {@link PoolTask}. */
export interface PoolTaskOptions {
  context: EntryContext;
  config: PoolConfig;
  /** The values in force for a member's requests. */
  defaultsFor: (member: string) => FleetDefaults;
  weightOf: (member: string) => number;
  crashes: CrashTracker;
  learner: LaneLearner;
  /** Called after a crash is recorded, to report it to peers. */
  onCrash: () => void;
  /** Called with the time that an attempt occupied a slot. */
  onSlotTime: (work: Work, slotMillis: number) => void;
  /** The following three options select baselines for the benchmarks. */
  strategy?: TargetStrategy;
  hedging?: boolean;
  singleQueue?: boolean;
}

/**
 * Attempts per request within one pool, each on a different target; hedges are
 * not counted.
 */
const MAX_ATTEMPTS = 3;
const HEDGE_DELAY_QUANTILE = 0.95;
const MIN_HEDGE_DELAY_MILLIS = 5;
const QUEUE_CHECK_INTERVAL_MILLIS = 20;
const INITIAL_ATTEMPT_BUDGET = 3;

/** Runs requests on the targets of one pool. */
export class PoolTask {
  readonly #options: PoolTaskOptions;
  readonly #pool: SlotPool;
  readonly #clients = new Map<string, TargetClient>();
  readonly #waiters = new Map<string, Waiter>();
  readonly #latencies = new LatencyWindow();
  readonly #hedgeBudget = new AttemptBudget({
    initialTokens: INITIAL_ATTEMPT_BUDGET,
  });
  readonly #retryBudget = new AttemptBudget({
    initialTokens: INITIAL_ATTEMPT_BUDGET,
  });
  /** Targets drained by the configuration or the platform's instance list. */
  readonly #configDrained = new Set<string>();
  /** Targets that signal that they are draining. */
  readonly #signalDrained = new Set<string>();
  readonly #attemptRunner: AttemptRunner;
  #config: PoolConfig;
  #timer: NodeJS.Timeout | undefined;
  #nextSlot = 0;
  #pausedUntilMillis = 0;
  #previousOwnerInFlight = 0;

  constructor(options: PoolTaskOptions) {
    this.#options = options;
    this.#config = options.config;
    this.#pool = new SlotPool({
      random: options.context.random,
      weightOf: options.weightOf,
      strategy: options.strategy,
      singleQueue: options.singleQueue,
    });
    this.#attemptRunner = new AttemptRunner(this.#attemptHost());
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

  /**
   * Admits nothing until `untilMillis`, because the previous owner may not know
   * about the change yet and still admit requests.
   */
  pauseUntil(untilMillis: number): void {
    this.#pausedUntilMillis = Math.max(this.#pausedUntilMillis, untilMillis);
    this.#pool.setPaused(true);
  }

  /**
   * Sets how many requests the previous owner still runs; they count against
   * the cap.
   */
  setPreviousOwnerInFlight(count: number): void {
    if (count === this.#previousOwnerInFlight) return;
    this.#previousOwnerInFlight = count;
    this.#configurePool();
  }

  /**
   * Refuses the queued requests, because another instance owns the pool now.
   */
  refuseQueued(): void {
    this.#handleEvents(this.#pool.refuseWaiting(ResultCode.notOwner));
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

  /** Runs one health check of each target. */
  async probe(timeoutMillis: number): Promise<void> {
    await Promise.all([...this.#clients].map(async ([id, client]) => {
      const health = await client.probe(timeoutMillis);
      // A target that doesn't answer the health check may still run requests;
      // only a closed port proves it down.
      this.#pool.setDown(
        id,
        health === undefined && await client.isPortClosed(),
      );
      if (health !== undefined) this.#setSignalDrained(id, health.draining);
    }));
    this.#advance();
  }

  /**
   * Runs a request on one of the targets; the answer occupies its slot until
   * its body is read or cancelled. Rejects with a {@link SteeringError}; a
   * failure with an unknown outcome takes precedence over later refusals.
   */
  async run(work: Work): Promise<Answer> {
    const avoid: string[] = [];
    // The last failure after which the request may have run.
    let uncertain: SteeringError | undefined;
    const values = this.#options.defaultsFor(work.info.member);
    this.#hedgeBudget.earn(values.hedgeBudget);
    this.#retryBudget.earn(values.retryBudget);
    for (let attempt = 1;; attempt++) {
      const grant = await this.#acquire(work, { values, avoid }).catch(
        (error) => {
          throw uncertain ?? error;
        },
      );
      try {
        return await this.#runHedged(work, { grant, values });
      } catch (error) {
        const failure = toSteeringError(error, ResultCode.internal);
        avoid.push(grant.target);
        if (failure.outcome !== Outcome.notRun) uncertain = failure;
        if (!this.#mayRetry(work, failure, attempt)) throw uncertain ?? failure;
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
      attempt >= MAX_ATTEMPTS || work.signal.aborted || !isReplayable(work.body)
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
  ): Promise<SlotGrant> {
    const { values, avoid } = options;
    const slotId = `${work.info.id}/${++this.#nextSlot}`;
    const now = this.#now();
    const maxWaitMillis = work.info.lane === Lane.interactive
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
        waitUntilMillis: Math.min(now + maxWaitMillis, work.deadlineMillis),
        bulkShare: values.bulkShare,
        bulkAfterMillis: values.bulkAfterMillis,
        avoid,
        suspect: this.#options.crashes.isSuspect(work.info.fingerprint),
      }, now);
      this.#handleEvents(events);
    });
  }

  async #runHedged(
    work: Work,
    options: { grant: SlotGrant; values: FleetDefaults },
  ): Promise<Answer> {
    const { grant, values } = options;
    const first = this.#attemptRunner.start(work, grant, values);
    const hedgeDelayMillis = this.#hedgeDelayMillis(work);
    if (hedgeDelayMillis === undefined) return await first.answer;
    return await raceHedged(first, {
      delayMillis: hedgeDelayMillis,
      startHedge: () => this.#tryHedge(work, { ...options, hedgeDelayMillis }),
    });
  }

  /**
   * Delay after which the request is hedged; undefined if it must not be hedged,
   * or while too few latencies are known.
   */
  #hedgeDelayMillis(work: Work): number | undefined {
    const { info } = work;
    if (this.#options.hedging === false) return undefined;
    if (!info.idempotent || info.lane !== Lane.interactive) return undefined;
    if (work.body.kind !== "whole") return undefined;
    if (this.#options.crashes.isSuspect(info.fingerprint)) return undefined;
    const hedgeDelayMillis = this.#latencies.quantile(HEDGE_DELAY_QUANTILE);
    return hedgeDelayMillis === undefined
      ? undefined
      : Math.max(MIN_HEDGE_DELAY_MILLIS, hedgeDelayMillis);
  }

  #tryHedge(
    work: Work,
    options: {
      grant: SlotGrant;
      values: FleetDefaults;
      hedgeDelayMillis: number;
    },
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
      afterMillis: Math.round(options.hedgeDelayMillis),
    });
    const hedgeGrant = { slotId, target: event.target, startedAtMillis: now };
    return this.#attemptRunner.start(work, hedgeGrant, values);
  }

  #attemptHost(): AttemptHost {
    const { context, crashes, onCrash } = this.#options;
    return {
      context,
      crashes,
      onCrash,
      client: (target) => this.#clients.get(target),
      isDraining: (target) =>
        this.#configDrained.has(target) || this.#signalDrained.has(target),
      dataCentre: () => this.#config.dataCentre,
      onDraining: (target) => this.#setSignalDrained(target, true),
      onDown: (target) => this.#pool.setDown(target, true),
      onAttemptEnd: (work, grant, finishKind) =>
        this.#finishAttempt(work, grant, finishKind),
    };
  }

  #finishAttempt(work: Work, grant: SlotGrant, finishKind: FinishKind): void {
    const now = this.#now();
    const durationMillis = now - grant.startedAtMillis;
    const { info } = work;
    this.#options.onSlotTime(work, durationMillis);
    if (finishKind === "success") {
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
    this.#handleEvents(
      this.#pool.finish(grant.slotId, finishKind, {
        durationMillis,
        nowMillis: now,
      }),
    );
  }

  #configurePool(): void {
    const { service, dataCentre, capInFlight, queueLimit, maxEjectedShare } =
      this.#config;
    const targets = service.targets.filter((t) => t.dataCentre === dataCentre);
    this.#pool.configure(targets, {
      capInFlight: Math.max(0, capInFlight - this.#previousOwnerInFlight),
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

  /**
   * Ends a pause that is over, refuses requests that waited too long, and admits
   * waiting ones.
   */
  #advance(): void {
    const now = this.#now();
    this.#pool.setPaused(now < this.#pausedUntilMillis);
    this.#handleEvents(this.#pool.advance(now));
  }

  #handleEvents(events: PoolEvent[]): void {
    for (const event of events) this.#handleEvent(event);
    this.#updateTimer();
  }

  #handleEvent(event: PoolEvent): void {
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

  /**
   * Runs the timer only while requests are queued; an empty queue needs no
   * timeouts.
   */
  #updateTimer(): void {
    const hasWaiters = this.#waiters.size > 0;
    if (hasWaiters && this.#timer === undefined) {
      this.#timer = setInterval(
        () => this.#advance(),
        QUEUE_CHECK_INTERVAL_MILLIS,
      );
    } else if (!hasWaiters && this.#timer !== undefined) {
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
