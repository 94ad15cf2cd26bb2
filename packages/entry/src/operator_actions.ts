/**
 * The operations that an entry offers to operators, independent of the
 * transport.
 */
import { randomUUID } from "node:crypto";
import { editFleet, type FleetEdit } from "@bamboolane/agree/edit_fleet";
import {
  type HistoryEntry,
  readHistory,
} from "@bamboolane/agree/read_revision";
import { parseFleet } from "@bamboolane/config/parse_fleet";
import {
  type ConfigProblem,
  formatProblem,
} from "@bamboolane/config/parse_yaml";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import type { Platform } from "@bamboolane/platform/ports";
import {
  assembleReport,
  type MemberReport,
} from "@bamboolane/report/assemble_report";
import { classifyRequest } from "@bamboolane/route/classify_request";
import type { ClientBlock, FleetConfig } from "@bamboolane/types/fleet";
import { InstanceState } from "@bamboolane/types/instance";
import type { ConfigTask } from "./config_task.ts";
import type { EntryContext } from "./context.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { DutyTask } from "./duty_task.ts";
import type { MembershipTask } from "./membership_task.ts";
import type { MoveShareLimiter } from "./move_share_limiter.ts";
import type { PoolManager } from "./pool_manager.ts";
import { publishAndWait, type PublishResult } from "./publish_and_wait.ts";
import type { LaneLearner } from "@bamboolane/route/lane_learner";
import { formatCandidates, type Router } from "./router.ts";
import type { StatsWriter } from "./stats_writer.ts";
import type { SteeringState } from "./steering_state.ts";

/** Options of {@link OperatorActions}. */
export interface OperatorActionsOptions {
  context: EntryContext;
  platform: Platform;
  config: ConfigTask;
  membership: MembershipTask;
  pools: PoolManager;
  duties: DutyTask;
  router: Router;
  learner: LaneLearner;
  decisions: DecisionLog;
  moveLimiter: MoveShareLimiter;
  statsWriter: StatsWriter;
}

/** A document to check or publish. */
export interface DocumentRequest {
  /** The fleet as YAML. */
  text: string;
  /** File name for the reported problems. */
  file?: string;
  summary?: string;
  /** The same id in each resend of the change; generated if absent. */
  changeId?: string;
  /**
   * Revision on which the operator based the change; a newer one is a conflict.
   */
  baseRevision?: number;
  /** The complete block table; unchanged if absent. */
  blocks?: ClientBlock[];
}

/** An edit of the configuration in force. */
export interface EditRequest {
  edit: FleetEdit;
  summary?: string;
  /** See {@link DocumentRequest}. */
  changeId?: string;
  /** See {@link DocumentRequest}. */
  baseRevision?: number;
}

/** Names of instance states, as shown to operators. */
const STATE_NAMES = Object.fromEntries(
  Object.entries(InstanceState).map(([name, value]) => [value, name]),
);

function toInvalidConfiguration(problems: ConfigProblem[]): SteeringError {
  return new SteeringError(
    ResultCode.invalidConfiguration,
    problems.map(formatProblem).join("\n"),
  );
}

/** Performs operators' requests. */
export class OperatorActions {
  readonly #options: OperatorActionsOptions;

  constructor(options: OperatorActionsOptions) {
    this.#options = options;
  }

  /** Checks a document. Throws `invalidConfiguration` with all problems. */
  check(request: DocumentRequest): FleetConfig {
    if (typeof request.text !== "string") {
      throw new SteeringError(
        ResultCode.badRequest,
        'Expected "text", a YAML document.',
      );
    }
    const parsed = parseFleet(request.text, {
      file: request.file ?? "fleet.yaml",
    });
    if (parsed.isErr()) throw toInvalidConfiguration(parsed.error);
    return parsed.value;
  }

  async publish(
    request: DocumentRequest,
    operator: string,
  ): Promise<PublishResult> {
    const fleet = this.check(request);
    const { config } = this.#options;
    const blockChunks = request.blocks === undefined
      ? undefined
      : await config.writeBlocks(request.blocks);
    return await this.#publish(
      { edit: { kind: "replace", fleet }, ...request },
      {
        operator,
        summary: request.summary ?? "document published",
        blockChunks,
      },
    );
  }

  edit(request: EditRequest, operator: string): Promise<PublishResult> {
    if (typeof request.edit?.kind !== "string") {
      throw new SteeringError(
        ResultCode.badRequest,
        'Expected "edit" with a "kind".',
      );
    }
    const summary = request.summary ?? describeEdit(request.edit);
    return this.#publish(request, { operator, summary });
  }

  async history(limit: number): Promise<HistoryEntry[]> {
    const { config, platform } = this.#options;
    const body = config.body;
    if (body === undefined) return [];
    const head = {
      revision: body.revision,
      hash: config.hash,
      changeId: body.changeId,
    };
    return await readHistory(platform, head, { limit });
  }

  /** The configuration in force. */
  current(): { revision: number; fleet: FleetConfig } {
    const state = this.#state();
    return { revision: state.revision, fleet: state.fleet };
  }

  /** The state that `bamboolane status` shows. */
  status() {
    const { membership, config, pools, duties, moveLimiter, context } =
      this.#options;
    const fleet = config.body?.fleet;
    return {
      instance: context.settings.instance,
      revision: config.revision,
      cutOff: config.isCutOff(),
      unreachable: [...membership.unreachable()],
      duties: duties.held(),
      instances: membership.table.all()
        .map((i) => ({
          id: i.id,
          dataCentre: i.dataCentre,
          region: i.region,
          state: STATE_NAMES[i.state],
          revision: i.revision,
          cutOff: i.cutOff,
          callers: i.callerAddress,
          pools: i.pools,
        }))
        .sort((a, b) => a.id < b.id ? -1 : 1),
      pools: Object.fromEntries(
        [...pools.pools()].map(([id, pool]) => [id, pool.status()]),
      ),
      moves: (fleet?.moves ?? []).map((m) => ({
        ...m,
        meteredShare: moveLimiter.movedShare(m.id),
      })),
      drains: fleet?.drains ?? [],
      exceptions: fleet?.exceptions ?? [],
      invariants: context.invariants.counts(),
    };
  }

  /**
   * Decisions on a request that this instance routed, or the decision that it
   * would make on a request as described by the query.
   */
  explain(query: URLSearchParams) {
    const request = query.get("request");
    if (request !== null) {
      const decisions = this.#options.decisions.find(request);
      if (decisions.length === 0) {
        throw new SteeringError(
          ResultCode.notFound,
          `No decision on request ${request} is known to this instance.`,
        );
      }
      return { decisions };
    }
    return this.#explainHypothetical(query);
  }

  async report(member: string): Promise<MemberReport> {
    const { fleet } = this.#state();
    if (!fleet.members.some((m) => m.id === member)) {
      throw new SteeringError(ResultCode.unknownMember, `Member: ${member}.`);
    }
    const values = await this.#options.statsWriter.read(member);
    const infos = Object.values(ResultCode);
    const namesByOutcome = (outcome: string) =>
      new Set<string>(
        infos.filter((i) => i.outcome === outcome).map((i) => i.name),
      );
    return assembleReport(member, values, {
      fleet,
      resultNames: {
        notRun: namesByOutcome("not-run"),
        unknown: namesByOutcome("unknown"),
      },
    });
  }

  #explainHypothetical(query: URLSearchParams) {
    const read = (name: string, fallback: string) =>
      query.get(name) ?? fallback;
    const state = this.#state();
    const service = state.service(read("member", ""), read("service", ""));
    const method = read("method", "GET");
    const requestClass = classifyRequest(service, {
      method,
      path: read("path", "/"),
    }, {
      isLong: (routeKey) => this.#options.learner.isLong(routeKey),
    });
    const plan = this.#options.router.plan(service, {
      client: read("client", ""),
    });
    const { exceptionIds } = state.defaultsFor(read("member", ""), service.id, {
      wallMillis: this.#options.context.clock.wallMillis(),
    });
    return {
      revision: state.revision,
      lane: requestClass.lane,
      laneWhy: requestClass.reason,
      idempotent: requestClass.idempotent,
      home: plan.home,
      move: plan.move,
      chosen: plan.candidates[0]?.dataCentre ?? "none",
      why: plan.candidates[0]?.reason ?? "no data centre is in reach",
      over: formatCandidates(plan.candidates),
      exceptions: exceptionIds,
    };
  }

  #publish(
    request: EditRequest,
    options: { operator: string; summary: string; blockChunks?: string[] },
  ): Promise<PublishResult> {
    const { context, config, membership, platform } = this.#options;
    return publishAndWait({
      changeId: request.changeId ?? randomUUID(),
      resend: request.changeId !== undefined,
      operator: options.operator,
      summary: options.summary,
      baseRevision: request.baseRevision,
      edit: (fleet) => editFleet(fleet, request.edit),
      blockChunks: options.blockChunks,
    }, { context, config, membership, instances: platform.instances });
  }

  #state(): SteeringState {
    const { state } = this.#options.config;
    if (state === undefined) {
      throw new SteeringError(ResultCode.noConfiguration);
    }
    return state;
  }
}

function describeEdit(edit: FleetEdit): string {
  switch (edit.kind) {
    case "replace":
      return "document replaced";
    case "exception-add":
      return `exception ${edit.exception?.id} added`;
    case "exception-retire":
      return `exception ${edit.id} retired`;
    case "drain-add":
      return `drain of ${edit.drain?.kind} ${edit.drain?.id}`;
    case "drain-remove":
      return `drain of ${edit.id} ended`;
    case "move-plan":
      return `move ${edit.move?.id} planned`;
    case "move":
      return `move ${edit.id}: ${edit.action}`;
  }
}
