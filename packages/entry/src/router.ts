/**
 * Routes requests: ranks the data centres, runs the request in the local pool
 * or forwards it to the pool's owner, and retries in another data centre where
 * that is safe.
 */
import { ResultCode } from "@bamboolane/errors/result_code";
import {
  SteeringError,
  toSteeringError,
} from "@bamboolane/errors/steering_error";
import {
  applyMoves,
  chooseDataCentres,
  type DataCentreCandidate,
} from "@bamboolane/route/choose_data_centre";
import { AttemptBudget } from "@bamboolane/route/attempt_budget";
import { PeerLossAllowance } from "@bamboolane/route/peer_loss_allowance";
import type { ServiceConfig } from "@bamboolane/types/fleet";
import type { InstanceRecord } from "@bamboolane/types/instance";
import { Outcome } from "@bamboolane/types/request";
import { type Answer, isReplayable, type Work } from "./answer.ts";
import type { EntryContext } from "./context.ts";
import { ForwardRole } from "./forward_codec.ts";
import type { ForwardClient } from "./forward_client.ts";
import { Invariant } from "./invariants.ts";
import type { MoveShareLimiter } from "./move_share_limiter.ts";
import type { PoolDirectory } from "./pool_directory.ts";
import type { PoolTask } from "./pool_task.ts";
import type { SteeringState } from "./steering_state.ts";

/** A routing decision, as logged and as returned by `explain`. */
export interface RouteDecision {
  /** Id of the request. */
  request: string;
  /** Home data centre of the client, after moves. */
  home: string;
  /** Id of the move that was applied; empty if none. */
  move: string;
  /** Data centre in which the request is attempted. */
  chosen: string;
  /** Parts of the chosen data centre's cost. */
  why: string;
  /** All candidates with their costs; see {@link formatCandidates}. */
  over: string;
}

/** Options of {@link Router}. */
export interface RouterOptions {
  context: EntryContext;
  state: () => SteeringState;
  directory: PoolDirectory;
  forward: ForwardClient;
  moveLimiter: MoveShareLimiter;
  isCutOff: () => boolean;
  /**
   * This instance's pool of a service; undefined if another instance owns it.
   */
  ownedPool: (service: string) => PoolTask | undefined;
  onDecision: (decision: RouteDecision) => void;
}

const MAX_DATA_CENTRES_TRIED = 4;
/**
 * Retries of one request in a data centre whose pool has just changed its
 * owner.
 */
const MAX_OWNER_CHANGE_RETRIES = 3;
const OWNER_CHANGE_RETRY_DELAY_MILLIS = 100;

/**
 * Formats candidates for a log line: `DATA_CENTRE(COST)`, separated by `|`.
 * Unit of the cost: milliseconds.
 */
export function formatCandidates(
  candidates: readonly DataCentreCandidate[],
): string {
  return candidates.map((c) => `${c.dataCentre}(${Math.round(c.costMillis)})`)
    .join("|");
}

/** Routes requests to data centres. */
export class Router {
  readonly #options: RouterOptions;
  readonly #retryBudget = new AttemptBudget({ initialTokens: 3 });
  readonly #peerLossAllowance = new PeerLossAllowance();

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /**
   * Ranks the data centres for a request without side effects, for `explain`.
   */
  plan(
    service: ServiceConfig,
    query: { client: string },
  ): { home: string; move: string; candidates: DataCentreCandidate[] } {
    const state = this.#options.state();
    const clientHome = state.homeOf(query.client);
    const moved = applyMoves(state.fleet, {
      service: service.id,
      home: clientHome.dataCentre,
      blockKey: clientHome.blockKey,
    });
    const candidates = this.#candidates(service, moved.home);
    return { home: moved.home, move: moved.moveId ?? "", candidates };
  }

  /**
   * Runs a request in the best data centre that admits it. Rejects with a
   * {@link SteeringError}; a failure with an unknown outcome takes precedence
   * over later failures.
   */
  async run(work: Work): Promise<Answer> {
    const state = this.#options.state();
    const service = state.service(work.info.member, work.info.service);
    const home = this.#resolveHome(work, service);
    const { values } = state.defaultsFor(work.info.member, service.id, {
      wallMillis: this.#options.context.clock.wallMillis(),
    });
    this.#retryBudget.earn(values.retryBudget);
    const tried = new Set<string>();
    let failure: SteeringError | undefined;
    let ownerChanges = 0;
    while (tried.size < MAX_DATA_CENTRES_TRIED) {
      const candidates = this.#candidates(service, home).filter((c) =>
        !tried.has(c.dataCentre)
      );
      const best = candidates[0];
      if (best === undefined) break;
      this.#logDecision(work, { home, best, candidates });
      const owner = this.#options.directory.owner(
        work.info.service,
        best.dataCentre,
      );
      if (owner) this.#peerLossAllowance.begin(owner);
      try {
        return await this.#runAt(work, owner);
      } catch (error) {
        const latestFailure = toSteeringError(error, ResultCode.internal);
        if (failure === undefined || failure.outcome === Outcome.notRun) {
          failure = latestFailure;
        }
        if (!this.#mayRetry(work, { failure: latestFailure, owner })) {
          throw failure;
        }
        if (
          latestFailure.info === ResultCode.notOwner &&
          ++ownerChanges <= MAX_OWNER_CHANGE_RETRIES
        ) {
          await new Promise((resolve) =>
            setTimeout(resolve, OWNER_CHANGE_RETRY_DELAY_MILLIS)
          );
          continue;
        }
        tried.add(best.dataCentre);
      } finally {
        if (owner) this.#peerLossAllowance.end(owner);
      }
    }
    throw failure ?? new SteeringError(ResultCode.noTarget);
  }

  #candidates(service: ServiceConfig, home: string): DataCentreCandidate[] {
    const state = this.#options.state();
    return chooseDataCentres({
      fleet: state.fleet,
      service,
      home,
      localDataCentre: this.#options.context.settings.instance.dataCentre,
      pools: this.#options.directory.views(service),
      cutOff: this.#options.isCutOff(),
    });
  }

  /**
   * Home of the request after moves, as far as their caps allow. Counts the
   * request against the caps.
   */
  #resolveHome(work: Work, service: ServiceConfig): string {
    const state = this.#options.state();
    const clientHome = state.homeOf(work.info.client);
    const moves = state.fleet.moves.filter((m) =>
      m.service === service.id && m.from === clientHome.dataCentre
    );
    for (const move of moves) {
      const moved = applyMoves({ ...state.fleet, moves: [move] }, {
        service: service.id,
        home: clientHome.dataCentre,
        blockKey: clientHome.blockKey,
      });
      const { moveLimiter, context } = this.#options;
      const selected = moved.moveId !== undefined && !this.#options.isCutOff();
      const admitted = moveLimiter.admit(move.id, move.capShare, {
        selected,
      });
      context.invariants.check(
        Invariant.moveCap,
        moveLimiter.movedShare(move.id) <= move.capShare,
        () =>
          `move=${move.id} share=${
            moveLimiter.movedShare(move.id)
          } cap=${move.capShare}`,
      );
      if (!admitted) continue;
      work.move = move.id;
      return move.to;
    }
    return clientHome.dataCentre;
  }

  /** Runs a request in the pool of `owner`; undefined if the pool has no owner. */
  async #runAt(
    work: Work,
    owner: InstanceRecord | undefined,
  ): Promise<Answer> {
    const { context, directory, forward, ownedPool } = this.#options;
    if (owner === undefined) throw new SteeringError(ResultCode.noTarget);
    if (owner.id === context.settings.instance.id) {
      const pool = ownedPool(work.info.service);
      if (pool === undefined) throw new SteeringError(ResultCode.notOwner);
      return await pool.run(work);
    }
    try {
      return await forward.run(work, owner, {
        role: ForwardRole.FORWARD_ROLE_RUN,
      });
    } catch (error) {
      const info = toSteeringError(error, ResultCode.internal).info;
      if (info === ResultCode.peerUnreachable || info === ResultCode.peerLost) {
        directory.markPeerUnavailable(owner.id);
      }
      throw error;
    }
  }

  #mayRetry(
    work: Work,
    attempt: { failure: SteeringError; owner: InstanceRecord | undefined },
  ): boolean {
    const { failure, owner } = attempt;
    const remainingMillis = work.deadlineMillis -
      this.#options.context.clock.nowMillis();
    if (
      work.signal.aborted || remainingMillis <= 0 || !isReplayable(work.body)
    ) {
      return false;
    }
    // All instances hold the request back, because it crashed its targets.
    if (failure.info === ResultCode.heldBack) return false;
    if (failure.outcome === Outcome.notRun) return true;
    if (!work.info.idempotent) return false;
    switch (failure.info) {
      case ResultCode.peerLost:
        return (owner !== undefined && this.#peerLossAllowance.spend(owner)) ||
          this.#retryBudget.spend();
      case ResultCode.targetLost:
      case ResultCode.answerCut:
        return this.#retryBudget.spend();
      default:
        return false;
    }
  }

  #logDecision(
    work: Work,
    parts: {
      home: string;
      best: DataCentreCandidate;
      candidates: DataCentreCandidate[];
    },
  ): void {
    const decision: RouteDecision = {
      request: work.info.id,
      home: parts.home,
      move: work.move,
      chosen: parts.best.dataCentre,
      why: parts.best.reason,
      over: formatCandidates(parts.candidates),
    };
    this.#options.onDecision(decision);
    this.#options.context.log.info("route", {
      ...decision,
      member: work.info.member,
      service: work.info.service,
      lane: work.info.lane,
      laneWhy: work.info.laneReason,
      attempt: work.attempts.dispatches + 1,
    });
  }
}
