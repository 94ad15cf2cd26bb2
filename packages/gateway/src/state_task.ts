/**
 * Keeps the state current: follows the store's tables, and borrows from other
 * entries what the store doesn't deliver.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type {
  EntryRecord,
  StateRow,
} from "@bamboolane/steering/steering_config";
import { borrowState } from "./borrow_state.ts";
import { TableFollower } from "./follow_table.ts";
import type { GatewayState } from "./gateway_state.ts";
import { type StateStore, StateTable } from "./state_store.ts";

/** Options of {@link StateTask}. */
export interface StateTaskOptions {
  store: StateStore;
  state: GatewayState;
  seeds: readonly string[];
  self: EntryRecord;
  log: EventLog;
  random: () => number;
}

/** How long a peer may know more before its state is borrowed: a watch's pace and way. */
const aheadToleranceMillis = 600;
/** Least time between two reads of other entries' state. */
const borrowIntervalMillis = 500;
/** How often the entries' table is read: heartbeats tell most of it sooner. */
const membersReadMillis = 15_000;
/** Pause between attempts to read the entries' table. */
const membersRetryMillis = 300;

/** Task that owns the followers. */
export class StateTask {
  readonly #options: StateTaskOptions;
  readonly #operator: TableFollower;
  readonly #targets: TableFollower;
  #aheadSinceMillis: number | undefined;
  #borrowedAtMillis = -Infinity;
  #unreachable = false;
  #stopped = false;
  #borrower: NodeJS.Timeout | undefined;
  #memberReader: NodeJS.Timeout | undefined;
  #readingMembers = false;
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
    this.readMembers();
    this.#memberReader = setInterval(
      () => this.readMembers(),
      membersReadMillis,
    );
    this.#borrower = setInterval(
      () => this.#borrowAtStart(),
      borrowIntervalMillis,
    );
  }

  stop(): void {
    this.#stopped = true;
    clearInterval(this.#borrower);
    clearInterval(this.#memberReader);
    this.#operator.stop();
    this.#targets.stop();
  }

  /** Newest versions of the operator's and the targets' table. */
  versions(): [number, number] {
    return [this.#operator.version, this.#targets.version];
  }

  /** A peer knows more: waits a moment for the store, then asks the peer. */
  noteAhead(peer: EntryRecord): void {
    const nowMillis = performance.now();
    this.#aheadSinceMillis ??= nowMillis;
    const late = nowMillis - this.#aheadSinceMillis > aheadToleranceMillis;
    if (!late && !this.#unreachable) return;
    this.#aheadSinceMillis = undefined;
    this.#borrow(peer.stateAddress);
  }

  #follow(table: StateTable): TableFollower {
    const { store, state, log, random } = this.#options;
    return new TableFollower({
      store,
      table,
      log,
      random,
      sink: {
        onWhole: (rows, version) => {
          this.#aheadSinceMillis = undefined;
          state.applyWhole(table, rows, {
            version,
            nowMillis: performance.now(),
          });
        },
        onChanges: (rows) => {
          this.#aheadSinceMillis = undefined;
          state.apply(rows, performance.now());
        },
        onReachable: (reachable) => {
          this.#unreachable = !reachable;
          if (reachable) state.storeBackAtMillis = performance.now();
        },
      },
    });
  }

  /**
   * Reads the entries' table. An entry reads it once more after it registered:
   * of two that start together, at least one then sees the other.
   */
  async readMembers(): Promise<void> {
    const { store, state, log } = this.#options;
    this.#membersWanted = true;
    if (this.#readingMembers) return;
    this.#readingMembers = true;
    while (this.#membersWanted && !this.#stopped) {
      this.#membersWanted = false;
      try {
        const page = await store.read(StateTable.entries);
        state.applyWhole(StateTable.entries, page.rows, {
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
    if (state.isComplete || !this.#unreachable) return;
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
    const { log } = this.#options;
    const nowMillis = performance.now();
    const waited = nowMillis - this.#borrowedAtMillis;
    if (!options.always && waited < borrowIntervalMillis) return;
    this.#borrowedAtMillis = nowMillis;
    const borrowed = await borrowState(address, log);
    if (borrowed === undefined || borrowed.rows.length === 0) return;
    log.info("state_borrowed", { from: address, rows: borrowed.rows.length });
    this.#apply(borrowed.rows);
  }

  #apply(rows: StateRow[]): void {
    const { state } = this.#options;
    const nowMillis = performance.now();
    if (state.isComplete) return state.apply(rows, nowMillis);
    for (const table of [StateTable.operator, StateTable.targets]) {
      state.applyWhole(table, rows, { version: 0, nowMillis });
    }
  }
}
