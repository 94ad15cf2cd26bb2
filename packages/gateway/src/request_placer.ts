/**
 * Puts the questions of the steering package for one entry: where a request
 * goes, and whether it is taken at all, by what this entry believes now. Keeps
 * the line of each service.
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
  /** Replaced by replays that compare ways to decide. */
  decisions?: Partial<Decisions>;
}

/** The decisions that a placer takes. */
export interface Decisions {
  place: typeof placeRequest;
  admit: typeof admitRequest;
  findHomes: typeof findHomes;
  createQueue: () => WaitQueue<GatewayRequest>;
}

const standardDecisions: Decisions = {
  place: placeRequest,
  admit: admitRequest,
  findHomes,
  createQueue: () => new WaitQueue(),
};

/** Requests of one service that wait, and what is measured of the service. */
export interface ServiceState {
  queue: WaitQueue<GatewayRequest>;
  departures: WindowCounter;
  share: RemoteShare;
}

/** Window over which the flow out of a line is measured. */
const flowWindowMillis = 2000;
/** When a caller is asked back where no target is usable. */
const noTargetRetryMillis = 500;

const noHomes: ObjectHomes = { first: undefined, second: undefined };

/** Places and admits the requests of one entry. */
export class RequestPlacer {
  readonly #options: PlacerOptions;
  readonly #decisions: Decisions;
  readonly #lanes = new Map<string, ServiceState>();

  constructor(options: PlacerOptions) {
    this.#options = options;
    this.#decisions = { ...standardDecisions, ...options.decisions };
  }

  /** All lanes, by service. */
  get serviceStates(): ReadonlyMap<string, ServiceState> {
    return this.#lanes;
  }

  /** Chooses the target of a request as things stand now. */
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
    const farWeight = this.#farWeight(request.service, targets, nowMillis);
    const weightOf = (target: TargetState) => {
      if (target.isLeaving() || !isAllowed(target)) return 0;
      return target.record.slots * (this.#isNear(target) ? 1 : farWeight);
    };
    return this.#decisions.place(targets, {
      object: request.object,
      nowMillis,
      estimate: this.estimate(request),
      load: this.serviceState(request.service).share.load,
      objectiveRemainingMillis: request.objectiveAtMillis - nowMillis,
      roundTripMillis: (target) => this.#options.roundTrips.read(target),
      homes: request.object === undefined
        ? noHomes
        : this.#decisions.findHomes(request.object, targets, weightOf),
      isAllowed,
      warmupRatePerSecond: (target) => state.warmupRatePerSecond(target),
      exclude: request.triedTargets,
    });
  }

  #isNear(target: TargetState): boolean {
    const { settings, state } = this.#options;
    return state.region(target) === settings.instance.region;
  }

  /** Weight of slots in other regions for the homes of a service's objects. */
  #farWeight(
    service: string,
    targets: readonly TargetState[],
    nowMillis: number,
  ): number {
    const local = { inFlight: 0, slots: 0 };
    const remote = { inFlight: 0, slots: 0 };
    for (const target of targets) {
      if (target.isLeaving()) continue;
      if (this.#options.state.isEvacuated(target.record.dataCentre)) continue;
      const side = this.#isNear(target) ? local : remote;
      side.slots += target.record.slots;
      side.inFlight += target.inFlight(nowMillis);
    }
    const { share } = this.serviceState(service);
    share.update(local, remote, {
      nowMillis,
      peerMeanShare: this.#options.state.shares.mean(service, nowMillis),
      initialShare: this.#priorShare(local.slots, local.slots + remote.slots),
    });
    return share.remoteWeight(local, remote);
  }

  #priorShare(local: number, all: number): number | undefined {
    const { members } = this.#options.state;
    if (!members.isComplete) return undefined;
    const { region } = this.#options.settings.instance;
    const entries = {
      local: members.idsInRegion(region).length + 1,
      all: members.count,
    };
    return initialRemoteShare(entries, { local: local, all });
  }

  /** Shares of objects that other regions run, by service. */
  remoteShares(): Record<string, number> {
    const shares: Record<string, number> = {};
    for (const [service, { share }] of this.#lanes) {
      shares[service] = Math.round(share.share * 1000) / 1000;
    }
    return shares;
  }

  /** Expected work times of a request's service. */
  estimate(request: GatewayRequest): WorkTimeEstimate {
    return this.#options.state.estimate(
      request.service,
      request.route.objectiveMillis,
    );
  }

  /** Decides whether an arriving request is taken. */
  admit(
    request: GatewayRequest,
    placement: Placement,
    nowMillis: number,
  ): Admission {
    const { random } = this.#options;
    const { queue: line, departures: flow, share } = this.serviceState(
      request.service,
    );
    if (placement.kind === "none" && placement.usableAtMillis === Infinity) {
      const retryAfterMillis = noTargetRetryMillis * (1 + random());
      return {
        kind: "refuse",
        retryAfterMillis,
        expectedMillis: Infinity,
        boundMillis: request.expiresAtMillis - nowMillis,
      };
    }
    const work = this.estimate(request).meanMillis();
    const flowPerSecond = Math.max(
      flow.read(nowMillis) * 1000 / flowWindowMillis,
      this.#leastFlow(placement, work),
    );
    const isTaken = placement.kind === "send" && line.length === 0;
    const lineMillis = isTaken
      ? 0
      : expectedWaitMillis(line.length, flowPerSecond);
    const targetMillis = placement.kind === "send" ? placement.waitMillis : 0;
    return this.#decisions.admit({
      waitMillis: lineMillis + targetMillis,
      serviceMillis: placement.kind === "none"
        ? placement.usableAtMillis - nowMillis + work
        : placement.finishMillis - targetMillis,
      remainingMillis: request.expiresAtMillis - nowMillis,
      objectiveRemainingMillis: request.objectiveAtMillis - nowMillis,
      load: share.load,
      random: random(),
    });
  }

  /** Flow that this entry's part of the slots gives, before any was measured. */
  #leastFlow(placement: Placement, workMillis: number): number {
    const slots = placement.kind === "full" ? placement.slots : 1;
    const entries = this.#options.state.members.count;
    return slots * 1000 / Math.max(1, workMillis) / entries / 2;
  }

  /** The line of one service, with what is measured of it. */
  serviceState(service: string): ServiceState {
    let lane = this.#lanes.get(service);
    if (lane === undefined) {
      lane = {
        queue: this.#decisions.createQueue(),
        departures: new WindowCounter(flowWindowMillis),
        share: new RemoteShare(),
      };
      this.#lanes.set(service, lane);
    }
    return lane;
  }
}
