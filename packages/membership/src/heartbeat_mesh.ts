/**
 * The task that owns the heartbeat streams. It opens the planned links,
 * sends deltas at each beat, and turns silence and broken streams into
 * news for the member table.
 */
import type { InstanceRecord } from "@bamboolane/types/instance";
import { InstanceState } from "@bamboolane/types/instance";
import type { CrashSuspect } from "@bamboolane/types/instance";
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Heartbeat } from "@bamboolane/wire/generated/bamboolane/v1/peer";
import { connectPeer, heartbeatBytes } from "@bamboolane/wire/peer_channel";
import { BeatLink, type BeatStream } from "./beat_link.ts";
import type { MembershipTable, StreamScope } from "./membership_table.ts";
import { planLinks, type PlannedLink } from "./plan_links.ts";
import { fromWireRecord, toWireRecord } from "./record_codec.ts";

/** Proof of the newest revision, as carried by heartbeats. */
export interface BeatProof {
  revision: number;
  hash: string;
  /** Infinite where there is none. */
  freshAgeMillis: number;
}

/** What the mesh reports to its owner. */
export interface MeshListener {
  /** A peer named the newest revision that it knows. */
  onProof(
    proof: {
      revision: number;
      hash: string;
      provenAtMillis: number;
      peer: string;
    },
  ): void;
  /** Records changed. */
  onChange(): void;
  onSuspects(suspects: CrashSuspect[]): void;
  /** Bytes and messages, for metrics. */
  onTraffic(direction: "sent" | "received", bytes: number): void;
}

/** Options of {@link HeartbeatMesh}. */
export interface HeartbeatMeshOptions {
  table: MembershipTable;
  secret: string;
  heartbeatMillis: number;
  suspectAfterMillis: number;
  log: EventLog;
  now: () => number;
  proof: () => BeatProof;
  suspects: () => CrashSuspect[];
  listener: MeshListener;
}

/** Beats between other data centres are this many times rarer. */
const relayBeatDivisor = 2;
/** Failed attempts to open a stream before a silent peer counts as dead. */
const refusalsUntilDead = 2;
const reopenDelayMillis = 150;
/** How long a contact may take. */
const contactMillis = 2000;
/** Beats after which refused peers are tried again. */
const replanBeats = 20;

/** Keeps heartbeats going with the planned peers. */
export class HeartbeatMesh {
  readonly #options: HeartbeatMeshOptions;
  readonly #opened = new Map<string, BeatLink>();
  readonly #accepted = new Map<string, BeatLink>();
  readonly #refusals = new Map<
    string,
    { count: number; notBeforeMillis: number }
  >();
  readonly #heard = new Map<string, number>();
  readonly #heardFrom = new Map<string, number>();
  readonly #reports = new Map<string, string[]>();
  #startedAtMillis = 0;
  #suspectsVersion = 1;
  #beat = 0;
  #timer: NodeJS.Timeout | undefined;
  #kicked = false;
  #plannedFor = -1;
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

  /** Sends a beat on every stream soon, for news that must not wait. */
  sendSoon(): void {
    if (this.#kicked) return;
    this.#kicked = true;
    setImmediate(() => {
      this.#kicked = false;
      this.#openMissing();
      this.#sendAll({ relays: true });
    });
  }

  /** Tells all streams that the list of suspects grew. */
  sendSuspectsSoon(): void {
    this.#suspectsVersion++;
    this.sendSoon();
  }

  /** Serves a stream that a peer opened. */
  accept(stream: BeatStream): void {
    let link: BeatLink | undefined;
    stream.on("data", (beat) => {
      if (beat.contact) return this.#answerContact(stream, beat);
      link ??= this.#addAccepted(beat.sender, stream);
      this.#receive(link, beat);
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

  /** Introduces this instance to the one at `address`, and asks whom it knows. */
  contact(address: string): void {
    const connection = connectPeer(address, this.#options.secret);
    const stream = connection.client.exchange(connection.metadata);
    const close = () => {
      clearTimeout(timer);
      stream.cancel();
      connection.close();
    };
    const timer = setTimeout(close, contactMillis);
    stream.on("error", close);
    stream.on("data", (beat) => {
      this.#mergeRecords(beat);
      close();
    });
    stream.write({
      ...this.#assembleBeat(this.#contactLink(stream)),
      contact: true,
    });
  }

  #answerContact(stream: BeatStream, beat: Heartbeat): void {
    this.#mergeRecords(beat);
    stream.write(
      this.#assembleBeat(this.#contactLink(stream)),
      () => stream.end(),
    );
  }

  #contactLink(stream: BeatStream): BeatLink {
    return new BeatLink({ peer: "", stream, scope: { kind: "contact" } });
  }

  #mergeRecords(beat: Heartbeat): void {
    const now = this.#options.now();
    let changed = false;
    for (const record of beat.records) {
      changed = this.#options.table.merge(fromWireRecord(record), now) ||
        changed;
    }
    if (changed) this.#options.listener.onChange();
  }

  #addAccepted(peer: string, stream: BeatStream): BeatLink {
    const known = this.#options.table.get(peer);
    const own = this.#options.table.self.dataCentre;
    const scope: StreamScope = known === undefined || known.dataCentre === own
      ? { kind: "mesh" }
      : { kind: "relay", dataCentre: known.dataCentre };
    const link = new BeatLink({ peer, stream, scope });
    this.#accepted.set(peer, link);
    return link;
  }

  #tick(): void {
    this.#beat++;
    const now = this.#options.now();
    this.#options.table.forgetOld(now);
    if (this.#beat % replanBeats === 0) this.#forgetRefusals();
    this.#openMissing();
    this.#findSilent(now);
    this.#sendAll({ relays: this.#beat % relayBeatDivisor === 0 });
  }

  /** Gives refused peers another chance now and then. */
  #forgetRefusals(): void {
    if (this.#refusals.size === 0) return;
    this.#refusals.clear();
    this.#plannedFor = -1;
  }

  /** Data centres from which this relay hears nothing; empty on others. */
  #unheard(): string[] {
    if (this.#options.table.ownRelayRank() < 0) return [];
    const now = this.#options.now();
    const unheard: string[] = [];
    for (const planned of this.#plan) {
      if (planned.scope.kind !== "relay") continue;
      const { dataCentre } = planned.scope;
      const heard = this.#heardFrom.get(dataCentre) ?? this.#startedAtMillis;
      if (now - heard > this.#options.suspectAfterMillis * relayBeatDivisor) {
        unheard.push(dataCentre);
      }
    }
    return unheard;
  }

  /** Data centres that all of this data centre's relays fail to hear. */
  unreachableDataCentres(): Set<string> {
    const { table } = this.#options;
    const reports = table.relaysOf(table.self.dataCentre).map((relay) =>
      relay.id === table.self.id
        ? this.#unheard()
        : this.#reports.get(relay.id) ?? []
    );
    const [first = [], ...others] = reports;
    return new Set(
      first.filter((id) => others.every((other) => other.includes(id))),
    );
  }

  #replan(): void {
    const { table } = this.#options;
    if (this.#plannedFor === table.membershipVersion) return;
    this.#plannedFor = table.membershipVersion;
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
    const link = new BeatLink({
      peer: planned.id,
      stream,
      scope: planned.scope,
      connection,
    });
    this.#opened.set(planned.id, link);
    stream.on("data", (beat) => this.#receive(link, beat));
    stream.on("end", () => this.#onBroken(link));
    stream.on("error", () => this.#onBroken(link));
    this.#send(link);
  }

  #onBroken(link: BeatLink): void {
    if (this.#opened.get(link.peer) !== link) return;
    this.#opened.delete(link.peer);
    link.close();
    const now = this.#options.now();
    const count = link.wasHeard
      ? 0
      : (this.#refusals.get(link.peer)?.count ?? 0) + 1;
    const delay = reopenDelayMillis * (count + 1);
    this.#refusals.set(link.peer, {
      count,
      notBeforeMillis: now + Math.min(delay, 2000),
    });
    if (count >= refusalsUntilDead) {
      if (link.scope.kind === "mesh") this.#declareDead(link.peer, "refused");
      else this.#plannedFor = -1;
    }
    const timer = setTimeout(() => this.#openMissing(), delay + 1);
    timer.unref();
  }

  #isRefused(peer: string): boolean {
    return (this.#refusals.get(peer)?.count ?? 0) >= refusalsUntilDead;
  }

  #findSilent(now: number): void {
    for (const planned of this.#plan) {
      if (planned.scope.kind !== "mesh") continue;
      const heard = this.#heard.get(planned.id);
      if (heard === undefined) {
        this.#heard.set(planned.id, now);
        if (!planned.initiate) this.contact(planned.address);
        continue;
      }
      if (now - heard <= this.#options.suspectAfterMillis) continue;
      const state = this.#options.table.get(planned.id)?.state;
      if (state !== InstanceState.dead) this.#declareDead(planned.id, "silent");
    }
  }

  #declareDead(peer: string, reason: string): void {
    if (!this.#options.table.declareDead(peer, this.#options.now())) return;
    this.#options.log.warn("instance_dead", { instance: peer, reason });
    this.#heard.delete(peer);
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

  #send(link: BeatLink): void {
    const { table, listener } = this.#options;
    const beat = this.#assembleBeat(link);
    link.sentChange = table.change;
    link.sentSuspects = this.#suspectsVersion;
    link.stream.write(
      beat,
      () => listener.onTraffic("sent", heartbeatBytes(beat)),
    );
  }

  #assembleBeat(link: BeatLink): Heartbeat {
    const { table } = this.#options;
    const proof = this.#options.proof();
    const finite = Number.isFinite(proof.freshAgeMillis);
    return {
      sender: table.self.id,
      incarnation: table.self.incarnation,
      sequence: link.nextSequence(this.#options.now()),
      echoSequence: link.lastReceived,
      records: table.changesSince(link.sentChange, link.scope).map(
        toWireRecord,
      ),
      revision: proof.revision,
      configHash: proof.hash,
      freshAgeMillis: finite ? proof.freshAgeMillis : -1,
      suspects: link.sentSuspects < this.#suspectsVersion
        ? this.#options.suspects()
        : [],
      unreachable: link.scope.kind === "mesh" ? this.#unheard() : [],
      contact: false,
    };
  }

  #receive(link: BeatLink, beat: Heartbeat): void {
    const { listener } = this.#options;
    const now = this.#options.now();
    link.noteReceived(beat);
    this.#heard.set(link.peer, now);
    this.#refusals.delete(link.peer);
    if (link.scope.kind === "relay") {
      this.#heardFrom.set(link.scope.dataCentre, now);
    } else this.#reports.set(link.peer, beat.unreachable);
    listener.onTraffic("received", heartbeatBytes(beat));
    this.#mergeRecords(beat);
    if (beat.suspects.length > 0) listener.onSuspects(beat.suspects);
    this.#readProof(link, beat);
    this.#refineScope(link);
  }

  #readProof(link: BeatLink, beat: Heartbeat): void {
    if (beat.revision === 0) return;
    this.#options.listener.onProof({
      revision: beat.revision,
      hash: beat.configHash,
      provenAtMillis: link.provenAtMillis(beat),
      peer: link.peer,
    });
  }

  /** An accepted stream learns where its peer is from the first record. */
  #refineScope(link: BeatLink): void {
    const known: InstanceRecord | undefined = this.#options.table.get(
      link.peer,
    );
    if (known === undefined) return;
    const mesh = known.dataCentre === this.#options.table.self.dataCentre;
    if (mesh === (link.scope.kind === "mesh")) return;
    link.scope = mesh
      ? { kind: "mesh" }
      : { kind: "relay", dataCentre: known.dataCentre };
    link.sentChange = 0;
  }
}
