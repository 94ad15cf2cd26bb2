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
import { priorShare, RegionShare } from "@bamboolane/steering/region_share";
import type { ServiceEstimate } from "@bamboolane/steering/service_estimate";
import type { TargetBelief } from "@bamboolane/steering/target_belief";
import { WaitLine } from "@bamboolane/steering/wait_line";
import { WindowCounter } from "@bamboolane/steering/window_counter";
import type { GatewayRequest } from "./gateway_request.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { GatewayState } from "./gateway_state.ts";
import type { RoundTrips } from "./round_trips.ts";

/** Options of {@link RequestPlacer}. */
export interface PlacerOptions {
  settings: GatewaySettings;
  state: GatewayState;
  roundTrips: RoundTrips;
  random: () => number;
  /** Replaced by replays that compare ways to decide. */
  decisions?: Partial<Decisions>;
}

/** The decisions that a placer takes. */
export interface Decisions {
  place: typeof placeRequest;
  admit: typeof admitRequest;
  findHomes: typeof findHomes;
  createLine: () => WaitLine<GatewayRequest>;
}

const standardDecisions: Decisions = {
  place: placeRequest,
  admit: admitRequest,
  findHomes,
  createLine: () => new WaitLine(),
};

/** Requests of one service that wait, and what is measured of the service. */
export interface Lane {
  line: WaitLine<GatewayRequest>;
  flow: WindowCounter;
  share: RegionShare;
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
  readonly #lanes = new Map<string, Lane>();

  constructor(options: PlacerOptions) {
    this.#options = options;
    this.#decisions = { ...standardDecisions, ...options.decisions };
  }

  /** All lanes, by service. */
  get lanes(): ReadonlyMap<string, Lane> {
    return this.#lanes;
  }

  /** Chooses the target of a request as things stand now. */
  place(request: GatewayRequest, nowMillis: number): Placement {
    const { state } = this.#options;
    const { allowedRegions } = request.route;
    const targets = state.targets.ofService(request.service);
    for (const target of targets) {
      target.notePeers(state.members.inFlightAt(target.record.id, nowMillis));
    }
    const isAllowed = (target: TargetBelief) =>
      !state.isEvacuated(target.record.dataCentre) &&
      (allowedRegions.length === 0 ||
        allowedRegions.includes(state.region(target)));
    const farWeight = this.#farWeight(request.service, targets, nowMillis);
    const weightOf = (target: TargetBelief) => {
      if (target.isLeaving() || !isAllowed(target)) return 0;
      return target.record.slots * (this.#isNear(target) ? 1 : farWeight);
    };
    return this.#decisions.place(targets, {
      object: request.object,
      nowMillis,
      estimate: this.estimate(request),
      load: this.lane(request.service).share.load,
      objectiveLeftMillis: request.objectiveAtMillis - nowMillis,
      roundTripMillis: (target) => this.#options.roundTrips.read(target),
      homes: request.object === undefined
        ? noHomes
        : this.#decisions.findHomes(request.object, targets, weightOf),
      isAllowed,
      coldPerSecond: (target) => state.coldPerSecond(target),
      exclude: request.tried,
    });
  }

  #isNear(target: TargetBelief): boolean {
    const { settings, state } = this.#options;
    return state.region(target) === settings.instance.region;
  }

  /** Weight of slots in other regions for the homes of a service's objects. */
  #farWeight(
    service: string,
    targets: readonly TargetBelief[],
    nowMillis: number,
  ): number {
    const near = { inFlight: 0, slots: 0 };
    const far = { inFlight: 0, slots: 0 };
    for (const target of targets) {
      if (target.isLeaving()) continue;
      if (this.#options.state.isEvacuated(target.record.dataCentre)) continue;
      const side = this.#isNear(target) ? near : far;
      side.slots += target.record.slots;
      side.inFlight += target.inFlight(nowMillis);
    }
    const { share } = this.lane(service);
    share.update(near, far, {
      nowMillis,
      agreed: this.#options.state.shares.mean(service, nowMillis),
      prior: this.#priorShare(near.slots, near.slots + far.slots),
    });
    return share.farWeight(near, far);
  }

  #priorShare(near: number, all: number): number | undefined {
    const { members } = this.#options.state;
    if (!members.isComplete) return undefined;
    const { region } = this.#options.settings.instance;
    const entries = {
      near: members.idsInRegion(region).length + 1,
      all: members.count,
    };
    return priorShare(entries, { near, all });
  }

  /** Shares of objects that other regions run, by service. */
  shares(): Record<string, number> {
    const shares: Record<string, number> = {};
    for (const [service, { share }] of this.#lanes) {
      shares[service] = Math.round(share.share * 1000) / 1000;
    }
    return shares;
  }

  /** Expected work times of a request's service. */
  estimate(request: GatewayRequest): ServiceEstimate {
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
    const { line, flow, share } = this.lane(request.service);
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
      leftMillis: request.expiresAtMillis - nowMillis,
      objectiveLeftMillis: request.objectiveAtMillis - nowMillis,
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
  lane(service: string): Lane {
    let lane = this.#lanes.get(service);
    if (lane === undefined) {
      lane = {
        line: this.#decisions.createLine(),
        flow: new WindowCounter(flowWindowMillis),
        share: new RegionShare(),
      };
      this.#lanes.set(service, lane);
    }
    return lane;
  }
}
