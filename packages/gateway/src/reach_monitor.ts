/**
 * Finds out which targets this entry can connect to. It tries connections besides
 * those of requests, where planReachChecks finds reason to, and records the results
 * in the targets' state.
 */
import { connect } from "node:net";
import type { EventLog } from "@bamboolane/logger/create_logger";
import {
  findCutOffTargets,
  planReachChecks,
  type ReachCheck,
  type ReachState,
} from "@bamboolane/steering/plan_reach_checks";
import {
  AttemptResult,
  type TargetState,
} from "@bamboolane/steering/target_state";
import type { GatewayState } from "./gateway_state.ts";
import type { RoundTripEstimates } from "./round_trip_estimates.ts";
import { pollSockets } from "./stall_monitor.ts";

/** Options of {@link ReachMonitor}. */
export interface ReachMonitorOptions {
  state: GatewayState;
  roundTrips: RoundTripEstimates;
  log: EventLog;
  /** Called after a failed check. */
  onUnreachable: (target: TargetState) => void;
  /** Called when a target became reachable again. */
  onReachable: () => void;
}

const PLAN_INTERVAL_MILLIS = 100;
/** Minimum time between two checks of silent targets: bounds their cost. */
const SILENT_CHECK_INTERVAL_MILLIS = 1000;
/** Timeout of a check in addition to the round trips of a connection. */
const CHECK_TIMEOUT_MILLIS = 250;
/** Round trips after which a connection counts as failed. */
const CHECK_ROUND_TRIPS = 3;

/** Task that owns the connections of the checks. */
export class ReachMonitor {
  readonly #options: ReachMonitorOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #states = new WeakMap<TargetState, ReachState>();
  #silentCheckAtMillis = -Infinity;

  constructor(options: ReachMonitorOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#plan(), PLAN_INTERVAL_MILLIS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #plan(): void {
    const nowMillis = performance.now();
    this.#recordCutOff(nowMillis);
    const states: ReachState[] = [];
    for (const target of this.#options.state.targets.all()) {
      states.push(this.#stateOf(target));
    }
    const checks = planReachChecks(states, {
      nowMillis,
      silentCheckAllowed: nowMillis - this.#silentCheckAtMillis >=
        SILENT_CHECK_INTERVAL_MILLIS,
    });
    for (const check of checks) {
      if (check.reason === "silent") this.#silentCheckAtMillis = nowMillis;
      this.#check(check, nowMillis).catch((error: Error) =>
        this.#options.log.error("reach_check_failed", { error: error.message })
      );
    }
  }

  /** An entry that is cut off need not try each of many targets to know. */
  #recordCutOff(nowMillis: number): void {
    const { state, log, onUnreachable } = this.#options;
    const targets = findCutOffTargets([...state.targets.all()], nowMillis);
    if (targets.length === 0) return;
    log.warn("cut_off", { targets: targets.length });
    for (const target of targets) target.presumeUnreachable();
    for (const target of targets) onUnreachable(target);
  }

  #stateOf(target: TargetState): ReachState {
    let state = this.#states.get(target);
    if (state === undefined) {
      state = { target, checkedAtMillis: -Infinity, checking: false };
      this.#states.set(target, state);
    }
    return state;
  }

  async #check(check: ReachCheck, startMillis: number): Promise<void> {
    const { target, reason } = check;
    const { state, roundTrips, log } = this.#options;
    const reach = this.#stateOf(target);
    reach.checkedAtMillis = startMillis;
    reach.checking = true;
    const failure = await tryConnection(target.record.address, {
      timeoutMillis: CHECK_TIMEOUT_MILLIS +
        CHECK_ROUND_TRIPS * roundTrips.estimateMillis(target),
    });
    reach.checking = false;
    if (state.targets.get(target.record.id) !== target) return;
    const nowMillis = performance.now();
    if (failure === undefined) {
      const wasUnreachable = target.isUnreachable;
      target.recordConnected(nowMillis);
      if (!wasUnreachable) return;
      log.info("target_reachable", { target: target.record.id });
      return this.#options.onReachable();
    }
    // The next silent target may be behind the same link.
    if (reason === "silent") this.#silentCheckAtMillis = -Infinity;
    if (!target.isUnreachable) {
      log.warn("target_unreachable", {
        target: target.record.id,
        reason: failure,
        check: reason,
      });
    }
    target.recordResult(AttemptResult.unreachable, {
      nowMillis,
      warmupMillis: state.warmupMillis(target.record.service),
    });
    this.#options.onUnreachable(target);
  }
}

/** Opens and closes a connection; resolves to the reason if that fails. */
function tryConnection(
  address: string,
  options: { timeoutMillis: number },
): Promise<string | undefined> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const finish = (failure: string | undefined) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(failure);
    };
    const timer = setTimeout(async () => {
      // A late loop runs due timers before it sees that the connection was made.
      await pollSockets();
      finish("timeout");
    }, options.timeoutMillis);
    socket.once("connect", () => finish(undefined));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) => finish(error.code ?? error.message),
    );
  });
}
