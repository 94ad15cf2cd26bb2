/**
 * Runs the heartbeat streams of an instance: opens the planned links, sends
 * membership deltas at each tick, and marks peers dead in the membership
 * table when they fall silent or refuse connections.
 */
import type { InstanceRecord } from "@bamboolane/types/instance";
import { InstanceState } from "@bamboolane/types/instance";
import type { CrashSuspect } from "@bamboolane/types/instance";
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Heartbeat } from "@bamboolane/wire/generated/bamboolane/v1/peer";
import { connectPeer, heartbeatBytes } from "@bamboolane/wire/peer_channel";
import { HeartbeatLink, type HeartbeatStream } from "./heartbeat_link.ts";
import type { MembershipTable, StreamScope } from "./membership_table.ts";
import { planLinks, type PlannedLink } from "./plan_links.ts";
import { fromWireRecord, toWireRecord } from "./record_codec.ts";

/** Proof that a revision is the newest, as carried by heartbeats. */
export interface FreshnessProof {
  revision: number;
  hash: string;
  /** Age of the proof; infinite if there is none. */
  freshAgeMillis: number;
}

/** Callbacks of {@link HeartbeatMesh}. */
export interface MeshListener {
  /** A peer reported the revision in force there and its proof. */
  onProof(
    proof: {
      revision: number;
      hash: string;
      /** Time on this instance's clock; -Infinity if not proven. */
      provenAtMillis: number;
      peer: string;
    },
  ): void;
  /** At least one instance record changed. */
  onChange(): void;
  /** A peer sent its list of crash suspects; never called with an empty list. */
  onSuspects(suspects: CrashSuspect[]): void;
  /** A heartbeat of `bytes` bytes was sent or received; for metrics. */
  onTraffic(direction: "sent" | "received", bytes: number): void;
}

/** Options of {@link HeartbeatMesh}. */
export interface HeartbeatMeshOptions {
  table: MembershipTable;
  /** Secret shared by all entries. */
  secret: string;
  /** Interval of ticks. */
  heartbeatMillis: number;
  /** Time without a heartbeat after which a planned mesh peer is declared dead. */
  suspectAfterMillis: number;
  log: EventLog;
  /** Monotonic time. Unit: milliseconds. */
  now: () => number;
  /** Returns this instance's proof, to be sent to peers. */
  proof: () => FreshnessProof;
  /** Returns this instance's crash suspects, to be sent to peers. */
  suspects: () => CrashSuspect[];
  listener: MeshListener;
}

/** Relays send one heartbeat to other data centres per this many ticks. */
const RELAY_INTERVAL_FACTOR = 2;
/**
 * Consecutive streams that closed without a received heartbeat after which a
 * peer of the own data centre is declared dead, and a relay of another data
 * centre is left out of the plan.
 */
const REFUSALS_UNTIL_DEAD = 2;
/** Delay until a closed stream is reopened; grows with consecutive refusals. */
const REOPEN_DELAY_MILLIS = 150;
/** Timeout of the one-time exchange with a contacted peer. */
const CONTACT_TIMEOUT_MILLIS = 2000;
/** Interval, in ticks, at which peers that refused are tried again. */
const REFUSAL_RESET_TICKS = 20;

/** Exchanges heartbeats with the planned peers. */
export class HeartbeatMesh {
  readonly #options: HeartbeatMeshOptions;
  readonly #opened = new Map<string, HeartbeatLink>();
  readonly #accepted = new Map<string, HeartbeatLink>();
  readonly #refusals = new Map<
    string,
    { count: number; notBeforeMillis: number }
  >();
  readonly #lastReceivedFromPeer = new Map<string, number>();
  readonly #lastReceivedFromDataCentre = new Map<string, number>();
  readonly #unreachableByPeer = new Map<string, string[]>();
  #startedAtMillis = 0;
  #suspectsVersion = 1;
  #tickCount = 0;
  #timer: NodeJS.Timeout | undefined;
  #sendScheduled = false;
  #plannedVersion = -1;
  #plan: PlannedLink[] = [];

  constructor(options: HeartbeatMeshOptions) {
    this.#options = options;
  }

  start(): void {
    this.#startedAtMillis = this.#options.now();
    this.#timer = setInterval(
      () => this.#tick(),
      this.#options.heartbeatMillis,
    );
    this.#tick();
  }

  stop(): void {
    clearInterval(this.#timer);
    for (const link of [...this.#opened.values(), ...this.#accepted.values()]) {
      link.close();
    }
    this.#opened.clear();
    this.#accepted.clear();
  }

  /** Sends a heartbeat on every stream before the next tick, for urgent changes. */
  sendSoon(): void {
    if (this.#sendScheduled) return;
    this.#sendScheduled = true;
    setImmediate(() => {
      this.#sendScheduled = false;
      this.#openMissing();
      this.#sendAll({ relays: true });
    });
  }

  /** Sends the suspect list, which has grown, on every stream. */
  sendSuspectsSoon(): void {
    this.#suspectsVersion++;
    this.sendSoon();
  }

  /** Serves a stream that a peer opened. */
  accept(stream: HeartbeatStream): void {
    let link: HeartbeatLink | undefined;
    stream.on("data", (heartbeat) => {
      if (heartbeat.contact) return this.#answerContact(stream, heartbeat);
      link ??= this.#addAccepted(heartbeat.sender, stream);
      this.#receive(link, heartbeat);
    });
    const close = () => {
      if (link && this.#accepted.get(link.peer) === link) {
        this.#accepted.delete(link.peer);
      }
      stream.end();
    };
    stream.on("end", close);
    stream.on("error", close);
  }

  /** Exchanges all instance records once with the instance at `address`. */
  contact(address: string): void {
    const connection = connectPeer(address, this.#options.secret);
    const stream = connection.client.exchange(connection.metadata);
    const close = () => {
      clearTimeout(timer);
      stream.cancel();
      connection.close();
    };
    const timer = setTimeout(close, CONTACT_TIMEOUT_MILLIS);
    stream.on("error", close);
    stream.on("data", (heartbeat) => {
      this.#mergeRecords(heartbeat);
      close();
    });
    stream.write({
      ...this.#assembleHeartbeat(this.#contactLink(stream)),
      contact: true,
    });
  }

  #answerContact(stream: HeartbeatStream, heartbeat: Heartbeat): void {
    this.#mergeRecords(heartbeat);
    stream.write(
      this.#assembleHeartbeat(this.#contactLink(stream)),
      () => stream.end(),
    );
  }

  #contactLink(stream: HeartbeatStream): HeartbeatLink {
    return new HeartbeatLink({ peer: "", stream, scope: { kind: "contact" } });
  }

  #mergeRecords(heartbeat: Heartbeat): void {
    const now = this.#options.now();
    let changed = false;
    for (const record of heartbeat.records) {
      changed = this.#options.table.merge(fromWireRecord(record), now) ||
        changed;
    }
    if (changed) this.#options.listener.onChange();
  }

  /** A peer without a record is treated as local until its record is received. */
  #addAccepted(peer: string, stream: HeartbeatStream): HeartbeatLink {
    const known = this.#options.table.get(peer);
    const own = this.#options.table.self.dataCentre;
    const scope: StreamScope = known === undefined || known.dataCentre === own
      ? { kind: "mesh" }
      : { kind: "relay", dataCentre: known.dataCentre };
    const link = new HeartbeatLink({ peer, stream, scope });
    this.#accepted.set(peer, link);
    return link;
  }

  #tick(): void {
    this.#tickCount++;
    const now = this.#options.now();
    this.#options.table.removeExpired(now);
    if (this.#tickCount % REFUSAL_RESET_TICKS === 0) this.#resetRefusals();
    this.#openMissing();
    this.#detectSilentPeers(now);
    this.#sendAll({ relays: this.#tickCount % RELAY_INTERVAL_FACTOR === 0 });
  }

  /** Lets peers that refused connections be planned again. */
  #resetRefusals(): void {
    if (this.#refusals.size === 0) return;
    this.#refusals.clear();
    this.#plannedVersion = -1;
  }

  /**
   * Data centres that have been silent to this relay; empty on other instances.
   * The limit is longer than for peers, because relays send less often.
   */
  #silentDataCentres(): string[] {
    if (this.#options.table.ownRelayRank() < 0) return [];
    const now = this.#options.now();
    const silent: string[] = [];
    for (const planned of this.#plan) {
      if (planned.scope.kind !== "relay") continue;
      const { dataCentre } = planned.scope;
      const receivedMillis = this.#lastReceivedFromDataCentre.get(dataCentre) ??
        this.#startedAtMillis;
      if (
        now - receivedMillis >
          this.#options.suspectAfterMillis * RELAY_INTERVAL_FACTOR
      ) {
        silent.push(dataCentre);
      }
    }
    return silent;
  }

  /** Data centres that are silent to all relays of this data centre. */
  unreachableDataCentres(): Set<string> {
    const { table } = this.#options;
    const reports = table.relaysOf(table.self.dataCentre).map((relay) =>
      relay.id === table.self.id
        ? this.#silentDataCentres()
        : this.#unreachableByPeer.get(relay.id) ?? []
    );
    const [first = [], ...others] = reports;
    return new Set(
      first.filter((id) => others.every((other) => other.includes(id))),
    );
  }

  #replan(): void {
    const { table } = this.#options;
    if (this.#plannedVersion === table.membershipVersion) return;
    this.#plannedVersion = table.membershipVersion;
    this.#plan = planLinks(table, { isRefused: (id) => this.#isRefused(id) });
    const wanted = new Set(
      this.#plan.filter((p) => p.initiate).map((p) => p.id),
    );
    for (const [peer, link] of this.#opened) {
      if (wanted.has(peer)) continue;
      this.#opened.delete(peer);
      link.close();
    }
  }

  #openMissing(): void {
    this.#replan();
    const now = this.#options.now();
    for (const planned of this.#plan) {
      if (!planned.initiate || this.#opened.has(planned.id)) continue;
      const refusal = this.#refusals.get(planned.id);
      if (refusal && refusal.notBeforeMillis > now) continue;
      this.#open(planned);
    }
  }

  #open(planned: PlannedLink): void {
    const connection = connectPeer(planned.address, this.#options.secret);
    const stream = connection.client.exchange(connection.metadata);
    const link = new HeartbeatLink({
      peer: planned.id,
      stream,
      scope: planned.scope,
      connection,
    });
    this.#opened.set(planned.id, link);
    stream.on("data", (heartbeat) => this.#receive(link, heartbeat));
    stream.on("end", () => this.#onStreamClosed(link));
    stream.on("error", () => this.#onStreamClosed(link));
    this.#send(link);
  }

  #onStreamClosed(link: HeartbeatLink): void {
    if (this.#opened.get(link.peer) !== link) return;
    this.#opened.delete(link.peer);
    link.close();
    const now = this.#options.now();
    const count = link.hasReceived
      ? 0
      : (this.#refusals.get(link.peer)?.count ?? 0) + 1;
    const delayMillis = REOPEN_DELAY_MILLIS * (count + 1);
    this.#refusals.set(link.peer, {
      count,
      notBeforeMillis: now + Math.min(delayMillis, 2000),
    });
    if (count >= REFUSALS_UNTIL_DEAD) {
      if (link.scope.kind === "mesh") this.#declareDead(link.peer, "refused");
      else this.#plannedVersion = -1;
    }
    const timer = setTimeout(() => this.#openMissing(), delayMillis + 1);
    timer.unref();
  }

  #isRefused(peer: string): boolean {
    return (this.#refusals.get(peer)?.count ?? 0) >= REFUSALS_UNTIL_DEAD;
  }

  #detectSilentPeers(now: number): void {
    for (const planned of this.#plan) {
      if (planned.scope.kind !== "mesh") continue;
      const receivedMillis = this.#lastReceivedFromPeer.get(planned.id);
      if (receivedMillis === undefined) {
        this.#lastReceivedFromPeer.set(planned.id, now);
        // The peer has to open the stream, but may not know this instance yet.
        if (!planned.initiate) this.contact(planned.address);
        continue;
      }
      if (now - receivedMillis <= this.#options.suspectAfterMillis) continue;
      const state = this.#options.table.get(planned.id)?.state;
      if (state !== InstanceState.dead) this.#declareDead(planned.id, "silent");
    }
  }

  #declareDead(peer: string, reason: string): void {
    if (!this.#options.table.declareDead(peer, this.#options.now())) return;
    this.#options.log.warn("instance_dead", { instance: peer, reason });
    this.#lastReceivedFromPeer.delete(peer);
    this.#options.listener.onChange();
    this.sendSoon();
  }

  #sendAll(options: { relays: boolean }): void {
    for (const link of this.#opened.values()) {
      if (link.scope.kind === "mesh" || options.relays) this.#send(link);
    }
    for (const link of this.#accepted.values()) {
      if (link.scope.kind === "mesh" || options.relays) this.#send(link);
    }
  }

  #send(link: HeartbeatLink): void {
    const { table, listener } = this.#options;
    const heartbeat = this.#assembleHeartbeat(link);
    link.lastSentChange = table.latestChange;
    link.lastSentSuspectsVersion = this.#suspectsVersion;
    link.stream.write(
      heartbeat,
      () => listener.onTraffic("sent", heartbeatBytes(heartbeat)),
    );
  }

  #assembleHeartbeat(link: HeartbeatLink): Heartbeat {
    const { table } = this.#options;
    const proof = this.#options.proof();
    const finite = Number.isFinite(proof.freshAgeMillis);
    return {
      sender: table.self.id,
      incarnation: table.self.incarnation,
      sequence: link.nextSequence(this.#options.now()),
      echoSequence: link.lastReceivedSequence,
      records: table.changesSince(link.lastSentChange, link.scope).map(
        toWireRecord,
      ),
      revision: proof.revision,
      configHash: proof.hash,
      freshAgeMillis: finite ? proof.freshAgeMillis : -1,
      suspects: link.lastSentSuspectsVersion < this.#suspectsVersion
        ? this.#options.suspects()
        : [],
      unreachable: link.scope.kind === "mesh" ? this.#silentDataCentres() : [],
      contact: false,
    };
  }

  #receive(link: HeartbeatLink, heartbeat: Heartbeat): void {
    const { listener } = this.#options;
    const now = this.#options.now();
    link.recordReceived(heartbeat);
    this.#lastReceivedFromPeer.set(link.peer, now);
    this.#refusals.delete(link.peer);
    if (link.scope.kind === "relay") {
      this.#lastReceivedFromDataCentre.set(link.scope.dataCentre, now);
    } else this.#unreachableByPeer.set(link.peer, heartbeat.unreachable);
    listener.onTraffic("received", heartbeatBytes(heartbeat));
    this.#mergeRecords(heartbeat);
    if (heartbeat.suspects.length > 0) listener.onSuspects(heartbeat.suspects);
    this.#reportProof(link, heartbeat);
    this.#updateScope(link);
  }

  #reportProof(link: HeartbeatLink, heartbeat: Heartbeat): void {
    if (heartbeat.revision === 0) return;
    this.#options.listener.onProof({
      revision: heartbeat.revision,
      hash: heartbeat.configHash,
      provenAtMillis: link.provenAtMillis(heartbeat),
      peer: link.peer,
    });
  }

  /**
   * Corrects the stream's scope once the peer's data centre is known, and sends
   * all records of the new scope again.
   */
  #updateScope(link: HeartbeatLink): void {
    const known: InstanceRecord | undefined = this.#options.table.get(
      link.peer,
    );
    if (known === undefined) return;
    const mesh = known.dataCentre === this.#options.table.self.dataCentre;
    if (mesh === (link.scope.kind === "mesh")) return;
    link.scope = mesh
      ? { kind: "mesh" }
      : { kind: "relay", dataCentre: known.dataCentre };
    link.lastSentChange = 0;
  }
}
