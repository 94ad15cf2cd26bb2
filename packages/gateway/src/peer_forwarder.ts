/**
 * Forwards requests to other entries, and owns the connections to them. An entry
 * forwards what it has no reachable target for; the entry that receives it sends it
 * to a target as if a caller had sent it there.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import { choosePeer } from "@bamboolane/steering/choose_peer";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import type { AnswerPacer } from "./answer_pacer.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import type { DescriptorBudget } from "./descriptor_budget.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { GatewayState } from "./gateway_state.ts";
import { type AttemptEnd, sendAttempt } from "./send_attempt.ts";
import { TargetConnections } from "./target_connections.ts";

/** Options of {@link PeerForwarder}. */
export interface PeerForwarderOptions {
  settings: GatewaySettings;
  dialect: CallerDialect;
  state: GatewayState;
  descriptors: DescriptorBudget;
  answerPacer: AnswerPacer;
  log: EventLog;
  random: () => number;
}

/** Maximum number of entries that one request is forwarded to. */
const MAX_FORWARDS = 3;
/**
 * Share of a service's slots that this entry must be unable to use before it
 * forwards: the other entries don't reach single targets that crashed either.
 */
const MIN_UNREACHABLE_SHARE = 0.25;

/** Forwards the requests of one entry. */
export class PeerForwarder {
  readonly #options: PeerForwarderOptions;
  readonly #connections = new Map<string, TargetConnections>();
  /** Requests under way, by entry. */
  readonly #inFlight = new Map<string, number>();

  constructor(options: PeerForwarderOptions) {
    this.#options = options;
  }

  /**
   * Chooses the entry for a request; undefined if the request must not or need not be
   * forwarded, or if no entry can take it.
   */
  choose(request: GatewayRequest, nowMillis: number): EntryRecord | undefined {
    const { settings, state, random } = this.#options;
    if (request.isForwarded || request.triedEntries.size >= MAX_FORWARDS) {
      return undefined;
    }
    if (!this.#lacksTargets(request.service, nowMillis)) return undefined;
    return choosePeer(state.members.serving(nowMillis), {
      self: settings.instance,
      service: request.service,
      allowedRegions: request.route.allowedRegions,
      exclude: request.triedEntries,
      forwardedTo: (id) => this.#inFlight.get(id) ?? 0,
      random: random(),
    });
  }

  /** Forwards a request; `onEnd` gets the result unless the request is aborted. */
  forward(
    request: GatewayRequest,
    options: {
      peer: EntryRecord;
      onEnd: (end: AttemptEnd) => void;
      onFault: (error: Error) => void;
    },
  ): void {
    const { dialect, log } = this.#options;
    const { peer, onEnd, onFault } = options;
    const nowMillis = performance.now();
    const remainingMillis = request.expiresAtMillis - nowMillis;
    const connections = this.#connectionsTo(peer.peerAddress);
    const connection = connections.acquire(request.id, nowMillis);
    this.#adjust(peer.id, 1);
    log.info("forward", {
      request: request.id,
      peer: peer.id,
      service: request.service,
      arrivals: request.arrivals,
      leftMillis: Math.round(remainingMillis),
    });
    const finish = (isReusable: boolean) => {
      request.abort = undefined;
      this.#adjust(peer.id, -1);
      if (isReusable) connections.release(connection, performance.now());
      else connections.discard(connection);
    };
    const abort = sendAttempt(request, {
      connection,
      dialect,
      recipient: {
        kind: "entry",
        state: {
          sends: request.arrivals,
          elapsedMillis: nowMillis - request.arrivedAtMillis,
        },
      },
      remainingMillis,
      onHead: () => {},
      onEnd: (end) => {
        if (end.kind === "lost" && end.namedRequest !== undefined) {
          connections.recordSurplusAnswer(performance.now());
          log.warn("answer_unmatched", {
            request: request.id,
            peer: peer.id,
            named: end.namedRequest,
          });
        }
        if (end.kind === "not-run") connection.carriedRefusal = true;
        finish(isComplete(end) && !end.closesConnection);
        onEnd(end);
      },
      onFault,
    });
    request.abort = (reason) => {
      abort(reason);
      finish(false);
    };
  }

  /** Closes all idle connections. */
  closeIdleConnections(): void {
    for (const connections of this.#connections.values()) {
      connections.closeIdle();
    }
  }

  /** Closes idle connections to entries that are no longer known; called periodically. */
  closeUnusedConnections(): void {
    const used = new Set(
      this.#options.state.members.all().map(({ record }) => record.peerAddress),
    );
    for (const [address, connections] of this.#connections) {
      if (used.has(address)) continue;
      connections.closeIdle();
      if (connections.open === 0) this.#connections.delete(address);
    }
  }

  stop(): void {
    this.closeIdleConnections();
  }

  #lacksTargets(service: string, nowMillis: number): boolean {
    let slots = 0;
    let unreachable = 0;
    for (const target of this.#options.state.targets.forService(service)) {
      if (target.isLeaving()) continue;
      slots += target.record.slots;
      if (target.isRecovering(nowMillis)) unreachable += target.record.slots;
    }
    return unreachable > 0 && unreachable >= MIN_UNREACHABLE_SHARE * slots;
  }

  #connectionsTo(address: string): TargetConnections {
    let connections = this.#connections.get(address);
    if (connections === undefined) {
      connections = new TargetConnections(address, {
        descriptors: this.#options.descriptors,
        pacer: this.#options.answerPacer,
        onConnected: () => {},
      });
      this.#connections.set(address, connections);
    }
    return connections;
  }

  #adjust(peer: string, change: number): void {
    this.#inFlight.set(peer, (this.#inFlight.get(peer) ?? 0) + change);
  }
}

function isComplete(
  end: AttemptEnd,
): end is AttemptEnd & { closesConnection: boolean } {
  return end.kind === "answered" || end.kind === "not-run" ||
    end.kind === "streamed";
}
