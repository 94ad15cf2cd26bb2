/**
 * One heartbeat stream's state: what the other side has been told, and when
 * which beat was sent, so that an echoed beat dates a proof.
 */
import type { Heartbeat } from "@bamboolane/wire/generated/bamboolane/v1/peer";
import type { PeerConnection } from "@bamboolane/wire/peer_channel";
import type { StreamScope } from "./membership_table.ts";

/** A stream of heartbeats, whichever side opened it. */
export interface BeatStream {
  write(beat: Heartbeat, done: () => void): unknown;
  end(): void;
  on(event: "data", listener: (beat: Heartbeat) => void): unknown;
  on(event: "end" | "close", listener: () => void): unknown;
  on(event: "error", listener: (error: Error) => void): unknown;
}

/** Unanswered beats whose times are remembered. */
const maxRemembered = 64;

/** What a link is made of. */
export interface BeatLinkOptions {
  peer: string;
  scope: StreamScope;
  stream: BeatStream;
  /** Present where this side opened the stream. */
  connection?: PeerConnection;
}

/** State of one stream. */
export class BeatLink {
  readonly peer: string;
  readonly stream: BeatStream;
  scope: StreamScope;
  /** Number of the member table's change up to which records were sent. */
  sentChange = 0;
  /** Version of the list of suspects that was sent. */
  sentSuspects = 0;
  readonly #connection: PeerConnection | undefined;
  readonly #sentAtMillis = new Map<number, number>();
  #sequence = 0;
  #lastReceived = 0;

  constructor(options: BeatLinkOptions) {
    this.peer = options.peer;
    this.scope = options.scope;
    this.stream = options.stream;
    this.#connection = options.connection;
  }

  /** True once the other side sent a beat. */
  get wasHeard(): boolean {
    return this.#lastReceived > 0;
  }

  /** Sequence of the newest beat from the other side; 0 before the first. */
  get lastReceived(): number {
    return this.#lastReceived;
  }

  /** Sequence for the next beat, which is sent now. */
  nextSequence(nowMillis: number): number {
    this.#sequence++;
    this.#sentAtMillis.set(this.#sequence, nowMillis);
    this.#sentAtMillis.delete(this.#sequence - maxRemembered);
    return this.#sequence;
  }

  noteReceived(beat: Heartbeat): void {
    this.#lastReceived = beat.sequence;
  }

  /**
   * Moment at which the beat's revision was surely the newest: it dates from
   * before the beat of ours that the peer had seen by then.
   */
  provenAtMillis(beat: Heartbeat): number {
    const sentAt = this.#sentAtMillis.get(beat.echoSequence);
    if (sentAt === undefined || beat.freshAgeMillis < 0) return -Infinity;
    return sentAt - beat.freshAgeMillis;
  }

  close(): void {
    this.stream.end();
    this.#connection?.close();
  }
}
