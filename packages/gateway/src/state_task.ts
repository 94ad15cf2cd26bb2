/**
 * Keeps the state current. A few entries of each data centre follow the
 * store's tables; the others read from them what changed, as soon as a
 * heartbeat tells of it. What a data centre's followers don't get from the
 * store comes from other data centres in the same way.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import {
  type Candidate,
  isStoreFollower,
} from "@bamboolane/steering/elect_entries";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import { borrowState } from "./borrow_state.ts";
import { TableFollower } from "./follow_table.ts";
import type { GatewayState } from "./gateway_state.ts";
import type { RowDelta, RowVersions } from "./row_archive.ts";
import { type StateStore, StateTable } from "./state_store.ts";

/** Options of {@link StateTask}. */
export interface StateTaskOptions {
  store: StateStore;
  state: GatewayState;
  seeds: readonly string[];
  self: EntryRecord;
  /** The other entries of the data centre that are heard of. */
  liveMates: () => readonly Candidate[];
  log: EventLog;
  random: () => number;
}

/** How long another entry may know more than a follower does: a watch's pace and way. */
const aheadToleranceMillis = 600;
/** Least time between two reads of other entries' state; bounds them while many rows change. */
const borrowIntervalMillis = 150;
/** How often an entry without any state asks all others. */
const borrowAtStartMillis = 500;
/** An entry that lost the store counts as able to follow it again after this time. */
const lostMemoryMillis = 5000;
/** How often followers read the entries' table: heartbeats tell most of it sooner. */
const membersReadMillis = 15_000;
/** The other entries read it at every so many of these times, to forget those that left. */
const idleMembersReads = 20;
/** Least time between reads that are due to unknown entries: a new one registers within it. */
const unknownMembersReadMillis = 2000;
/** Pause between attempts to read the entries' table. */
const membersRetryMillis = 300;

/** Task that owns the followers. */
export class StateTask {
  readonly #options: StateTaskOptions;
  readonly #operator: TableFollower;
  readonly #targets: TableFollower;
  #aheadSinceMillis: number | undefined;
  #borrowedAtMillis = -Infinity;
  #borrowing = false;
  #lostAtMillis: number | undefined;
  #stopped = false;
  #borrower: NodeJS.Timeout | undefined;
  #memberReader: NodeJS.Timeout | undefined;
  #readingMembers = false;
  #membersReadAtMillis = -Infinity;
  /** A read that began earlier may lack what is asked for. */
  #membersWanted = false;

  constructor(options: StateTaskOptions) {
    this.#options = options;
    this.#operator = this.#follow(StateTable.operator);
    this.#targets = this.#follow(StateTable.targets);
  }

  start(): void {
    this.#operator.start();
    this.#targets.start();
    let turn = 0;
    this.#memberReader = setInterval(() => {
      turn++;
      if (!this.#isFollower() && turn % idleMembersReads !== 0) return;
      this.readMembers();
    }, membersReadMillis);
    this.#borrower = setInterval(
      () => this.#borrowAtStart(),
      borrowAtStartMillis,
    );
  }

  stop(): void {
    this.#stopped = true;
    clearInterval(this.#borrower);
    clearInterval(this.#memberReader);
    this.#operator.stop();
    this.#targets.stop();
  }

  /** True while the store answers here, or hasn't been tried lately. */
  reachesStore(): boolean {
    return this.#lostAtMillis === undefined ||
      performance.now() - this.#lostAtMillis > lostMemoryMillis;
  }

  /** Another entry told which rows it has: reads from it what this one lacks. */
  noteVersions(peer: EntryRecord, versions: RowVersions): void {
    const own = this.#options.state.archive.versions;
    if (versions[0] <= own[0] && versions[1] <= own[1]) return;
    if (!this.#options.state.isComplete) return;
    const nowMillis = performance.now();
    this.#aheadSinceMillis ??= nowMillis;
    const isMate = peer.dataCentre === this.#options.self.dataCentre;
    const followsWell = this.#lostAtMillis === undefined && this.#isFollower();
    const mayWait = !isMate || followsWell;
    const aheadMillis = nowMillis - this.#aheadSinceMillis;
    if (mayWait && aheadMillis < aheadToleranceMillis) return;
    this.#borrow(peer.stateAddress);
  }

  #isFollower(): boolean {
    const { self, liveMates } = this.#options;
    const candidate = { id: self.id, reachesStore: this.reachesStore() };
    return isStoreFollower(candidate, liveMates());
  }

  #follow(table: StateTable): TableFollower {
    const { store, state, log, random } = this.#options;
    return new TableFollower({
      store,
      table,
      log,
      random,
      isOnDuty: () => this.#isFollower(),
      sink: {
        onWhole: (rows, version) => {
          state.applySnapshot(table, rows, {
            version,
            nowMillis: performance.now(),
          });
          this.#aheadSinceMillis = undefined;
        },
        onChanges: (rows) => {
          state.apply(rows, performance.now());
          this.#aheadSinceMillis = undefined;
        },
        onReachable: (reachable) => {
          const nowMillis = performance.now();
          this.#lostAtMillis = reachable ? undefined : nowMillis;
          if (reachable) state.recordStoreRecovery(nowMillis);
        },
      },
    });
  }

  /**
   * A digest names entries that aren't known: a follower reads their table,
   * unless that was just done. The others don't need it, since callers are sent
   * to other data centres only where this one has too few entries, and then
   * all of these follow the store.
   */
  readMembersSoon(): void {
    const sinceMillis = performance.now() - this.#membersReadAtMillis;
    if (sinceMillis < unknownMembersReadMillis || !this.#isFollower()) return;
    this.readMembers();
  }

  /**
   * Reads the entries' table. An entry reads it after it registered: of two
   * that start together, at least one then sees the other.
   */
  async readMembers(): Promise<void> {
    const { store, state, log } = this.#options;
    this.#membersWanted = true;
    if (this.#readingMembers) return;
    this.#readingMembers = true;
    this.#membersReadAtMillis = performance.now();
    while (this.#membersWanted && !this.#stopped) {
      this.#membersWanted = false;
      try {
        const page = await store.read(StateTable.entries);
        state.applySnapshot(StateTable.entries, page.rows, {
          version: page.version,
          nowMillis: performance.now(),
        });
      } catch (error) {
        this.#membersWanted = true;
        log.info("members_unread", { error: (error as Error).message });
        await new Promise((resolve) => setTimeout(resolve, membersRetryMillis));
      }
    }
    this.#readingMembers = false;
  }

  /** Without any state, and the store away, every known entry may help. */
  #borrowAtStart(): void {
    const { state, seeds, self } = this.#options;
    if (state.isComplete || this.#lostAtMillis === undefined) return;
    const known = state.members.all().map(({ record }) => record.stateAddress);
    const others = [...new Set([...seeds, ...known])].filter((address) =>
      address !== self.stateAddress
    );
    for (const address of others) this.#borrow(address, { always: true });
  }

  async #borrow(
    address: string,
    options: { always?: boolean } = {},
  ): Promise<void> {
    const { log, state } = this.#options;
    const nowMillis = performance.now();
    const waitedMillis = nowMillis - this.#borrowedAtMillis;
    const isEarly = this.#borrowing || waitedMillis < borrowIntervalMillis;
    if (isEarly && !options.always) return;
    this.#borrowedAtMillis = nowMillis;
    this.#borrowing = true;
    const { versions } = state.archive;
    const delta = await borrowState(address, { versions, log });
    this.#borrowing = false;
    if (delta === undefined || delta.rows.length === 0) return;
    log.info("state_borrowed", {
      from: address,
      rows: delta.rows.length,
      whole: delta.whole,
    });
    this.#apply(delta);
  }

  #apply({ rows, whole, versions }: RowDelta): void {
    const { state } = this.#options;
    const nowMillis = performance.now();
    if (whole) {
      for (const table of [StateTable.operator, StateTable.targets]) {
        const version = versions[table === StateTable.targets ? 1 : 0];
        state.applySnapshot(table, rows, { version, nowMillis });
      }
    } else state.apply(rows, nowMillis);
    this.#operator.advance(versions[0]);
    this.#targets.advance(versions[1]);
    this.#aheadSinceMillis = undefined;
  }
}
