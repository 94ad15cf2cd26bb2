/**
 * Duties that one instance at a time performs under a fenced lease: advancing
 * moves by a step, and sweeping old rows. Any instance can take over.
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

const LEASE_MILLIS = 6000;
const TICK_INTERVAL_MILLIS = LEASE_MILLIS / 3;
/**
 * Number of instances that try to hold a duty's lease; the others don't access
 * the store.
 */
const CANDIDATES_PER_DUTY = 2;
/** A step stays in force for at least this long. */
const MIN_STEP_MILLIS = 5000;
/**
 * The receiving pool counts as warm up to this multiple of the sending pool's
 * latency.
 */
const MAX_WARM_LATENCY_RATIO = 2;
const SWEEP_PAGE_ROWS = 100;
const CLAIM_ROW_RETENTION_MILLIS = 24 * 3_600_000;
/**
 * Outcomes must outlive the closing rows, because a closing row proves that a
 * ticket without an outcome never ran.
 */
const OUTCOME_RETENTION_MILLIS = 4 * CLOSING_VALIDITY_MILLIS;

/** Names of the duties. */
export const Duty = { moves: "moves", sweep: "sweep" } as const;

/** One of the values of {@link Duty}. */
export type Duty = typeof Duty[keyof typeof Duty];

/** Performs duties while this instance holds their leases. */
export class DutyTask {
  readonly #options: DutyTaskOptions;
  readonly #leases: Record<Duty, DutyLease>;
  readonly #sweepCursors = new Map<string, string>();
  /** The move and step seen last, and when this instance first saw that step. */
  #stepSeen = { key: "", atMillis: 0 };
  #timer: NodeJS.Timeout | undefined;

  constructor(options: DutyTaskOptions) {
    this.#options = options;
    this.#leases = {
      moves: this.#createLease(Duty.moves),
      sweep: this.#createLease(Duty.sweep),
    };
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MILLIS);
  }

  /** Stops without releasing the leases, as a crash would. */
  halt(): void {
    clearInterval(this.#timer);
  }

  /** Stops and releases the leases. */
  async stop(): Promise<void> {
    this.halt();
    await Promise.all(
      Object.values(this.#leases).map((lease) => lease.release()),
    );
  }

  /** Duties whose lease this instance holds now. */
  held(): Duty[] {
    return Object.values(Duty).filter((duty) =>
      this.#leases[duty].current().kind === "held"
    );
  }

  #createLease(duty: Duty): DutyLease {
    const { context, platform, incarnation } = this.#options;
    return new DutyLease({
      duty,
      holder: context.settings.instance.id,
      incarnation,
      leaseMillis: LEASE_MILLIS,
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
      CANDIDATES_PER_DUTY,
    );
    return ranked.some((i) => i.id === table.self.id);
  }

  #perform(duty: Duty): Promise<void> {
    switch (duty) {
      case Duty.moves:
        return this.#advanceMoves();
      case Duty.sweep:
        return this.#sweep();
    }
  }

  /** The lease as a precondition of a write; undefined if it is not held. */
  #leaseCheck(duty: Duty): RowCheck | undefined {
    const status = this.#leases[duty].current();
    return status.kind === "held" ? status.check : undefined;
  }

  /**
   * Advances the first running move that has steps left, if its step is due and
   * the receiving pool is warm.
   */
  async #advanceMoves(): Promise<void> {
    const { config, context } = this.#options;
    if (config.isCutOff()) return;
    const move = config.body?.fleet.moves.find((m) =>
      m.state === MoveState.running && m.step + 1 < m.steps.length
    );
    if (move === undefined || !this.#isStepDue(move) || !this.#isWarm(move)) {
      return;
    }
    const check = this.#leaseCheck(Duty.moves);
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

  #isStepDue(move: Move): boolean {
    const now = this.#options.context.clock.nowMillis();
    const key = `${move.id}/${move.step}`;
    if (this.#stepSeen.key !== key) this.#stepSeen = { key, atMillis: now };
    return now - this.#stepSeen.atMillis >= MIN_STEP_MILLIS;
  }

  /**
   * True if the receiving pool is reachable, is not known to be full, and its
   * latency shows that its targets' caches are warm. The latency is not compared
   * if the sending pool's is unknown.
   */
  #isWarm(move: Move): boolean {
    const service = this.#options.config.body?.fleet.services.find((s) =>
      s.id === move.service
    );
    if (service === undefined) return false;
    const views = this.#options.directory.views(service);
    const from = views.find((v) => v.dataCentre === move.from);
    const to = views.find((v) => v.dataCentre === move.to);
    if (to === undefined || !to.reachable || to.freeSlots === 0) return false;
    const senderMillis = from?.typicalMillis ?? 0;
    return senderMillis === 0 ||
      to.typicalMillis <= senderMillis * MAX_WARM_LATENCY_RATIO;
  }

  async #sweep(): Promise<void> {
    await this.#sweepPrefix("claim/", CLAIM_ROW_RETENTION_MILLIS);
    await this.#sweepPrefix(OUTCOME_PREFIX, OUTCOME_RETENTION_MILLIS);
    await this.#sweepPrefix(CLOSING_PREFIX, CLOSING_VALIDITY_MILLIS);
  }

  /** Deletes the old rows of one page; the next call continues after it. */
  async #sweepPrefix(prefix: string, retentionMillis: number): Promise<void> {
    const { platform, context } = this.#options;
    const after = this.#sweepCursors.get(prefix) ?? "";
    const rows = await platform.table.scan(prefix, after, {
      limit: SWEEP_PAGE_ROWS,
    });
    this.#sweepCursors.set(
      prefix,
      rows.length < SWEEP_PAGE_ROWS ? "" : rows[rows.length - 1].key,
    );
    const oldest = context.clock.wallMillis() - retentionMillis;
    const old = rows.filter((row) => isOlder(row, oldest));
    const check = this.#leaseCheck(Duty.sweep);
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

/** Rows without a time are never older. */
function isOlder(row: Row, oldestMillis: number): boolean {
  const at = (row.value as { atMillis?: number } | undefined)?.atMillis;
  return at !== undefined && at < oldestMillis;
}
