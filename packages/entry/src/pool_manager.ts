/**
 * Determines which slot pools this instance owns, hands pools over when the
 * membership changes, and publishes their loads.
 */
import { findOwner } from "@bamboolane/locate/rank_entries";
import type { CrashTracker } from "@bamboolane/route/crash_tracker";
import type { LaneLearner } from "@bamboolane/route/lane_learner";
import { DrainKind, type ServiceConfig } from "@bamboolane/types/fleet";
import type { PoolLoad } from "@bamboolane/types/instance";
import type { Work } from "./answer.ts";
import type { EntryContext } from "./context.ts";
import type { MembershipTask } from "./membership_task.ts";
import { PoolTask } from "./pool_task.ts";
import type { SteeringState } from "./steering_state.ts";

/** Options of {@link PoolManager}. */
export interface PoolManagerOptions {
  context: EntryContext;
  membership: MembershipTask;
  state: () => SteeringState | undefined;
  crashes: CrashTracker;
  learner: LaneLearner;
  /** Called after a crash is recorded, to report it to peers. */
  onCrash: () => void;
  /** Called with the time that an attempt occupied a slot. */
  onSlotTime: (work: Work, slotMillis: number) => void;
}

interface OwnedPool {
  task: PoolTask;
  /** The previous owner, while it may still run requests of the pool. */
  previousOwner: string | undefined;
}

/** Time for a live previous owner to learn about the change of ownership. */
const HANDOVER_MILLIS = 150;
const LOAD_PUBLISH_INTERVAL_MILLIS = 500;
/**
 * Published loads are rounded to these steps, so that small changes are not
 * published.
 */
const COUNT_ROUNDING_STEP = 4;
const LATENCY_ROUNDING_STEP_MILLIS = 10;

/** Manages this instance's pools. */
export class PoolManager {
  readonly #options: PoolManagerOptions;
  readonly #owned = new Map<string, OwnedPool>();
  /** Pools that were handed over, until their last request ends. */
  readonly #retiring = new Map<string, PoolTask>();
  /** Owner of each pool at the last reconciliation that found one. */
  readonly #lastOwner = new Map<string, string>();
  /** The loads published last, as JSON. */
  #publishedLoads = "";
  #loadTimer: NodeJS.Timeout | undefined;
  #probeTimer: NodeJS.Timeout | undefined;

  constructor(options: PoolManagerOptions) {
    this.#options = options;
  }

  start(): void {
    const { probeMillis } = this.#options.context.settings.timers;
    this.#loadTimer = setInterval(
      () => this.#publishLoads(),
      LOAD_PUBLISH_INTERVAL_MILLIS,
    );
    this.#probeTimer = setInterval(() => this.#probe(probeMillis), probeMillis);
  }

  stop(): void {
    clearInterval(this.#loadTimer);
    clearInterval(this.#probeTimer);
    for (const owned of this.#owned.values()) owned.task.close();
    for (const task of this.#retiring.values()) task.close();
  }

  /**
   * This instance's pool of a service; undefined if another instance owns it.
   */
  pool(service: string): PoolTask | undefined {
    return this.#owned.get(service)?.task;
  }

  /** Owned pools by service. */
  pools(): ReadonlyMap<string, PoolTask> {
    return new Map(
      [...this.#owned].map(([service, owned]) => [service, owned.task]),
    );
  }

  /**
   * Number of requests that occupy slots, in owned pools and in pools handed
   * over.
   */
  get inFlight(): number {
    let sum = 0;
    for (const owned of this.#owned.values()) sum += owned.task.inFlight;
    for (const task of this.#retiring.values()) sum += task.inFlight;
    return sum;
  }

  /**
   * Load of an owned pool, reported to forwarding entries; zeros if the pool is
   * not owned.
   */
  load(service: string): PoolLoad {
    const status = this.pool(service)?.status();
    return {
      service,
      freeSlots: status?.freeSlots ?? 0,
      queued: status?.queued ?? 0,
      typicalMillis: Math.round(status?.typicalMillis ?? 0),
      inFlight: status?.inFlight ?? 0,
    };
  }

  /**
   * Gains, loses and reconfigures pools after a change of membership or
   * configuration.
   */
  reconcile(): void {
    const state = this.#options.state();
    if (state === undefined) return;
    const { dataCentre } = this.#options.context.settings.instance;
    const local = new Map<string, ServiceConfig>();
    for (const service of state.fleet.services) {
      if (service.targets.some((t) => t.dataCentre === dataCentre)) {
        local.set(service.id, service);
      }
    }
    for (const service of local.values()) this.#reconcilePool(service, state);
    for (const id of this.#owned.keys()) if (!local.has(id)) this.#lose(id);
  }

  #reconcilePool(service: ServiceConfig, state: SteeringState): void {
    const { context, membership } = this.#options;
    const { id, dataCentre } = context.settings.instance;
    const owner = findOwner(service.id, dataCentre, membership.table.live());
    // If none is known, the instance that owned the pool before this one joined.
    const previousOwner = this.#lastOwner.get(service.id) ??
      findOwner(
        service.id,
        dataCentre,
        membership.table.live().filter((i) => i.id !== id),
      )?.id;
    if (owner !== undefined) this.#lastOwner.set(service.id, owner.id);
    if (owner?.id !== id) return this.#lose(service.id);
    const owned = this.#owned.get(service.id);
    if (owned) owned.task.configure(this.#poolConfig(service, state));
    else this.#gain(service, { state, previousOwner });
  }

  #gain(
    service: ServiceConfig,
    options: { state: SteeringState; previousOwner: string | undefined },
  ): void {
    const { context, crashes, learner, onCrash, onSlotTime, membership } =
      this.#options;
    const { previousOwner } = options;
    // A pool that still runs requests is reused, so that they stay counted.
    const regained = this.#retiring.get(service.id);
    this.#retiring.delete(service.id);
    regained?.configure(this.#poolConfig(service, options.state));
    const task = regained ?? new PoolTask({
      context,
      crashes,
      learner,
      onCrash,
      onSlotTime,
      config: this.#poolConfig(service, options.state),
      defaultsFor: (member) => this.#defaultsFor(member, service.id),
      weightOf: (member) => this.#options.state()?.weightOf(member) ?? 1,
    });
    const alive = previousOwner !== undefined &&
      previousOwner !== context.settings.instance.id &&
      membership.table.live().some((i) => i.id === previousOwner);
    if (alive) task.pauseUntil(context.clock.nowMillis() + HANDOVER_MILLIS);
    this.#owned.set(service.id, {
      task,
      previousOwner: alive ? previousOwner : undefined,
    });
    context.log.info("pool_gained", {
      service: service.id,
      before: previousOwner,
      held: alive,
    });
    task.probe(context.settings.timers.probeMillis);
  }

  #lose(service: string): void {
    const owned = this.#owned.get(service);
    if (owned === undefined) return;
    this.#owned.delete(service);
    owned.task.refuseQueued();
    this.#retiring.set(service, owned.task);
    this.#options.context.log.info("pool_lost", {
      service,
      inFlight: owned.task.inFlight,
    });
    this.#publishLoads();
  }

  #poolConfig(service: ServiceConfig, state: SteeringState) {
    // Exceptions for a single member don't change the limits of the pool.
    const { values } = state.defaultsFor("", service.id, {
      wallMillis: this.#wallMillis(),
    });
    return {
      service,
      dataCentre: this.#options.context.settings.instance.dataCentre,
      capInFlight: state.poolCap(service),
      queueLimit: values.queueLimit,
      maxEjectedShare: values.maxEjectedShare,
      drained: new Set([
        ...state.drained(DrainKind.target),
        ...this.#options.membership.listedAsLeaving(),
      ]),
    };
  }

  #defaultsFor(member: string, service: string) {
    const state = this.#options.state() as SteeringState;
    return state.defaultsFor(member, service, {
      wallMillis: this.#wallMillis(),
    })
      .values;
  }

  /**
   * Closes pools handed over whose last request has ended, and publishes the
   * loads if they changed.
   */
  #publishLoads(): void {
    for (const [service, task] of this.#retiring) {
      if (task.inFlight > 0) continue;
      task.close();
      this.#retiring.delete(service);
    }
    this.#updatePreviousOwnerInFlight();
    const loads = [...this.#owned.keys()].map((service) =>
      roundLoad(this.load(service))
    );
    for (const [service, task] of this.#retiring) {
      loads.push(retiringLoad(service, task.inFlight));
    }
    const encoded = JSON.stringify(loads);
    if (encoded === this.#publishedLoads) return;
    this.#publishedLoads = encoded;
    const { context, membership } = this.#options;
    membership.table.updateSelf({ pools: loads }, context.clock.nowMillis());
  }

  /**
   * Updates how many requests the previous owners still run, until they have
   * none or are dead.
   */
  #updatePreviousOwnerInFlight(): void {
    const { table } = this.#options.membership;
    for (const [service, owned] of this.#owned) {
      if (owned.previousOwner === undefined) continue;
      const record = table.live().find((i) => i.id === owned.previousOwner);
      const load = record?.pools.find((pool) => pool.service === service);
      owned.task.setPreviousOwnerInFlight(load?.inFlight ?? 0);
      if (load === undefined) owned.previousOwner = undefined;
    }
  }

  #probe(timeoutMillis: number): void {
    for (const owned of this.#owned.values()) owned.task.probe(timeoutMillis);
  }

  #wallMillis(): number {
    return this.#options.context.clock.wallMillis();
  }
}

function retiringLoad(service: string, inFlight: number): PoolLoad {
  return { service, freeSlots: 0, queued: 0, typicalMillis: 0, inFlight };
}

/** Rounds a load; more than three free slots are published as three. */
function roundLoad(load: PoolLoad): PoolLoad {
  return {
    ...load,
    freeSlots: Math.min(load.freeSlots, 3),
    queued: Math.ceil(load.queued / COUNT_ROUNDING_STEP) * COUNT_ROUNDING_STEP,
    typicalMillis:
      Math.round(load.typicalMillis / LATENCY_ROUNDING_STEP_MILLIS) *
      LATENCY_ROUNDING_STEP_MILLIS,
    inFlight: Math.ceil(load.inFlight / COUNT_ROUNDING_STEP) *
      COUNT_ROUNDING_STEP,
  };
}
