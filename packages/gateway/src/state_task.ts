/**
 * Keeps the state of this entry current. A few entries of each data centre
 * follow the store's tables; the others fetch changes from them as soon as a
 * heartbeat announces newer versions. What a data centre's followers don't get
 * from the store is fetched from other data centres in the same way. An entry
 * whose state nobody confirmed for some time asks the store itself.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import {
  type Candidate,
  isStoreFollower,
} from "@bamboolane/steering/elect_entries";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import { planStatePace } from "@bamboolane/steering/plan_state_pace";
import { formatStateVersion } from "@bamboolane/steering/state_version";
import { fetchPeerState, PeerAnswerMemory } from "./fetch_peer_state.ts";
import { StateAgeGuard } from "./state_age_guard.ts";
import { type AnswerTimes, TableFollower } from "./table_follower.ts";
import type { GatewayState, RowOrigin } from "./gateway_state.ts";
import type { KnownState, RowDelta } from "./latest_rows.ts";
import {
  type FollowedTable,
  type StateStore,
  StateTable,
} from "./state_store.ts";

/** Options of {@link StateTask}. */
export interface StateTaskOptions {
  store: StateStore;
  state: GatewayState;
  seeds: readonly string[];
  self: EntryRecord;
  /** The other live entries of the data centre. */
  livePeers: () => readonly Candidate[];
  /** Time within which a change in the store must be in force. */
  applyWithinMillis: number;
  log: EventLog;
  random: () => number;
}

/**
 * How long an entry waits for the store, or for a follower of its data centre,
 * before it fetches from a peer that is ahead: the interval between two watches,
 * and the round trip of one.
 */
const LAG_TOLERANCE_MILLIS = 600;
/**
 * Minimum time between two fetches of other entries' state; bounds them while
 * many rows change.
 */
const MIN_FETCH_INTERVAL_MILLIS = 150;
/** Maximum number of fetches at a time, so that one that hangs keeps none waiting. */
const MAX_FETCHES = 3;
/** How often an entry without any state tries to fetch it from all others. */
const STARTUP_FETCH_INTERVAL_MILLIS = 500;
/** Time after its last failed call until an entry counts as able to follow the store again. */
const STORE_LOSS_EXPIRY_MILLIS = 5000;
/** How often followers read the table of entries; heartbeats announce most changes sooner. */
const MEMBERS_READ_INTERVAL_MILLIS = 15_000;
/** The other entries read the table at every n-th interval, to remove entries that left. */
const NON_FOLLOWER_INTERVALS = 20;
/** Minimum time between reads due to unknown entries; a new entry registers within it. */
const UNKNOWN_MEMBER_READ_MILLIS = 2000;
/** Delay before a failed read of the table of entries is retried. */
const MEMBERS_READ_RETRY_MILLIS = 300;

/** Task that owns the table followers. */
export class StateTask {
  readonly #options: StateTaskOptions;
  readonly #answerMemory = new PeerAnswerMemory();
  readonly #operatorFollower: TableFollower;
  readonly #targetsFollower: TableFollower;
  readonly #ageGuard: StateAgeGuard;
  /** When a peer was first seen to have newer rows, since rows were last applied. */
  #behindSinceMillis: number | undefined;
  #fetchedAtMillis = -Infinity;
  /** Addresses from which state is being fetched. */
  readonly #fetching = new Set<string>();
  /** Time of the last failed call of the store; undefined once a call succeeds. */
  #storeLostAtMillis: number | undefined;
  #stopped = false;
  #startupFetchTimer: NodeJS.Timeout | undefined;
  #membersReadTimer: NodeJS.Timeout | undefined;
  #readingMembers = false;
  #membersReadAtMillis = -Infinity;
  /** Set when a read is requested; a read that is already in progress may miss the change. */
  #membersReadRequested = false;

  constructor(options: StateTaskOptions) {
    this.#options = options;
    this.#operatorFollower = this.#createFollower(StateTable.operator);
    this.#targetsFollower = this.#createFollower(StateTable.targets);
    this.#ageGuard = new StateAgeGuard({
      ...options,
      pace: planStatePace(options.applyWithinMillis),
      confirmations: options.state.confirmations,
      ask: (table) => this.#followerOf(table).ask(),
    });
  }

  #followerOf(table: FollowedTable): TableFollower {
    return table === StateTable.operator
      ? this.#operatorFollower
      : this.#targetsFollower;
  }

  start(): void {
    this.#operatorFollower.start();
    this.#targetsFollower.start();
    this.#ageGuard.start();
    let tick = 0;
    this.#membersReadTimer = setInterval(() => {
      tick++;
      if (!this.#isFollower() && tick % NON_FOLLOWER_INTERVALS !== 0) return;
      this.readMembers();
    }, MEMBERS_READ_INTERVAL_MILLIS);
    this.#startupFetchTimer = setInterval(
      () => this.#fetchAtStartup(),
      STARTUP_FETCH_INTERVAL_MILLIS,
    );
  }

  stop(): void {
    this.#stopped = true;
    clearInterval(this.#startupFetchTimer);
    clearInterval(this.#membersReadTimer);
    this.#operatorFollower.stop();
    this.#targetsFollower.stop();
    this.#ageGuard.stop();
  }

  /** True unless this entry lost the store recently. */
  reachesStore(): boolean {
    return this.#storeLostAtMillis === undefined ||
      performance.now() - this.#storeLostAtMillis > STORE_LOSS_EXPIRY_MILLIS;
  }

  /**
   * Handles what another entry knows: fetches from it the rows that this one
   * lacks.
   */
  handlePeerState(peer: EntryRecord, known: KnownState): void {
    const { state } = this.#options;
    const nowMillis = performance.now();
    state.confirmations.takeOver(known.confirmed, {
      source: peer.id,
      nowMillis,
    });
    const [operator, targets] = state.latestRows.completeTo;
    this.#operatorFollower.advance(operator);
    this.#targetsFollower.advance(targets);
    const isBehind = known.versions[0] > operator ||
      known.versions[1] > targets ||
      (known.revision ?? 0) > (state.config?.revision ?? 0) ||
      // While the store is reached, the table's own bound is enough.
      (!this.reachesStore() && !state.confirmations.covers(known.confirmed));
    if (!isBehind || !state.isComplete) return;
    if (this.#behindSinceMillis === undefined) {
      this.#behindSinceMillis = nowMillis;
      this.#logAnnouncement(peer, known, nowMillis);
    }
    const isSameDataCentre = peer.dataCentre === this.#options.self.dataCentre;
    const followsStore = this.#storeLostAtMillis === undefined &&
      this.#isFollower();
    const mayWait = !isSameDataCentre || followsStore;
    const behindMillis = nowMillis - this.#behindSinceMillis;
    if (mayWait && behindMillis < LAG_TOLERANCE_MILLIS) return;
    this.#fetchFrom(peer.stateAddress);
  }

  /** Logs from when on newer state could be fetched, and how old the state here is. */
  #logAnnouncement(
    peer: EntryRecord,
    known: KnownState,
    nowMillis: number,
  ): void {
    const { state, log } = this.#options;
    const { confirmations, latestRows } = state;
    const [operator, targets] = latestRows.completeTo;
    log.info("newer_state_announced", {
      peer: peer.id,
      revision: known.revision,
      operatorVersion: formatStateVersion(known.versions[0]),
      targetsVersion: formatStateVersion(known.versions[1]),
      knownRevision: state.config?.revision,
      knownOperatorVersion: formatStateVersion(operator),
      knownTargetsVersion: formatStateVersion(targets),
      configAgeMillis: confirmations.loggedAgeMillis("operator", nowMillis),
      targetsAgeMillis: confirmations.loggedAgeMillis("targets", nowMillis),
    });
  }

  #isFollower(): boolean {
    const { self, livePeers } = this.#options;
    const candidate = { id: self.id, reachesStore: this.reachesStore() };
    return isStoreFollower(candidate, livePeers());
  }

  #createFollower(table: FollowedTable): TableFollower {
    const { store, state, log, random, applyWithinMillis } = this.#options;
    return new TableFollower({
      watchMillis: planStatePace(applyWithinMillis).watchMillis,
      store,
      table,
      log,
      random,
      isFollower: () => this.#isFollower(),
      sink: {
        onSnapshot: (rows, times) => {
          state.applySnapshot(table, rows, {
            version: times.version,
            nowMillis: performance.now(),
            origin: originOf("read", times),
          });
          state.confirmations.confirmByStore(table, times);
          this.#behindSinceMillis = undefined;
        },
        onChanges: (rows, times) => {
          if (rows.length > 0) {
            state.apply(rows, {
              nowMillis: performance.now(),
              origin: originOf("watch", times),
            });
            this.#behindSinceMillis = undefined;
          }
          state.confirmations.confirmByStore(table, times);
        },
        onReachabilityChange: (reachable) => {
          const nowMillis = performance.now();
          this.#storeLostAtMillis = reachable ? undefined : nowMillis;
          if (reachable) state.recordStoreRecovery(nowMillis);
        },
      },
    });
  }

  /**
   * Handles a digest that names unknown entries: a follower reads the table of
   * entries, unless it just did. The others don't need it: callers are directed
   * to other data centres only if this one has too few entries, and then all of
   * these follow the store.
   */
  readMembersIfDue(): void {
    const sinceMillis = performance.now() - this.#membersReadAtMillis;
    if (sinceMillis < UNKNOWN_MEMBER_READ_MILLIS || !this.#isFollower()) return;
    this.readMembers();
  }

  /**
   * Reads the table of entries, and retries until that succeeds. An entry reads
   * it after it registered: of two that start together, at least one then sees
   * the other.
   */
  async readMembers(): Promise<void> {
    const { store, state, log } = this.#options;
    this.#membersReadRequested = true;
    if (this.#readingMembers) return;
    this.#readingMembers = true;
    this.#membersReadAtMillis = performance.now();
    while (this.#membersReadRequested && !this.#stopped) {
      this.#membersReadRequested = false;
      try {
        const snapshot = await store.read(StateTable.entries);
        state.applySnapshot(StateTable.entries, snapshot.rows, {
          version: snapshot.version,
          nowMillis: performance.now(),
        });
      } catch (error) {
        this.#membersReadRequested = true;
        log.info("members_unread", { error: (error as Error).message });
        await new Promise((resolve) =>
          setTimeout(resolve, MEMBERS_READ_RETRY_MILLIS)
        );
      }
    }
    this.#readingMembers = false;
  }

  /**
   * Fetches the state from the seeds and all known entries while this entry has
   * none and the store is unavailable.
   */
  #fetchAtStartup(): void {
    const { state, seeds, self } = this.#options;
    if (state.isComplete || this.#storeLostAtMillis === undefined) return;
    const known = state.members.all().map(({ record }) => record.stateAddress);
    const others = [...new Set([...seeds, ...known])].filter((address) =>
      address !== self.stateAddress
    );
    for (const address of others) this.#fetchFrom(address, { force: true });
  }

  async #fetchFrom(
    address: string,
    options: { force?: boolean } = {},
  ): Promise<void> {
    const { log, state } = this.#options;
    const nowMillis = performance.now();
    const sinceFetchMillis = nowMillis - this.#fetchedAtMillis;
    const isTooSoon = this.#fetching.has(address) ||
      this.#fetching.size >= MAX_FETCHES ||
      sinceFetchMillis < MIN_FETCH_INTERVAL_MILLIS;
    if (isTooSoon && !options.force) return;
    this.#fetchedAtMillis = nowMillis;
    this.#fetching.add(address);
    const delta = await fetchPeerState(address, {
      completeTo: state.latestRows.completeTo,
      revision: state.config?.revision ?? 0,
      memory: this.#answerMemory,
      log,
    });
    this.#fetching.delete(address);
    if (delta === undefined) return;
    if (delta.rows.length === 0) {
      return state.latestRows.recordComplete(delta.completeTo);
    }
    const { confirmations } = state;
    log.info("state_borrowed", {
      from: address,
      rows: delta.rows.length,
      whole: delta.whole,
      tookMillis: Math.round(performance.now() - nowMillis),
      configAgeMillis: confirmations.loggedAgeMillis("operator", nowMillis),
      targetsAgeMillis: confirmations.loggedAgeMillis("targets", nowMillis),
    });
    try {
      this.#apply(delta, address);
    } catch (error) {
      const { message, stack } = error as Error;
      log.error("borrowed_state_failed", {
        from: address,
        error: message,
        stack,
      });
    }
  }

  #apply({ rows, whole, completeTo }: RowDelta, address: string): void {
    const { state } = this.#options;
    const options = {
      nowMillis: performance.now(),
      origin: { source: address },
    };
    const [operator, targets] = completeTo;
    if (whole) {
      const tables = [
        [StateTable.operator, operator],
        [StateTable.targets, targets],
      ] as const;
      for (const [table, version] of tables) {
        // The sender has not read the table yet.
        if (version === 0) continue;
        state.applySnapshot(table, rows, { version, ...options });
      }
    } else {
      state.apply(rows, options);
      state.latestRows.recordComplete(completeTo);
    }
    this.#operatorFollower.advance(operator);
    this.#targetsFollower.advance(targets);
    this.#behindSinceMillis = undefined;
  }
}

function originOf(call: string, times: AnswerTimes): RowOrigin {
  return {
    source: call,
    storeMillis: times.storeMillis,
    absentAtStoreMillis: times.previousStoreMillis,
  };
}
