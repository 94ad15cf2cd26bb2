/**
 * Heartbeats between entries, as datagrams: who serves, what is in flight at
 * which target, which state versions are known, which requests crashed
 * targets. A lost datagram costs nothing, the next one carries all of it.
 */
import { createSocket, type Socket } from "node:dgram";
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { CrashSuspect } from "@bamboolane/types/instance";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import type { GatewayState } from "./gateway_state.ts";

/** One heartbeat. */
interface Heartbeat {
  entry: EntryRecord;
  serving: boolean;
  /** Newest versions of the operator's and the targets' table. */
  versions: [number, number];
  inFlight: Record<string, number>;
  suspects: CrashSuspect[];
}

/** Options of {@link PeerTask}. */
export interface PeerOptions {
  self: EntryRecord;
  state: GatewayState;
  log: EventLog;
  isServing: () => boolean;
  versions: () => [number, number];
  inFlight: () => Record<string, number>;
  /** A peer knows newer state than this entry. */
  onAhead: (peer: EntryRecord, versions: [number, number]) => void;
}

/** Between entries of a region: a few times faster than short requests end. */
const nearIntervalMillis = 150;
/** Between regions: links are priced, and loads there matter less. */
const farIntervals = 4;
/** Crash suspects in one heartbeat; a datagram must stay small. */
const maxSuspects = 8;

/** Task that owns the datagram socket. */
export class PeerTask {
  readonly #options: PeerOptions;
  readonly #socket: Socket;
  #timer: NodeJS.Timeout | undefined;
  #beat = 0;

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
        this.#timer = setInterval(() => this.#tick(), nearIntervalMillis);
        resolve();
      });
    });
  }

  /** Tells all peers at once, when the state of this entry changes. */
  announce(): void {
    for (const { record } of this.#options.state.members.all()) {
      if (record.id !== this.#options.self.id) this.#send(record);
    }
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#socket.close();
  }

  #tick(): void {
    const { self, state } = this.#options;
    this.#beat++;
    for (const { record } of state.members.all()) {
      if (record.id === self.id) continue;
      const near = record.region === self.region;
      if (near || this.#beat % farIntervals === 0) this.#send(record);
    }
  }

  #encode(): Buffer {
    const { self, state, isServing, versions, inFlight } = this.#options;
    const beat: Heartbeat = {
      entry: self,
      serving: isServing(),
      versions: versions(),
      inFlight: inFlight(),
      suspects: state.crashes.list(performance.now()).slice(-maxSuspects),
    };
    return Buffer.from(JSON.stringify(beat));
  }

  #send(peer: EntryRecord): void {
    const [host, port] = peer.peerAddress.split(":");
    this.#socket.send(this.#encode(), Number(port), host, (error) => {
      if (error) {
        this.#options.log.debug("heartbeat_unsent", {
          peer: peer.id,
          error: error.message,
        });
      }
    });
  }

  #receive(bytes: Buffer): void {
    const { state, log, onAhead } = this.#options;
    let beat: Heartbeat;
    try {
      beat = JSON.parse(bytes.toString("utf8")) as Heartbeat;
    } catch (error) {
      log.warn("heartbeat_unreadable", { error: (error as Error).message });
      return;
    }
    const nowMillis = performance.now();
    const isNew = state.members.hear(beat.entry, {
      serving: beat.serving,
      inFlight: new Map(Object.entries(beat.inFlight)),
    }, nowMillis);
    if (isNew) {
      log.info("peer_heard", {
        peer: beat.entry.id,
        incarnation: beat.entry.incarnation,
      });
      this.#send(beat.entry);
    }
    for (const suspect of beat.suspects) {
      state.crashes.merge(suspect, nowMillis);
    }
    const [operator, targets] = this.#options.versions();
    if (beat.versions[0] > operator || beat.versions[1] > targets) {
      onAhead(beat.entry, beat.versions);
    }
  }
}
