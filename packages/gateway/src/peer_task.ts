/**
 * Heartbeats between the entries of a data centre, and digests between data
 * centres, as datagrams: who serves, what is in flight at which target, which
 * rows are known, which requests crashed targets. One entry of each data
 * centre, its relay, speaks to the relays of the others and passes on what
 * they say.
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
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import { LAPSE_GRACE_MILLIS } from "@bamboolane/steering/target_registry";
import type { GatewayState } from "./gateway_state.ts";
import {
  decodeMessage,
  type Digest,
  encodeMessage,
  type Heartbeat,
} from "./peer_messages.ts";
import type { RowVersions } from "./row_archive.ts";

/** Options of {@link PeerTask}. */
export interface PeerOptions {
  self: EntryRecord;
  state: GatewayState;
  log: EventLog;
  isServing: () => boolean;
  reachesStore: () => boolean;
  inFlight: () => Record<string, number>;
  shares: () => Record<string, number>;
  /** Another entry told which rows it has. */
  onVersions: (peer: EntryRecord, versions: RowVersions) => void;
  /** A digest names entries that aren't known. */
  onUnknown: () => void;
}

/** Shortest time between two heartbeats: a few times faster than short requests end. */
const leastIntervalMillis = 150;
/** Heartbeats that one entry sends per second at most: a tenth of a millisecond each, half a percent of a core. */
const mostHeartbeatsPerSecond = 50;
/** Between regions only every so many heartbeats: links are priced, and loads there matter less. */
const farIntervals = 4;
/** Crash suspects in one message; a datagram must stay small. */
const maxSuspects = 8;

/** Task that owns the datagram socket. */
export class PeerTask {
  readonly #options: PeerOptions;
  readonly #socket: Socket;
  #timer: NodeJS.Timeout | undefined;
  #beat = 0;
  #stopped = false;
  #served = false;
  /** Newest digests that other relays sent here, not yet passed on. */
  readonly #toPassOn = new Map<string, Digest>();

  constructor(options: PeerOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (bytes) => this.#receive(bytes));
    this.#socket.on(
      "error",
      (error) =>
        options.log.warn("peer_socket_error", { error: error.message }),
    );
  }

  listen(): Promise<void> {
    const [host, port] = this.#options.self.peerAddress.split(":");
    return new Promise((resolve) => {
      this.#socket.bind(Number(port), host, () => {
        this.#tick();
        resolve();
      });
    });
  }

  /** Tells all data centres at once, when the state of this entry changes. */
  announce(): void {
    this.#sendHeartbeats();
    this.#sendDigests({ far: true });
  }

  /** The entries of this data centre that are heard of, as candidates for its duties. */
  liveMates(): Candidate[] {
    const nowMillis = performance.now();
    return this.#mates()
      .filter((mate) => nowMillis < mate.liveUntilMillis)
      .map(({ record, reachesStore }) => ({ id: record.id, reachesStore }));
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  #mates(): Member[] {
    const { self, state } = this.#options;
    return state.members.all().filter(({ record }) =>
      record.dataCentre === self.dataCentre && record.id !== self.id
    );
  }

  #tick(): void {
    if (this.#stopped) return;
    this.#beat++;
    const mates = this.#sendHeartbeats();
    this.#sendDigests({ far: this.#beat % farIntervals === 0 });
    const intervalMillis = Math.max(
      leastIntervalMillis,
      mates * 1000 / mostHeartbeatsPerSecond,
    );
    this.#timer = setTimeout(() => this.#tick(), intervalMillis);
  }

  /** Returns how many were sent; silent entries get theirs too, they may have restarted. */
  #sendHeartbeats(): number {
    const mates = this.#mates();
    if (mates.length === 0) return 0;
    const bytes = encodeMessage(this.#heartbeat());
    for (const { record } of mates) this.#send(record, bytes);
    return mates.length;
  }

  #heartbeat(): Heartbeat {
    const { self, state, isServing, reachesStore, inFlight } = this.#options;
    const digests = [...this.#toPassOn.values()];
    this.#toPassOn.clear();
    const backAgeMillis = performance.now() - state.storeRecoveredAtMillis;
    return {
      kind: "heartbeat",
      entry: self,
      serving: isServing(),
      reachesStore: reachesStore(),
      versions: state.archive.versions,
      storeBackAgeMillis: backAgeMillis < LAPSE_GRACE_MILLIS
        ? Math.round(backAgeMillis)
        : undefined,
      inFlight: inFlight(),
      shares: this.#options.shares(),
      suspects: this.#suspects(),
      digests,
    };
  }

  #suspects(): CrashSuspect[] {
    return this.#options.state.crashes.listSuspects(performance.now())
      .slice(-maxSuspects);
  }

  #sendDigests(options: { far: boolean }): void {
    const { self, state } = this.#options;
    const nowMillis = performance.now();
    const mates = this.#servingMates(nowMillis);
    if (!this.#speaksForAll(mates)) return;
    const groups = new Map<string, Member[]>();
    for (const member of state.members.all()) {
      const { dataCentre, region } = member.record;
      if (dataCentre === self.dataCentre) continue;
      if (region !== self.region && !options.far) continue;
      const group = groups.get(dataCentre);
      if (group) group.push(member);
      else groups.set(dataCentre, [member]);
    }
    if (groups.size === 0) return;
    const bytes = encodeMessage(this.#digest(mates, nowMillis));
    for (const group of groups.values()) {
      const receiver = chooseDigestReceiver(group, {
        nowMillis,
        turn: this.#beat,
      });
      if (receiver) this.#send(receiver, bytes);
    }
  }

  /** A leaving entry that nobody follows says so itself. */
  #speaksForAll(mates: readonly string[]): boolean {
    if (this.#options.isServing()) {
      this.#served = true;
      return isRelay(this.#options.self.id, mates);
    }
    return this.#served && mates.length === 0;
  }

  #servingMates(nowMillis: number): string[] {
    return this.#mates()
      .filter((mate) => mate.serving && nowMillis < mate.liveUntilMillis)
      .map(({ record }) => record.id);
  }

  #digest(mates: string[], nowMillis: number): Digest {
    const { self, state, inFlight, isServing } = this.#options;
    const sums = inFlight();
    for (const mate of mates) {
      for (const [target, count] of state.members.inFlightOf(mate, nowMillis)) {
        sums[target] = (sums[target] ?? 0) + count;
      }
    }
    return {
      kind: "digest",
      relay: self,
      serving: isServing() ? [self.id, ...mates] : mates,
      versions: state.archive.versions,
      inFlight: sums,
      shares: this.#options.shares(),
      suspects: this.#suspects(),
    };
  }

  #send(peer: EntryRecord, bytes: Buffer): void {
    if (this.#stopped) return;
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
          return this.#hear(message);
        case "digest":
          this.#toPassOn.set(message.relay.dataCentre, message);
          return this.#hearDigest(message);
      }
    } catch (error) {
      this.#options.log.warn("message_unreadable", {
        error: (error as Error).message,
      });
    }
  }

  #hear(beat: Heartbeat): void {
    const { state, log, onVersions } = this.#options;
    const nowMillis = performance.now();
    const isNew = state.members.applyHeartbeat(beat.entry, {
      serving: beat.serving,
      reachesStore: beat.reachesStore,
      inFlight: new Map(Object.entries(beat.inFlight)),
    }, nowMillis);
    if (isNew) {
      log.info("peer_heard", {
        peer: beat.entry.id,
        incarnation: beat.entry.incarnation,
      });
      this.#send(beat.entry, encodeMessage(this.#heartbeat()));
    }
    this.#noteShares(beat.entry, beat.shares);
    if (beat.storeBackAgeMillis !== undefined) {
      state.recordStoreRecovery(nowMillis - beat.storeBackAgeMillis);
    }
    this.#mergeSuspects(beat.suspects, nowMillis);
    for (const digest of beat.digests) this.#hearDigest(digest);
    onVersions(beat.entry, beat.versions);
  }

  #hearDigest(digest: Digest): void {
    const { self, state, onVersions, onUnknown } = this.#options;
    const { relay } = digest;
    if (relay.dataCentre === self.dataCentre) return;
    const nowMillis = performance.now();
    const known = state.members.applyDigest({
      relay,
      serving: digest.serving,
      inFlight: new Map(Object.entries(digest.inFlight)),
    }, nowMillis);
    if (!known) onUnknown();
    this.#noteShares(relay, digest.shares);
    this.#mergeSuspects(digest.suspects, nowMillis);
    onVersions(relay, digest.versions);
  }

  #noteShares(source: EntryRecord, shares: Record<string, number>): void {
    if (source.region !== this.#options.self.region) return;
    this.#options.state.shares.setShares(
      source.id,
      new Map(Object.entries(shares)),
      performance.now() + DIGEST_TIMEOUT_MILLIS,
    );
  }

  #mergeSuspects(suspects: readonly CrashSuspect[], nowMillis: number): void {
    for (const suspect of suspects) {
      this.#options.state.crashes.merge(suspect, nowMillis);
    }
  }
}
