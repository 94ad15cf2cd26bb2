/**
 * Decides which slot pools this instance owns, hands pools over when the
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
  onCrash: () => void;
  onSlotTime: (work: Work, slotMillis: number) => void;
}

interface Owned {
  task: PoolTask;
  /** Owner before, while it may still run requests of the pool. */
  before: string | undefined;
}

/** A live owner before this one needs this long to hear of the change. */
const handoverMillis = 150;
const loadEveryMillis = 500;
/** Steps in which loads are published, so that small changes stay quiet. */
const queueStep = 4;
const latencyStepMillis = 10;

/** Owns this instance's pools. */
export class PoolManager {
  readonly #options: PoolManagerOptions;
  readonly #owned = new Map<string, Owned>();
  /** Pools handed over, until their last request ends. */
  readonly #retiring = new Map<string, PoolTask>();
  readonly #lastOwner = new Map<string, string>();
  #published = "";
  #loadTimer: NodeJS.Timeout | undefined;
  #probeTimer: NodeJS.Timeout | undefined;

  constructor(options: PoolManagerOptions) {
    this.#options = options;
  }

  start(): void {
    const { probeMillis } = this.#options.context.settings.timers;
    this.#loadTimer = setInterval(() => this.#publishLoads(), loadEveryMillis);
    this.#probeTimer = setInterval(() => this.#probe(probeMillis), probeMillis);
  }

  stop(): void {
    clearInterval(this.#loadTimer);
    clearInterval(this.#probeTimer);
    for (const owned of this.#owned.values()) owned.task.close();
    for (const task of this.#retiring.values()) task.close();
  }

  /** The own pool of a service; undefined where another instance owns it. */
  pool(service: string): PoolTask | undefined {
    return this.#owned.get(service)?.task;
  }

  /** Pools by service. */
  pools(): ReadonlyMap<string, PoolTask> {
    return new Map(
      [...this.#owned].map(([service, owned]) => [service, owned.task]),
    );
  }

  /** Requests that hold slots, over owned pools and pools handed over. */
  get inFlight(): number {
    let sum = 0;
    for (const owned of this.#owned.values()) sum += owned.task.inFlight;
    for (const task of this.#retiring.values()) sum += task.inFlight;
    return sum;
  }

  /** Load of an own pool, for senders. */
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

  /** Follows a change of membership or configuration. */
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
    for (const service of local.values()) this.#reconcileOne(service, state);
    for (const id of this.#owned.keys()) if (!local.has(id)) this.#lose(id);
  }

  #reconcileOne(service: ServiceConfig, state: SteeringState): void {
    const { context, membership } = this.#options;
    const { id, dataCentre } = context.settings.instance;
    const owner = findOwner(service.id, dataCentre, membership.table.live());
    const before = this.#lastOwner.get(service.id) ??
      findOwner(
        service.id,
        dataCentre,
        membership.table.live().filter((i) => i.id !== id),
      )?.id;
    if (owner !== undefined) this.#lastOwner.set(service.id, owner.id);
    if (owner?.id !== id) return this.#lose(service.id);
    const owned = this.#owned.get(service.id);
    if (owned) owned.task.configure(this.#config(service, state));
    else this.#gain(service, { state, before });
  }

  #gain(
    service: ServiceConfig,
    options: { state: SteeringState; before: string | undefined },
  ): void {
    const { context, crashes, learner, onCrash, onSlotTime, membership } =
      this.#options;
    const { before } = options;
    const returned = this.#retiring.get(service.id);
    this.#retiring.delete(service.id);
    returned?.configure(this.#config(service, options.state));
    const task = returned ?? new PoolTask({
      context,
      crashes,
      learner,
      onCrash,
      onSlotTime,
      config: this.#config(service, options.state),
      defaultsFor: (member) => this.#defaults(member, service.id),
      weightOf: (member) => this.#options.state()?.weightOf(member) ?? 1,
    });
    const alive = before !== undefined &&
      before !== context.settings.instance.id &&
      membership.table.live().some((i) => i.id === before);
    if (alive) task.hold(context.clock.nowMillis() + handoverMillis);
    this.#owned.set(service.id, { task, before: alive ? before : undefined });
    context.log.info("pool_gained", {
      service: service.id,
      before,
      held: alive,
    });
    task.probe(context.settings.timers.probeMillis);
  }

  #lose(service: string): void {
    const owned = this.#owned.get(service);
    if (owned === undefined) return;
    this.#owned.delete(service);
    owned.task.release();
    this.#retiring.set(service, owned.task);
    this.#options.context.log.info("pool_lost", {
      service,
      inFlight: owned.task.inFlight,
    });
    this.#publishLoads();
  }

  #config(service: ServiceConfig, state: SteeringState) {
    const { values } = state.defaultsFor("", service.id, {
      wallMillis: this.#wall(),
    });
    return {
      service,
      dataCentre: this.#options.context.settings.instance.dataCentre,
      capInFlight: state.poolCap(service),
      queueLimit: values.queueLimit,
      maxEjectedShare: values.maxEjectedShare,
      drained: new Set([
        ...state.drained(DrainKind.target),
        ...this.#options.membership.listedLeaving(),
      ]),
    };
  }

  #defaults(member: string, service: string) {
    const state = this.#options.state() as SteeringState;
    return state.defaultsFor(member, service, { wallMillis: this.#wall() })
      .values;
  }

  #publishLoads(): void {
    for (const [service, task] of this.#retiring) {
      if (task.inFlight > 0) continue;
      task.close();
      this.#retiring.delete(service);
    }
    this.#tendForeign();
    const loads = [...this.#owned.keys()].map((service) =>
      coarse(this.load(service))
    );
    for (const [service, task] of this.#retiring) {
      loads.push(handedOver(service, task.inFlight));
    }
    const text = JSON.stringify(loads);
    if (text === this.#published) return;
    this.#published = text;
    const { context, membership } = this.#options;
    membership.table.updateSelf({ pools: loads }, context.clock.nowMillis());
  }

  /** Counts what an owner before still runs, until it is done or gone. */
  #tendForeign(): void {
    const { table } = this.#options.membership;
    for (const [service, owned] of this.#owned) {
      if (owned.before === undefined) continue;
      const record = table.live().find((i) => i.id === owned.before);
      const load = record?.pools.find((pool) => pool.service === service);
      owned.task.setForeignInFlight(load?.inFlight ?? 0);
      if (load === undefined) owned.before = undefined;
    }
  }

  #probe(timeoutMillis: number): void {
    for (const owned of this.#owned.values()) owned.task.probe(timeoutMillis);
  }

  #wall(): number {
    return this.#options.context.clock.wallMillis();
  }
}

function handedOver(service: string, inFlight: number): PoolLoad {
  return { service, freeSlots: 0, queued: 0, typicalMillis: 0, inFlight };
}

function coarse(load: PoolLoad): PoolLoad {
  return {
    ...load,
    freeSlots: Math.min(load.freeSlots, 3),
    queued: Math.ceil(load.queued / queueStep) * queueStep,
    typicalMillis: Math.round(load.typicalMillis / latencyStepMillis) *
      latencyStepMillis,
    inFlight: Math.ceil(load.inFlight / queueStep) * queueStep,
  };
}
