/**
 * State of one heartbeat stream: which changes were sent to the peer, and when
 * each recent heartbeat was sent. A heartbeat echoes the sequence number of the
 * latest one received; the send time of the echoed heartbeat bounds the age of
 * the peer's proof that its configuration revision is the newest.
 */
import type { Heartbeat } from "@bamboolane/wire/generated/bamboolane/v1/peer";
import type { PeerConnection } from "@bamboolane/wire/peer_channel";
import type { StreamScope } from "./membership_table.ts";

/** A stream of heartbeats, whichever side opened it. */
export interface HeartbeatStream {
  write(heartbeat: Heartbeat, done: () => void): unknown;
  end(): void;
  on(event: "data", listener: (heartbeat: Heartbeat) => void): unknown;
  on(event: "end" | "close", listener: () => void): unknown;
  on(event: "error", listener: (error: Error) => void): unknown;
}

/**
 * Latest heartbeats whose send times are kept. If the peer echoes an older one,
 * the age of its proof is unknown.
 */
const MAX_TRACKED_HEARTBEATS = 64;

/** Options of {@link HeartbeatLink}. */
export interface HeartbeatLinkOptions {
  /** Id of the peer; empty for a contact. */
  peer: string;
  scope: StreamScope;
  stream: HeartbeatStream;
  /** Set if this side opened the stream; closed with the link. */
  connection?: PeerConnection;
}

/** State of one heartbeat stream. */
export class HeartbeatLink {
  readonly peer: string;
  readonly stream: HeartbeatStream;
  scope: StreamScope;
  /** Latest change of the membership table that was sent. */
  lastSentChange = 0;
  /** Version of the suspect list that was sent last. */
  lastSentSuspectsVersion = 0;
  readonly #connection: PeerConnection | undefined;
  readonly #sentAtMillis = new Map<number, number>();
  #sequence = 0;
  #lastReceivedSequence = 0;

  constructor(options: HeartbeatLinkOptions) {
    this.peer = options.peer;
    this.scope = options.scope;
    this.stream = options.stream;
    this.#connection = options.connection;
  }

  /** True once the peer has sent a heartbeat. */
  get hasReceived(): boolean {
    return this.#lastReceivedSequence > 0;
  }

  /** Sequence number of the peer's latest heartbeat; 0 before the first. */
  get lastReceivedSequence(): number {
    return this.#lastReceivedSequence;
  }

  /** Returns the next sequence number and stores `nowMillis` as its send time. */
  nextSequence(nowMillis: number): number {
    this.#sequence++;
    this.#sentAtMillis.set(this.#sequence, nowMillis);
    this.#sentAtMillis.delete(this.#sequence - MAX_TRACKED_HEARTBEATS);
    return this.#sequence;
  }

  recordReceived(heartbeat: Heartbeat): void {
    this.#lastReceivedSequence = heartbeat.sequence;
  }

  /**
   * Earliest time, on this instance's clock, at which the peer's revision can
   * have been proven to be the newest. The peer sent this heartbeat after it
   * received the echoed one, so its proof is at most `freshAgeMillis` older
   * than the echoed heartbeat. -Infinity without a proof or a known echo.
   */
  provenAtMillis(heartbeat: Heartbeat): number {
    const sentAt = this.#sentAtMillis.get(heartbeat.echoSequence);
    if (sentAt === undefined || heartbeat.freshAgeMillis < 0) return -Infinity;
    return sentAt - heartbeat.freshAgeMillis;
  }

  close(): void {
    this.stream.end();
    this.#connection?.close();
  }
}
