/**
 * Exchanges datagrams with other entries: heartbeats within a data centre, and
 * digests between data centres. They carry which entries serve, what is in
 * flight at which target, which row versions are known, and which requests
 * crashed targets. One entry of each data centre, its relay, exchanges digests
 * with the relays of the others and forwards them in its heartbeats.
 */
import { createSocket, type Socket } from "node:dgram";
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { CrashSuspect } from "@bamboolane/types/instance";
import {
  type Candidate,
  chooseDigestReceiver,
  isRelay,
} from "@bamboolane/steering/elect_entries";
import {
  DIGEST_TIMEOUT_MILLIS,
  type Member,
} from "@bamboolane/steering/member_view";
import { chooseLimitReports } from "@bamboolane/steering/choose_limit_reports";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import { LAPSE_GRACE_MILLIS } from "@bamboolane/steering/target_registry";
import type { GatewayState } from "./gateway_state.ts";
import {
  decodeMessage,
  type Digest,
  encodeMessage,
  type Heartbeat,
  type LimitReport,
} from "./peer_messages.ts";
import type { KnownState } from "./latest_rows.ts";

/** Options of {@link PeerTask}. */
export interface PeerTaskOptions {
  self: EntryRecord;
  state: GatewayState;
  log: EventLog;
  isServing: () => boolean;
  reachesStore: () => boolean;
  inFlight: () => Record<string, number>;
  shares: () => Record<string, number>;
  random: () => number;
  /** Called with what another entry knows. */
  onPeerState: (peer: EntryRecord, known: KnownState) => void;
  /** Called when a digest names unknown entries. */
  onUnknownMembers: () => void;
}

/**
 * Minimum time between two heartbeats. Even short requests take a few times as
 * long, so that other entries learn of them while they are in flight.
 */
const MIN_HEARTBEAT_INTERVAL_MILLIS = 150;
/**
 * Each heartbeat takes a tenth of a millisecond, so this many take half a
 * percent of a core.
 */
const MAX_HEARTBEATS_PER_SECOND = 50;
/**
 * Digests go to other regions with every n-th heartbeat only: that traffic is
 * charged, and loads there matter less.
 */
const CROSS_REGION_INTERVALS = 4;
/** Maximum crash suspects in one message; a datagram must stay small. */
const MAX_SUSPECTS_PER_MESSAGE = 8;
/**
 * Maximum size of the digests that a heartbeat forwards, for the same reason; the others
 * go with the next ones.
 */
const MAX_FORWARDED_BYTES = 32_768;
/** Maximum number of data centres whose digests wait to be forwarded. */
const MAX_PENDING_DIGESTS = 256;
/** Maximum leaving targets in one message, for the same reason; the choice rotates. */
const MAX_LEAVING_PER_MESSAGE = 16;

/** A digest that was not forwarded yet. */
interface PendingDigest {
  digest: Digest;
  bytes: number;
}

/** Task that owns the datagram socket. */
export class PeerTask {
  readonly #options: PeerTaskOptions;
  readonly #socket: Socket;
  #timer: NodeJS.Timeout | undefined;
  #tickCount = 0;
  /** Sending from an unbound socket would bind it to any port. */
  #isBound = false;
  #stopped = false;
  #hasServed = false;
  /** Newest digest of each data centre that was not forwarded yet. */
  readonly #pendingDigests = new Map<string, PendingDigest>();

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (bytes) => this.#receive(bytes));
  }

  listen(): Promise<void> {
    const [host, port] = this.#options.self.peerAddress.split(":");
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(Number(port), host, () => {
        this.#socket.off("error", reject);
        this.#socket.on(
          "error",
          (error) =>
            this.#options.log.warn("peer_socket_error", {
              error: error.message,
            }),
        );
        this.#isBound = true;
        this.#tick();
        resolve();
      });
    });
  }

  /** Sends heartbeats and digests at once; called when the state of this entry changes. */
  announce(): void {
    this.#sendHeartbeats();
    this.#sendDigests({ crossRegion: true });
  }

  /** The other live entries of this data centre, as candidates for following the store. */
  livePeers(): Candidate[] {
    const nowMillis = performance.now();
    return this.#localPeers()
      .filter((localPeer) => nowMillis < localPeer.liveUntilMillis)
      .map(({ record, reachesStore }) => ({ id: record.id, reachesStore }));
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  #localPeers(): Member[] {
    const { self, state } = this.#options;
    return state.members.all().filter(({ record }) =>
      record.dataCentre === self.dataCentre && record.id !== self.id
    );
  }

  #tick(): void {
    if (this.#stopped) return;
    this.#tickCount++;
    const peerCount = this.#sendHeartbeats();
    this.#sendDigests({
      crossRegion: this.#tickCount % CROSS_REGION_INTERVALS === 0,
    });
    const intervalMillis = Math.max(
      MIN_HEARTBEAT_INTERVAL_MILLIS,
      peerCount * 1000 / MAX_HEARTBEATS_PER_SECOND,
    );
    this.#timer = setTimeout(() => this.#tick(), intervalMillis);
  }

  /**
   * Sends a heartbeat to each known entry of this data centre, also to silent
   * ones, which may have restarted. Returns the number of heartbeats.
   */
  #sendHeartbeats(): number {
    const localPeers = this.#localPeers();
    if (localPeers.length === 0) return 0;
    const bytes = encodeMessage(this.#heartbeat());
    for (const { record } of localPeers) this.#send(record, bytes);
    return localPeers.length;
  }

  #heartbeat(): Heartbeat {
    const { self, state, isServing, reachesStore, inFlight } = this.#options;
    const digests = this.#takePendingDigests();
    const recoveryAgeMillis = performance.now() - state.storeRecoveredAtMillis;
    return {
      kind: "heartbeat",
      entry: self,
      serving: isServing(),
      reachesStore: reachesStore(),
      versions: state.latestRows.versions,
      revision: state.config?.revision,
      confirmed: state.confirmations.own(performance.now()),
      storeBackAgeMillis: recoveryAgeMillis < LAPSE_GRACE_MILLIS
        ? Math.round(recoveryAgeMillis)
        : undefined,
      inFlight: inFlight(),
      unreachableServices: state.unreachableServices(),
      shares: this.#options.shares(),
      suspects: this.#suspects(),
      limits: this.#limitReports(),
      leaving: this.#leavingReports(),
      digests,
    };
  }

  /** Takes the digests that have waited the longest and fit into a heartbeat. */
  #takePendingDigests(): Digest[] {
    const digests: Digest[] = [];
    let totalBytes = 0;
    for (const [dataCentre, { digest, bytes }] of this.#pendingDigests) {
      if (totalBytes + bytes > MAX_FORWARDED_BYTES) break;
      totalBytes += bytes;
      digests.push(digest);
      this.#pendingDigests.delete(dataCentre);
    }
    return digests;
  }

  /** Keeps a digest until it is forwarded; a newer one takes its place. */
  #keepDigest(digest: Digest, bytes: number): void {
    const { dataCentre } = digest.relay;
    const fits = bytes <= MAX_FORWARDED_BYTES &&
      (this.#pendingDigests.has(dataCentre) ||
        this.#pendingDigests.size < MAX_PENDING_DIGESTS);
    if (fits) {
      return void this.#pendingDigests.set(dataCentre, { digest, bytes });
    }
    this.#options.log.warn("digest_not_forwarded", { dataCentre, bytes });
  }

  #suspects(): CrashSuspect[] {
    return this.#options.state.crashes.listSuspects(performance.now())
      .slice(-MAX_SUSPECTS_PER_MESSAGE);
  }

  #sendDigests(options: { crossRegion: boolean }): void {
    const { self, state } = this.#options;
    const nowMillis = performance.now();
    const servingPeers = this.#servingLocalPeers(nowMillis);
    if (!this.#isDigestSender(servingPeers)) return;
    const groups = new Map<string, Member[]>();
    for (const member of state.members.all()) {
      const { dataCentre, region } = member.record;
      if (dataCentre === self.dataCentre) continue;
      if (region !== self.region && !options.crossRegion) continue;
      const group = groups.get(dataCentre);
      if (group) group.push(member);
      else groups.set(dataCentre, [member]);
    }
    if (groups.size === 0) return;
    const bytes = encodeMessage(this.#digest(servingPeers, nowMillis));
    for (const group of groups.values()) {
      const receiver = chooseDigestReceiver(group, {
        nowMillis,
        turn: this.#tickCount,
      });
      if (receiver) this.#send(receiver, bytes);
    }
  }

  /**
   * True if this entry sends its data centre's digests: as the relay, or while it
   * stops if no other entry serves.
   */
  #isDigestSender(servingPeers: readonly string[]): boolean {
    if (this.#options.isServing()) {
      this.#hasServed = true;
      return isRelay(this.#options.self.id, servingPeers);
    }
    return this.#hasServed && servingPeers.length === 0;
  }

  #servingLocalPeers(nowMillis: number): string[] {
    return this.#localPeers()
      .filter((localPeer) =>
        localPeer.serving && nowMillis < localPeer.liveUntilMillis
      )
      .map(({ record }) => record.id);
  }

  #digest(servingPeers: string[], nowMillis: number): Digest {
    const { self, state, inFlight, isServing } = this.#options;
    const sums = inFlight();
    for (const servingPeer of servingPeers) {
      for (
        const [target, count] of state.members.inFlightOf(
          servingPeer,
          nowMillis,
        )
      ) {
        sums[target] = (sums[target] ?? 0) + count;
      }
    }
    return {
      kind: "digest",
      relay: self,
      serving: isServing() ? [self.id, ...servingPeers] : servingPeers,
      versions: state.latestRows.versions,
      revision: state.config?.revision,
      confirmed: state.confirmations.own(performance.now()),
      inFlight: sums,
      unreachableServices: this.#unreachableServices(servingPeers),
      shares: this.#options.shares(),
      suspects: this.#suspects(),
      limits: this.#limitReports(),
      leaving: this.#leavingReports(),
    };
  }

  /** Services of which this entry or a local peer reaches no target, by entry. */
  #unreachableServices(servingPeers: string[]): Record<string, string[]> {
    const { self, state } = this.#options;
    const services: Record<string, string[]> = {
      [self.id]: state.unreachableServices(),
    };
    for (const { record, unreachableServices } of this.#localPeers()) {
      if (servingPeers.includes(record.id)) {
        services[record.id] = [...unreachableServices];
      }
    }
    return Object.fromEntries(
      Object.entries(services).filter(([, list]) => list.length > 0),
    );
  }

  #limitReports(): Record<string, LimitReport> {
    const nowMillis = performance.now();
    const { state, random } = this.#options;
    const observations = chooseLimitReports(state.targets.all(), {
      nowMillis,
      random,
    });
    const reports: Record<string, LimitReport> = {};
    for (const [target, { perSecond, observedAtMillis }] of observations) {
      reports[target] = {
        perSecond: perSecond ?? null,
        ageMillis: Math.round(nowMillis - observedAtMillis),
      };
    }
    return reports;
  }

  /** Start of the incarnation of targets that said that they leave, by id. */
  #leavingReports(): Record<string, number> {
    const { state, random } = this.#options;
    const leaving = [...state.targets.all()]
      .filter(({ saysLeaving }) => saysLeaving)
      .map(({ record }) => [record.id, record.bornMillis] as const);
    const start = Math.floor(random() * leaving.length);
    return Object.fromEntries(
      [...leaving.slice(start), ...leaving.slice(0, start)]
        .slice(0, MAX_LEAVING_PER_MESSAGE),
    );
  }

  #send(peer: EntryRecord, bytes: Buffer): void {
    if (this.#stopped || !this.#isBound) return;
    const [host, port] = peer.peerAddress.split(":");
    this.#socket.send(bytes, Number(port), host, (error) => {
      if (error) {
        this.#options.log.debug("message_unsent", {
          peer: peer.id,
          error: error.message,
        });
      }
    });
  }

  #receive(bytes: Buffer): void {
    try {
      const message = decodeMessage(bytes);
      switch (message.kind) {
        case "heartbeat":
          return this.#handleHeartbeat(message);
        case "digest":
          this.#keepDigest(message, bytes.byteLength);
          return this.#handleDigest(message);
      }
    } catch (error) {
      this.#options.log.warn("message_unreadable", {
        error: (error as Error).message,
      });
    }
  }

  #handleHeartbeat(heartbeat: Heartbeat): void {
    const { state, log, onPeerState } = this.#options;
    const nowMillis = performance.now();
    const isNew = state.members.applyHeartbeat(heartbeat.entry, {
      serving: heartbeat.serving,
      reachesStore: heartbeat.reachesStore,
      inFlight: new Map(Object.entries(heartbeat.inFlight)),
      unreachableServices: heartbeat.unreachableServices,
    }, nowMillis);
    if (isNew) {
      log.info("peer_heard", {
        peer: heartbeat.entry.id,
        incarnation: heartbeat.entry.incarnation,
      });
      this.#send(heartbeat.entry, encodeMessage(this.#heartbeat()));
    }
    this.#recordShares(heartbeat.entry, heartbeat.shares);
    if (heartbeat.storeBackAgeMillis !== undefined) {
      state.recordStoreRecovery(nowMillis - heartbeat.storeBackAgeMillis);
    }
    this.#mergeSuspects(heartbeat.suspects, nowMillis);
    this.#mergeLimits(heartbeat.entry, heartbeat.limits);
    this.#mergeLeaving(heartbeat.entry, heartbeat.leaving);
    for (const digest of heartbeat.digests) this.#handleDigest(digest);
    onPeerState(heartbeat.entry, heartbeat);
  }

  #handleDigest(digest: Digest): void {
    const { self, state, onPeerState, onUnknownMembers } = this.#options;
    const { relay } = digest;
    if (relay.dataCentre === self.dataCentre) return;
    const nowMillis = performance.now();
    const allKnown = state.members.applyDigest({
      relay,
      serving: digest.serving,
      inFlight: new Map(Object.entries(digest.inFlight)),
      unreachableServices: digest.unreachableServices,
    }, nowMillis);
    if (!allKnown) onUnknownMembers();
    this.#recordShares(relay, digest.shares);
    this.#mergeSuspects(digest.suspects, nowMillis);
    this.#mergeLimits(relay, digest.limits);
    this.#mergeLeaving(relay, digest.leaving);
    onPeerState(relay, digest);
  }

  /** Records an entry's remote shares; those of other regions concern other objects. */
  #recordShares(source: EntryRecord, shares: Record<string, number>): void {
    if (source.region !== this.#options.self.region) return;
    this.#options.state.shares.setShares(
      source.id,
      new Map(Object.entries(shares)),
      performance.now() + DIGEST_TIMEOUT_MILLIS,
    );
  }

  #mergeLimits(
    source: EntryRecord,
    limits: Record<string, LimitReport> = {},
  ): void {
    const nowMillis = performance.now();
    for (const [target, { perSecond, ageMillis }] of Object.entries(limits)) {
      this.#options.state.recordLimit(target, {
        perSecond: perSecond ?? undefined,
        observedAtMillis: nowMillis - ageMillis,
      }, { source: source.id });
    }
  }

  #mergeLeaving(
    source: EntryRecord,
    leaving: Record<string, number> = {},
  ): void {
    const { state } = this.#options;
    for (const [id, bornMillis] of Object.entries(leaving)) {
      const target = state.targets.get(id);
      // A later incarnation doesn't leave.
      if (target === undefined || target.record.bornMillis !== bornMillis) {
        continue;
      }
      state.recordLeaving(target, { source: source.id });
    }
  }

  #mergeSuspects(suspects: readonly CrashSuspect[], nowMillis: number): void {
    for (const suspect of suspects) {
      this.#options.state.crashes.merge(suspect, nowMillis);
    }
  }
}
