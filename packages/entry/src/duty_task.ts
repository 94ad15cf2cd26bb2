/**
 * Duties that one instance at a time performs under a fenced lease: taking
 * moves a step further, and sweeping old rows. Any instance can take over.
 */
import { DutyLease } from "@bamboolane/agree/duty_lease";
import { editFleet } from "@bamboolane/agree/edit_fleet";
import {
  CLOSING_PREFIX,
  CLOSING_VALIDITY_MILLIS,
  OUTCOME_PREFIX,
} from "@bamboolane/idempotency/outcome_log";
import type { Platform, Row, RowCheck } from "@bamboolane/platform/ports";
import { rankByRendezvous } from "@bamboolane/route/rendezvous";
import { type Move, MoveState } from "@bamboolane/types/fleet";
import { InstanceState } from "@bamboolane/types/instance";
import type { ConfigTask } from "./config_task.ts";
import type { EntryContext } from "./context.ts";
import type { MembershipTask } from "./membership_task.ts";
import type { PoolDirectory } from "./pool_directory.ts";

/** Options of {@link DutyTask}. */
export interface DutyTaskOptions {
  context: EntryContext;
  platform: Platform;
  membership: MembershipTask;
  config: ConfigTask;
  directory: PoolDirectory;
  incarnation: number;
}

const leaseMillis = 6000;
const tendMillis = leaseMillis / 3;
/** Instances that tend a duty's lease; the others leave the store alone. */
const candidatesPerDuty = 2;
/** A step stays in force at least this long. */
const stepMillis = 5000;
/** The receiving pool is warm below this multiple of the sending pool's latency. */
const warmRatio = 2;
const sweepPageRows = 100;
const claimRetentionMillis = 24 * 3_600_000;
/** Outcomes must outlive the closing rows that vouch for their absence. */
const outcomeRetentionMillis = 4 * CLOSING_VALIDITY_MILLIS;

/** Names of the duties. */
export const Duty = { moves: "moves", sweep: "sweep" } as const;

/** One of the values of {@link Duty}. */
export type Duty = typeof Duty[keyof typeof Duty];

/** Performs duties while it holds their leases. */
export class DutyTask {
  readonly #options: DutyTaskOptions;
  readonly #leases: Record<Duty, DutyLease>;
  readonly #sweepAfter = new Map<string, string>();
  #stepSeen = { key: "", atMillis: 0 };
  #timer: NodeJS.Timeout | undefined;

  constructor(options: DutyTaskOptions) {
    this.#options = options;
    this.#leases = {
      moves: this.#lease(Duty.moves),
      sweep: this.#lease(Duty.sweep),
    };
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), tendMillis);
  }

  /** Ends without giving leases up, as a crash would. */
  halt(): void {
    clearInterval(this.#timer);
  }

  /** Ends and gives the leases up. */
  async stop(): Promise<void> {
    this.halt();
    await Promise.all(
      Object.values(this.#leases).map((lease) => lease.release()),
    );
  }

  /** Duties that this instance holds now. */
  held(): Duty[] {
    return Object.values(Duty).filter((duty) =>
      this.#leases[duty].current().kind === "held"
    );
  }

  #lease(duty: Duty): DutyLease {
    const { context, platform, incarnation } = this.#options;
    return new DutyLease({
      duty,
      holder: context.settings.instance.id,
      incarnation,
      leaseMillis,
      platform,
      clock: context.clock,
    });
  }

  async #tick(): Promise<void> {
    for (const duty of Object.values(Duty)) {
      try {
        if (!this.#isCandidate(duty)) continue;
        const status = await this.#leases[duty].renewOrAcquire();
        if (status.kind === "held") await this.#perform(duty);
      } catch (error) {
        this.#options.context.log.warn("duty_failed", {
          duty,
          reason: String(error),
        });
      }
    }
  }

  #isCandidate(duty: Duty): boolean {
    const { table } = this.#options.membership;
    const serving = table.live().filter((i) =>
      i.state === InstanceState.serving
    );
    const ranked = rankByRendezvous(`duty/${duty}`, serving).slice(
      0,
      candidatesPerDuty,
    );
    return ranked.some((i) => i.id === table.self.id);
  }

  #perform(duty: Duty): Promise<void> {
    switch (duty) {
      case Duty.moves:
        return this.#tendMoves();
      case Duty.sweep:
        return this.#sweep();
    }
  }

  /** The lease as a condition of a write; undefined once it has lapsed. */
  #check(duty: Duty): RowCheck | undefined {
    const status = this.#leases[duty].current();
    return status.kind === "held" ? status.check : undefined;
  }

  async #tendMoves(): Promise<void> {
    const { config, context } = this.#options;
    if (config.isCutOff()) return;
    const move = config.body?.fleet.moves.find((m) =>
      m.state === MoveState.running && m.step + 1 < m.steps.length
    );
    if (move === undefined || !this.#stepIsOld(move) || !this.#isWarm(move)) {
      return;
    }
    const check = this.#check(Duty.moves);
    if (check === undefined) return;
    const step = move.step + 1;
    await config.publish({
      changeId: `move-${move.id}-step-${step}-on-${config.revision}`,
      operator: `duty:${context.settings.instance.id}`,
      summary: `move ${move.id} to step ${step}`,
      baseRevision: config.revision,
      edit: (fleet) =>
        editFleet(fleet, { kind: "move", id: move.id, action: "advance" }),
      checks: [check],
    });
    context.log.info("move_step", {
      move: move.id,
      step,
      share: move.steps[step],
    });
  }

  #stepIsOld(move: Move): boolean {
    const now = this.#options.context.clock.nowMillis();
    const key = `${move.id}/${move.step}`;
    if (this.#stepSeen.key !== key) this.#stepSeen = { key, atMillis: now };
    return now - this.#stepSeen.atMillis >= stepMillis;
  }

  /** Waits for the receiving targets' caches. */
  #isWarm(move: Move): boolean {
    const service = this.#options.config.body?.fleet.services.find((s) =>
      s.id === move.service
    );
    if (service === undefined) return false;
    const views = this.#options.directory.views(service);
    const from = views.find((v) => v.dataCentre === move.from);
    const to = views.find((v) => v.dataCentre === move.to);
    if (to === undefined || !to.reachable || to.freeSlots === 0) return false;
    const usual = from?.typicalMillis ?? 0;
    return usual === 0 || to.typicalMillis <= usual * warmRatio;
  }

  async #sweep(): Promise<void> {
    await this.#sweepPrefix("claim/", claimRetentionMillis);
    await this.#sweepPrefix(OUTCOME_PREFIX, outcomeRetentionMillis);
    await this.#sweepPrefix(CLOSING_PREFIX, CLOSING_VALIDITY_MILLIS);
  }

  /** Deletes one page of old rows; the next call goes on behind it. */
  async #sweepPrefix(prefix: string, retentionMillis: number): Promise<void> {
    const { platform, context } = this.#options;
    const after = this.#sweepAfter.get(prefix) ?? "";
    const rows = await platform.table.scan(prefix, after, {
      limit: sweepPageRows,
    });
    this.#sweepAfter.set(
      prefix,
      rows.length < sweepPageRows ? "" : rows[rows.length - 1].key,
    );
    const oldest = context.clock.wallMillis() - retentionMillis;
    const old = rows.filter((row) => isOlder(row, oldest));
    const check = this.#check(Duty.sweep);
    if (old.length === 0 || check === undefined) return;
    await platform.table.transact(
      old.map(({ key, version }) => ({
        key,
        expectVersion: version,
        value: undefined,
      })),
      [check],
    );
    context.log.info("swept", { prefix, rows: old.length });
  }
}

function isOlder(row: Row, oldestMillis: number): boolean {
  const at = (row.value as { atMillis?: number } | undefined)?.atMillis;
  return at !== undefined && at < oldestMillis;
}
