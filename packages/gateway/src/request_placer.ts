/**
 * Decides which target a request goes to and whether it is admitted, from the
 * current state of one entry. The decision functions come from the steering
 * package; the placer supplies their input and keeps the queue of each service.
 */
import {
  type Admission,
  admitRequest,
  expectedWaitMillis,
} from "@bamboolane/steering/admit_request";
import { findHomes, type ObjectHomes } from "@bamboolane/steering/object_homes";
import {
  type Placement,
  placeRequest,
} from "@bamboolane/steering/place_request";
import {
  initialRemoteShare,
  RemoteShare,
} from "@bamboolane/steering/remote_share";
import type { WorkTimeEstimate } from "@bamboolane/steering/work_time_estimate";
import type { TargetState } from "@bamboolane/steering/target_state";
import { WaitQueue } from "@bamboolane/steering/wait_queue";
import { WindowCounter } from "@bamboolane/steering/window_counter";
import type { GatewayRequest } from "./gateway_request.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { GatewayState } from "./gateway_state.ts";
import type { RoundTripEstimates } from "./round_trip_estimates.ts";

/** Options of {@link RequestPlacer}. */
export interface PlacerOptions {
  settings: GatewaySettings;
  state: GatewayState;
  roundTrips: RoundTripEstimates;
  random: () => number;
  /** Overrides of single decision functions; replays compare policies with them. */
  decisions?: Partial<Decisions>;
}

/** The decision functions of a placer. */
export interface Decisions {
  place: typeof placeRequest;
  admit: typeof admitRequest;
  findHomes: typeof findHomes;
  createQueue: () => WaitQueue<GatewayRequest>;
}

const DEFAULT_DECISIONS: Decisions = {
  place: placeRequest,
  admit: admitRequest,
  findHomes,
  createQueue: () => new WaitQueue(),
};

/** Queue and measurements of one service. */
export interface ServiceState {
  queue: WaitQueue<GatewayRequest>;
  /** Requests sent to targets, with or without a wait in the queue. */
  departures: WindowCounter;
  /** Share of objects that other regions serve, and the service's load. */
  remoteShare: RemoteShare;
}

/** Window over which the departure rate is measured. */
const DEPARTURE_WINDOW_MILLIS = 2000;
/** Minimum retry delay of callers while no target is usable; jitter adds up to the same again. */
const NO_TARGET_RETRY_MILLIS = 500;

const NO_HOMES: ObjectHomes = { first: undefined, second: undefined };

/** Places and admits the requests of one entry. */
export class RequestPlacer {
  readonly #options: PlacerOptions;
  readonly #decisions: Decisions;
  readonly #serviceStates = new Map<string, ServiceState>();

  constructor(options: PlacerOptions) {
    this.#options = options;
    this.#decisions = { ...DEFAULT_DECISIONS, ...options.decisions };
  }

  /** State of all services, by name. */
  get serviceStates(): ReadonlyMap<string, ServiceState> {
    return this.#serviceStates;
  }

  /** Chooses the target of a request from the current state. */
  place(request: GatewayRequest, nowMillis: number): Placement {
    const { state } = this.#options;
    const { allowedRegions } = request.route;
    const targets = state.targets.forService(request.service);
    for (const target of targets) {
      target.recordPeerInFlight(
        state.members.inFlightAt(target.record.id, nowMillis),
      );
    }
    const isAllowed = (target: TargetState) =>
      !state.isEvacuated(target.record.dataCentre) &&
      (allowedRegions.length === 0 ||
        allowedRegions.includes(state.region(target)));
    const estimate = this.estimate(request);
    const workMillis = estimate.meanMillis();
    const remoteWeight = this.#remoteWeight(request.service, targets, {
      workMillis,
      nowMillis,
    });
    const weightOf = (target: TargetState) => {
      if (target.isLeaving() || !isAllowed(target)) return 0;
      return target.usableSlots(workMillis) *
        (this.#isLocal(target) ? 1 : remoteWeight);
    };
    return this.#decisions.place(targets, {
      object: request.object,
      nowMillis,
      estimate,
      load: this.serviceState(request.service).remoteShare.load,
      objectiveRemainingMillis: request.objectiveAtMillis - nowMillis,
      roundTripMillis: (target) =>
        this.#options.roundTrips.estimateMillis(target),
      homes: request.object === undefined
        ? NO_HOMES
        : this.#decisions.findHomes(request.object, targets, weightOf),
      isAllowed,
      warmupShare: (target) => state.warmupShare(target),
      limitShare: (target) => state.limitShare(target, nowMillis),
      exclude: request.triedTargets,
    });
  }

  #isLocal(target: TargetState): boolean {
    const { settings, state } = this.#options;
    return state.region(target) === settings.instance.region;
  }

  /**
   * Updates the service's remote share from the current load; returns the weight
   * of slots in other regions in the choice of its objects' home targets.
   */
  #remoteWeight(
    service: string,
    targets: readonly TargetState[],
    options: { workMillis: number; nowMillis: number },
  ): number {
    const { workMillis, nowMillis } = options;
    const local = { inFlight: 0, slots: 0 };
    const remote = { inFlight: 0, slots: 0 };
    for (const target of targets) {
      if (target.isLeaving()) continue;
      if (this.#options.state.isEvacuated(target.record.dataCentre)) continue;
      const side = this.#isLocal(target) ? local : remote;
      side.slots += target.usableSlots(workMillis);
      side.inFlight += target.inFlight(nowMillis);
    }
    const { remoteShare } = this.serviceState(service);
    remoteShare.update(local, remote, {
      nowMillis,
      peerMeanShare: this.#options.state.shares.mean(service, nowMillis),
      initialShare: this.#initialRemoteShare(
        local.slots,
        local.slots + remote.slots,
      ),
    });
    return remoteShare.remoteWeight(local, remote);
  }

  /**
   * Share to start with, from the slots of this region and of all regions;
   * undefined until all entries are known.
   */
  #initialRemoteShare(local: number, all: number): number | undefined {
    const { members } = this.#options.state;
    if (!members.isComplete) return undefined;
    const { region } = this.#options.settings.instance;
    const entries = {
      local: members.idsInRegion(region).length + 1,
      all: members.count,
    };
    return initialRemoteShare(entries, { local, all });
  }

  /** Share of objects that other regions serve, by service. */
  remoteShares(): Record<string, number> {
    const shares: Record<string, number> = {};
    for (const [service, { remoteShare }] of this.#serviceStates) {
      shares[service] = Math.round(remoteShare.share * 1000) / 1000;
    }
    return shares;
  }

  /** Work time estimate of a request's service. */
  estimate(request: GatewayRequest): WorkTimeEstimate {
    return this.#options.state.estimate(
      request.service,
      request.route.objectiveMillis,
    );
  }

  /** Time to the answer of a request that is queued behind `ahead` others. */
  expectedMillis(
    request: GatewayRequest,
    options: { ahead: number; nowMillis: number },
  ): number {
    const { ahead, nowMillis } = options;
    const { departures } = this.serviceState(request.service);
    const departuresPerSecond = departures.read(nowMillis) * 1000 /
      DEPARTURE_WINDOW_MILLIS;
    return expectedWaitMillis(ahead, departuresPerSecond) +
      this.estimate(request).meanMillis();
  }

  /** Decides whether an arriving request is admitted. */
  admit(
    request: GatewayRequest,
    placement: Placement,
    nowMillis: number,
  ): Admission {
    const { random } = this.#options;
    const { queue, departures, remoteShare } = this.serviceState(
      request.service,
    );
    if (placement.kind === "none" && placement.usableAtMillis === Infinity) {
      const retryAfterMillis = NO_TARGET_RETRY_MILLIS * (1 + random());
      return {
        kind: "refuse",
        retryAfterMillis,
        expectedMillis: Infinity,
        boundMillis: request.expiresAtMillis - nowMillis,
      };
    }
    const expectedWorkMillis = this.estimate(request).meanMillis();
    const departuresPerSecond = Math.max(
      departures.read(nowMillis) * 1000 / DEPARTURE_WINDOW_MILLIS,
      this.#minDeparturesPerSecond(placement, expectedWorkMillis),
    );
    const isSentNow = placement.kind === "send" && queue.length === 0;
    const queueWaitMillis = isSentNow
      ? 0
      : expectedWaitMillis(queue.length, departuresPerSecond);
    const targetWaitMillis = placement.kind === "send"
      ? placement.waitMillis
      : 0;
    const admission = this.#decisions.admit({
      waitMillis: queueWaitMillis + targetWaitMillis,
      serviceMillis: placement.kind === "none"
        ? placement.usableAtMillis - nowMillis + expectedWorkMillis
        : placement.finishMillis - targetWaitMillis,
      remainingMillis: request.expiresAtMillis - nowMillis,
      objectiveRemainingMillis: request.objectiveAtMillis - nowMillis,
      load: remoteShare.load,
      isEstimateStale: departures.read(nowMillis) === 0,
      random: random(),
    });
    if (admission.kind === "accept") return admission;
    return {
      ...admission,
      retryAfterMillis: this.#pauseRetryAfterMillis(request, {
        placement,
        nowMillis,
      }) ?? admission.retryAfterMillis,
    };
  }

  /**
   * Retry-After of a request that no target ran: the end of the pause that the targets
   * asked for, or else the mean work time, spread at random by half.
   */
  retryAfterMillis(request: GatewayRequest, nowMillis: number): number {
    // The caller's next attempt may go to any target again.
    const untried = { ...request, triedTargets: new Set<string>() };
    const placement = this.place(untried, nowMillis);
    return this.#pauseRetryAfterMillis(request, { placement, nowMillis }) ??
      this.estimate(request).meanMillis() * (0.5 + this.#options.random());
  }

  /**
   * Time to the end of the first pause that targets asked for, spread by up to the mean
   * work time; undefined if the request doesn't wait for one.
   */
  #pauseRetryAfterMillis(
    request: GatewayRequest,
    options: { placement: Placement; nowMillis: number },
  ): number | undefined {
    const { placement, nowMillis } = options;
    if (placement.kind !== "none" || !placement.isPauseRequested) {
      return undefined;
    }
    return placement.usableAtMillis - nowMillis +
      this.estimate(request).meanMillis() * this.#options.random();
  }

  /**
   * Lower bound of the departure rate, used until a higher one was measured: half
   * of what this entry's part of the slots allows, or of a single slot unless the
   * targets are full.
   */
  #minDeparturesPerSecond(placement: Placement, workMillis: number): number {
    const slots = placement.kind === "full" ? placement.slots : 1;
    const entries = this.#options.state.members.count;
    return slots * 1000 / Math.max(1, workMillis) / entries / 2;
  }

  /** State of one service; created at its first use. */
  serviceState(service: string): ServiceState {
    let serviceState = this.#serviceStates.get(service);
    if (serviceState === undefined) {
      serviceState = {
        queue: this.#decisions.createQueue(),
        departures: new WindowCounter(DEPARTURE_WINDOW_MILLIS),
        remoteShare: new RemoteShare(),
      };
      this.#serviceStates.set(service, serviceState);
    }
    return serviceState;
  }
}
