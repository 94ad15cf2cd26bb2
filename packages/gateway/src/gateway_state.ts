/**
 * State of one entry, and the rules by which published rows change it. The
 * request path reads it; the table followers and the peer task write it.
 */
import {
  type AppliedEvacuation,
  EvacuationRegistry,
} from "@bamboolane/steering/evacuation_registry";
import { CrashTracker } from "@bamboolane/route/crash_tracker";
import type { EventLog } from "@bamboolane/logger/create_logger";
import { PeerShares } from "@bamboolane/steering/peer_shares";
import { RouteIndex } from "@bamboolane/steering/match_route";
import {
  DIGEST_TIMEOUT_MILLIS,
  MemberView,
} from "@bamboolane/steering/member_view";
import { RetryBudget } from "@bamboolane/steering/retry_budget";
import { eraOf, formatStateVersion } from "@bamboolane/steering/state_version";
import { WorkTimeEstimate } from "@bamboolane/steering/work_time_estimate";
import {
  allocateRate,
  limitTerms,
  rankSenders,
  warmupTerms,
} from "@bamboolane/steering/allocate_rate";
import type { RateShare } from "@bamboolane/steering/rate_limiter";
import type { LimitObservation } from "@bamboolane/steering/request_limit";
import { WeightedRoundRobin } from "@bamboolane/steering/weighted_round_robin";
import type {
  StateRow,
  SteeringConfig,
  SteeringRoute,
  SteeringService,
} from "@bamboolane/steering/steering_config";
import type { TargetState } from "@bamboolane/steering/target_state";
import {
  type TargetChange,
  TargetRegistry,
} from "@bamboolane/steering/target_registry";
import type { GatewaySettings } from "./gateway_settings.ts";
import { LatestRows } from "./latest_rows.ts";
import { StateTable } from "./state_store.ts";

/** Maximum number of requests remembered after crashes; each takes some hundred bytes. */
const MAX_CRASH_SUSPECTS = 1000;
/** A request that crashed targets is held back this long after the last crash. */
const SUSPECT_RETENTION_MILLIS = 60_000;
/** Warm-up time of targets whose service configures none. */
const DEFAULT_WARMUP_MILLIS = 3000;

/**
 * Services whose budgets and estimates are kept after a configuration dropped them: it
 * may bring them back, and a budget must not start anew then.
 */
const MAX_DROPPED_SERVICES = 200;

/** Targets that must be lost within the window for a cut to be suspected. */
const MIN_LOST_LINKS = 3;
const LOST_LINKS_WINDOW_MILLIS = 1000;

const NO_RATE_SHARE: RateShare = { perSecond: 0, burst: 1 };
const UNLIMITED_RATE_SHARE: RateShare = { perSecond: Infinity, burst: 1 };

/** Known entries in their order of precedence as senders to one target. */
interface SenderRanking {
  /** Entries of the target's region. */
  local: readonly string[];
  /** All entries: those of the target's region, then the others. */
  all: readonly string[];
}

/** State of one entry. */
export class GatewayState {
  readonly targets = new TargetRegistry();
  readonly members = new MemberView();
  readonly latestRows = new LatestRows();
  /** Remote shares of the region's other entries, by service. */
  readonly shares = new PeerShares();
  readonly crashes = new CrashTracker({
    maxFingerprints: MAX_CRASH_SUSPECTS,
    retentionMillis: SUSPECT_RETENTION_MILLIS,
  });
  readonly #settings: GatewaySettings;
  readonly #log: EventLog;
  readonly #evacuations = new EvacuationRegistry();
  /** Era of each table's newest snapshot. */
  readonly #eras = new Map<StateTable, number>();
  #config: SteeringConfig | undefined;
  #routes = new RouteIndex([]);
  #services = new Map<string, SteeringService>();
  #servicePickers = new Map<string, WeightedRoundRobin>();
  readonly #estimates = new Map<string, WorkTimeEstimate>();
  readonly #budgets = new Map<string, RetryBudget>();
  /**
   * Entries ranked as senders, as long as the target exists; valid for one generation of
   * the member list.
   */
  #senderRankings = new WeakMap<TargetState, SenderRanking>();
  #senderRankingsGeneration = 0;
  /** When the list of entries was first read. */
  #membersReadAtMillis = Infinity;
  #storeRecoveredAtMillis = -Infinity;
  /** Called when the store turns out to have been restored. */
  onRestore: () => void = () => {};
  /** Called after a change that may let queued requests be sent. */
  onChange: () => void = () => {};

  constructor(settings: GatewaySettings, log: EventLog) {
    this.#settings = settings;
    this.#log = log;
  }

  get config(): SteeringConfig | undefined {
    return this.#config;
  }

  /** True once a configuration and all targets are known: requests can be served. */
  get isComplete(): boolean {
    return this.#config !== undefined && this.targets.isComplete;
  }

  /** When the store was last seen to recover from an outage. */
  get storeRecoveredAtMillis(): number {
    return this.#storeRecoveredAtMillis;
  }

  /** Records that this or another entry saw the store recover from an outage. */
  recordStoreRecovery(atMillis: number): void {
    this.#storeRecoveredAtMillis = Math.max(
      this.#storeRecoveredAtMillis,
      atMillis,
    );
  }

  /** Applies rows in the order of their versions. */
  apply(rows: readonly StateRow[], nowMillis: number): void {
    const ordered = [...rows].sort((a, b) => a.version - b.version);
    for (const row of ordered) this.#applyRow(row, nowMillis);
    this.onChange();
  }

  /** Applies a snapshot of a table: rows that it doesn't list are removed. */
  applySnapshot(
    table: StateTable,
    rows: readonly StateRow[],
    options: { version: number; nowMillis: number },
  ): void {
    this.#recordEra(table, options);
    this.apply(rows, options.nowMillis);
    switch (table) {
      case StateTable.targets:
        this.#retainTargets(rows, options);
        return this.latestRows.recordSnapshot([0, options.version]);
      case StateTable.operator:
        for (const applied of this.#evacuations.retain(rows, options)) {
          this.#applyEvacuation(applied, options.nowMillis);
        }
        return this.latestRows.recordSnapshot([options.version, 0]);
      case StateTable.entries:
        return this.#retainMembers(rows, options);
    }
  }

  /**
   * Detects a restore of the store, and counts it as the end of an outage, also where
   * no call failed meanwhile: records may be missing because the copy was older than
   * they are.
   */
  #recordEra(
    table: StateTable,
    { version, nowMillis }: { version: number; nowMillis: number },
  ): void {
    const era = eraOf(version);
    const newest = this.#eras.size > 0 ? Math.max(...this.#eras.values()) : era;
    const known = this.#eras.get(table) ?? era;
    this.#eras.set(table, Math.max(era, known));
    if (era > newest) this.onRestore();
    if (era <= known) return;
    this.recordStoreRecovery(nowMillis);
    this.#log.warn("store_restored", {
      table,
      era,
      version: formatStateVersion(version),
    });
  }

  /** Number of targets that name a request limit. */
  get limitedTargetCount(): number {
    let count = 0;
    for (const { requestLimit } of this.targets.all()) {
      if (requestLimit.perSecond !== undefined) count++;
    }
    return count;
  }

  /** Number of targets that said that they leave. */
  get leavingTargetCount(): number {
    let count = 0;
    for (const { saysLeaving } of this.targets.all()) {
      if (saysLeaving) count++;
    }
    return count;
  }

  /** Number of targets that asked this entry for a pause that isn't over. */
  pausingTargetCount(nowMillis: number): number {
    let count = 0;
    for (const target of this.targets.all()) {
      if (target.isPauseRequested(nowMillis)) count++;
    }
    return count;
  }

  /** Number of targets that this entry can't connect to. */
  get unreachableTargetCount(): number {
    let count = 0;
    for (const target of this.targets.all()) {
      if (target.isUnreachable) count++;
    }
    return count;
  }

  /**
   * True if connections to several targets began to fail at about the same time: a
   * request rarely crashes so many, but a cut affects all.
   */
  lostLinks(nowMillis: number): boolean {
    let count = 0;
    for (const { unreachableSinceMillis } of this.targets.all()) {
      if (
        unreachableSinceMillis !== undefined &&
        nowMillis - unreachableSinceMillis < LOST_LINKS_WINDOW_MILLIS
      ) count++;
    }
    return count >= MIN_LOST_LINKS;
  }

  /** Services that have targets of which this entry reaches none. */
  unreachableServices(): string[] {
    return [...this.#services.keys()].filter((service) => {
      const targets = this.targets.forService(service)
        .filter((target) => !target.isLeaving());
      return targets.length > 0 &&
        targets.every(({ isUnreachable }) => isUnreachable);
    });
  }

  isEvacuated(dataCentre: string): boolean {
    return this.#evacuations.isActive(dataCentre);
  }

  matchRoute(host: string, path: string): SteeringRoute | undefined {
    return this.#routes.match(host, path);
  }

  /** Chooses the service of a route's next request, by weight. */
  pickService(route: SteeringRoute): string | undefined {
    if (route.parts.length === 1) return route.parts[0].service;
    return this.#servicePickers.get(route.name)?.next();
  }

  service(name: string): SteeringService | undefined {
    return this.#services.get(name);
  }

  warmupMillis(service: string): number {
    return this.#services.get(service)?.warmupMillis ?? DEFAULT_WARMUP_MILLIS;
  }

  /**
   * Work time estimate of a service. Until an answer was measured, it is derived from the
   * lowest objective of the routes in use; Infinity leaves it as it is.
   */
  estimate(service: string, objectiveMillis: number): WorkTimeEstimate {
    let estimate = this.#estimates.get(service);
    if (estimate === undefined || estimate.assumesMoreThan(objectiveMillis)) {
      estimate = new WorkTimeEstimate({ objectiveMillis });
      this.#estimates.set(service, estimate);
    }
    return estimate;
  }

  budget(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(() => this.#settings.retryBudget);
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  region(target: TargetState): string {
    return this.#settings.dataCentres[target.record.dataCentre] ?? "";
  }

  /**
   * This entry's part of the rate of a cold target: none for targets of other
   * regions, and none until the other entries are known.
   */
  warmupShare(target: TargetState): RateShare {
    const { region, id } = this.#settings.instance;
    if (this.region(target) !== region || !this.members.isComplete) {
      return NO_RATE_SHARE;
    }
    const { local } = this.#senderRanking(target);
    const service = this.#services.get(target.record.service);
    return allocateRate(id, {
      terms: warmupTerms(service?.warmupPerSecond ?? 0),
      ranked: local,
      candidates: local.length,
    });
  }

  /**
   * This entry's part of a target's request limit. The limit is divided among the
   * entries of the target's region, or among all if there are none. No part until
   * the other entries are known.
   */
  limitShare(target: TargetState, nowMillis: number): RateShare {
    const { perSecond } = target.requestLimit;
    if (perSecond === undefined) return UNLIMITED_RATE_SHARE;
    if (!this.members.isComplete) return NO_RATE_SHARE;
    const { local, all } = this.#senderRanking(target);
    // Entries that were not heard yet may be live.
    const knowsLiveEntries =
      nowMillis - this.#membersReadAtMillis > DIGEST_TIMEOUT_MILLIS;
    return allocateRate(this.#settings.instance.id, {
      terms: limitTerms(perSecond),
      ranked: all,
      candidates: local.length > 0 ? local.length : all.length,
      isLive: knowsLiveEntries
        ? (entry) => this.members.isServing(entry, nowMillis)
        : undefined,
    });
  }

  /** Applies what an answer stated about its target's limit, as seen here or by a peer. */
  recordLimit(
    targetId: string,
    observation: LimitObservation,
    options: { source: string },
  ): void {
    const target = this.targets.get(targetId);
    if (target === undefined) return;
    const change = target.requestLimit.observe(observation, performance.now());
    if (change === undefined) return;
    this.#log.info("target_limit", {
      target: targetId,
      ...change,
      source: options.source,
    });
  }

  /** Records that a target said that it leaves, here or to another entry. */
  recordLeaving(
    target: TargetState,
    options: { source: string; request?: string },
  ): void {
    if (!target.recordLeaving()) return;
    this.#log.info("target_leaving", {
      target: target.record.id,
      service: target.record.service,
      version: formatStateVersion(target.version),
      bornMillis: target.record.bornMillis,
      ...options,
    });
  }

  #senderRanking(target: TargetState): SenderRanking {
    if (this.#senderRankingsGeneration !== this.members.generation) {
      this.#senderRankingsGeneration = this.members.generation;
      this.#senderRankings = new WeakMap();
    }
    let ranking = this.#senderRankings.get(target);
    if (ranking === undefined) {
      ranking = this.#rankSenders(target);
      this.#senderRankings.set(target, ranking);
    }
    return ranking;
  }

  #rankSenders(target: TargetState): SenderRanking {
    const targetRegion = this.region(target);
    const entries = [
      this.#settings.instance,
      ...this.members.all().map(({ record }) => record),
    ];
    const local: string[] = [];
    const remote: string[] = [];
    for (const { id, region } of entries) {
      if (region === targetRegion) local.push(id);
      else remote.push(id);
    }
    const rankedLocal = rankSenders(target.record.id, local);
    return {
      local: rankedLocal,
      all: [...rankedLocal, ...rankSenders(target.record.id, remote)],
    };
  }

  /** Ends grace periods and holds that are over, and discards old removals. */
  removeExpired(nowMillis: number): void {
    const { removed, released } = this.targets.expire(nowMillis);
    for (const id of removed) {
      this.#log.info("target_gone", { target: id, cause: "lapsed" });
    }
    for (const { id, version, record } of released) {
      this.latestRows.set({ kind: "target", id, version, record }, nowMillis);
      this.#log.info("target_released", {
        target: id,
        version: formatStateVersion(version),
      });
    }
    for (const applied of this.#evacuations.expire(nowMillis)) {
      this.#applyEvacuation(applied, nowMillis);
    }
    this.latestRows.removeExpired(nowMillis);
  }

  #applyRow(row: StateRow, nowMillis: number): void {
    switch (row.kind) {
      case "config":
        return this.#applyConfig(row, nowMillis);
      case "evacuation":
        return this.#applyEvacuation({
          row,
          change: this.#evacuations.apply(row, nowMillis),
        }, nowMillis);
      case "target":
        return this.#applyTarget(row, nowMillis);
      case "entry":
        if (row.id === this.#settings.instance.id) return;
        return this.members.apply(row.id, row.record, row.version);
    }
  }

  #applyConfig(row: StateRow & { kind: "config" }, nowMillis: number): void {
    const { config } = row;
    const from = this.#config?.revision ?? 0;
    if (config.revision < from) return;
    // A revision that is in force may be written again, in a newer row.
    this.latestRows.set(row, nowMillis);
    if (config.revision === from) return;
    this.#config = config;
    this.#routes = new RouteIndex(config.routes);
    this.#services = new Map(config.services.map((s) => [s.name, s]));
    this.#forgetDroppedServices(this.#estimates);
    this.#forgetDroppedServices(this.#budgets);
    this.#servicePickers = new Map(
      config.routes.map((
        route,
      ) => [route.name, new WeightedRoundRobin(route.parts)]),
    );
    this.#log.info("config_applied", {
      revision: config.revision,
      from,
      version: formatStateVersion(row.version),
      routes: config.routes.length,
    });
  }

  /** Forgets the services that were dropped first, beyond a number of them. */
  #forgetDroppedServices(byService: Map<string, unknown>): void {
    const dropped = [...byService.keys()].filter((name) =>
      !this.#services.has(name)
    );
    const excess = dropped.slice(
      0,
      Math.max(0, dropped.length - MAX_DROPPED_SERVICES),
    );
    for (const name of excess) byService.delete(name);
  }

  #applyEvacuation(
    { row, change }: AppliedEvacuation,
    nowMillis: number,
  ): void {
    switch (change) {
      case "stale":
        return;
      case "held":
        return this.#log.info("evacuation_held", {
          dataCentre: row.dataCentre,
          active: row.active,
          version: formatStateVersion(row.version),
        });
      case "none":
        return this.latestRows.set(row, nowMillis);
      case "begun":
      case "ended":
        this.latestRows.set(row, nowMillis);
        this.#log.info(row.active ? "evacuated" : "evacuation_over", {
          dataCentre: row.dataCentre,
          version: formatStateVersion(row.version),
        });
        if (!row.active) this.#markTargetsCold(row.dataCentre, nowMillis);
    }
  }

  /**
   * Marks a data centre's targets as cold: without requests they lost their
   * caches during the evacuation.
   */
  #markTargetsCold(dataCentre: string, nowMillis: number): void {
    for (const target of this.targets.all()) {
      if (target.record.dataCentre !== dataCentre) continue;
      const warmup = this.warmupMillis(target.record.service);
      target.markCold(warmup, nowMillis);
    }
  }

  #applyTarget(row: StateRow & { kind: "target" }, nowMillis: number): void {
    const change = this.targets.apply(row, {
      nowMillis,
      storeRecoveredAtMillis: this.storeRecoveredAtMillis,
    });
    if (change === "stale") return;
    this.latestRows.set(this.#rowForPeers(row, change), nowMillis);
    if (change === "none" || change === "outdated") return;
    this.#log.info(`target_${change}`, {
      target: row.id,
      version: formatStateVersion(row.version),
      service: row.record?.service,
      dataCentre: row.record?.dataCentre,
      draining: row.record?.draining,
      warmupLeftMillis: row.record?.warmupLeftMillis,
    });
  }

  /** The row as other entries get it: what holds here, not what a restored store says. */
  #rowForPeers(
    row: StateRow & { kind: "target" },
    change: TargetChange,
  ): StateRow {
    switch (change) {
      case "outdated":
        return { ...row, record: this.targets.get(row.id)?.record };
      case "held":
        return { ...row, record: undefined };
      default:
        return row;
    }
  }

  #retainTargets(
    rows: readonly StateRow[],
    options: { version: number; nowMillis: number },
  ): void {
    const ids = new Set<string>();
    for (const row of rows) {
      if (row.kind === "target" && row.record) ids.add(row.id);
    }
    const missing = this.targets.retain(ids, {
      ...options,
      storeRecoveredAtMillis: this.storeRecoveredAtMillis,
    });
    for (const id of missing) {
      this.latestRows.set({
        kind: "target",
        version: options.version,
        id,
        record: undefined,
      }, options.nowMillis);
      this.#log.info("target_missing", {
        target: id,
        version: formatStateVersion(options.version),
      });
    }
  }

  #retainMembers(
    rows: readonly StateRow[],
    options: { nowMillis: number },
  ): void {
    const listed = new Set<string>();
    for (const row of rows) {
      if (row.kind !== "entry" || row.record === undefined) continue;
      listed.add(row.id);
    }
    this.members.retain(listed, options.nowMillis);
    if (!this.members.isComplete) this.#membersReadAtMillis = options.nowMillis;
    this.members.isComplete = true;
  }
}
