/**
 * Creates the components of an entry and connects them. Starts nothing.
 */
import { randomInt } from "node:crypto";
import process from "node:process";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import { ClaimStore } from "@bamboolane/idempotency/claim_store";
import { ExecutionTable } from "@bamboolane/idempotency/execution_table";
import { BatchWriter } from "@bamboolane/idempotency/batch_writer";
import { OutcomeLog } from "@bamboolane/idempotency/outcome_log";
import { TicketIssuer } from "@bamboolane/idempotency/ticket_issuer";
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import { connectPlatform } from "@bamboolane/platform/http_platform";
import {
  type Clock,
  type Platform,
  systemClock,
} from "@bamboolane/platform/ports";
import { CrashTracker } from "@bamboolane/route/crash_tracker";
import { LaneLearner } from "@bamboolane/route/lane_learner";
import { InstanceState } from "@bamboolane/types/instance";
import type { EntrySettings } from "@bamboolane/types/settings";
import type { Work } from "./answer.ts";
import { CallerServer, MAX_BUFFERED_BODY_BYTES } from "./caller_server.ts";
import { ConfigTask } from "./config_task.ts";
import type { EntryContext } from "./context.ts";
import { DecisionLog } from "./decision_log.ts";
import { DutyTask } from "./duty_task.ts";
import { ForwardClient } from "./forward_client.ts";
import { type ForwardHandlers, serveForward } from "./forward_server.ts";
import { Invariant, Invariants } from "./invariants.ts";
import { KeyedRequests } from "./keyed_requests.ts";
import { LinkPacer } from "./link_pacer.ts";
import { LookupHandler } from "./lookup_handler.ts";
import { MemberStats } from "./member_stats.ts";
import { MembershipTask } from "./membership_task.ts";
import { MoveShareLimiter } from "./move_share_limiter.ts";
import { OperatorActions } from "./operator_actions.ts";
import { OperatorServer } from "./operator_server.ts";
import { PoolDirectory } from "./pool_directory.ts";
import { PoolManager } from "./pool_manager.ts";
import { Router } from "./router.ts";
import { StatsWriter } from "./stats_writer.ts";
import type { SteeringState } from "./steering_state.ts";

/** Options of {@link assembleEntry}. */
export interface AssembleOptions {
  settings: EntrySettings;
  log: EventLog;
  clock?: Clock;
  /** Overrides the platform named in the settings. */
  platform?: Platform;
  metrics: Metrics;
  /**
   * Called after an invariant breach; by default stops the process if the
   * settings say so.
   */
  onBreach?: (name: Invariant) => void;
}

/** The components of an entry. */
export interface EntryComponents {
  context: EntryContext;
  incarnation: number;
  platform: Platform;
  config: ConfigTask;
  membership: MembershipTask;
  pools: PoolManager;
  forward: ForwardClient;
  executions: ExecutionTable;
  outcomes: OutcomeLog;
  claimWriter: BatchWriter;
  callers: CallerServer;
  operators: OperatorServer;
  duties: DutyTask;
  statsWriter: StatsWriter;
  actions: OperatorActions;
  /** Serves requests forwarded by other entries. */
  serveForwarded: (stream: Parameters<typeof serveForward>[0]) => void;
}

const CLAIM_WRITE_WINDOW_MILLIS = 10;
const OUTCOME_WRITE_WINDOW_MILLIS = 200;
const MAX_ROWS_PER_WRITE = 100;
const MAX_WRITES_IN_FLIGHT = 4;
const CLAIM_TIMEOUT_MILLIS = 3000;
/** Limit over all kept answers; the setting `keptAnswerBytes` limits each one. */
const MAX_KEPT_ANSWER_BYTES = 32 * 1024 * 1024;
const MAX_QUEUED_OUTCOMES = 10_000;
const MAX_CRASH_FINGERPRINTS = 1000;
const CRASH_RETENTION_MILLIS = 600_000;
const MAX_LEARNED_ROUTES = 10_000;
/**
 * Range of the random part of an incarnation, which distinguishes starts in the
 * same millisecond.
 */
const INCARNATION_RANDOM_RANGE = 2048;
const BREACH_EXIT_CODE = 70;

function createContext(options: AssembleOptions): EntryContext {
  const { settings, log, metrics } = options;
  const stopProcess = () => {
    log.flush();
    process.exit(BREACH_EXIT_CODE);
  };
  const onBreach = options.onBreach ??
    (settings.stopOnBreach ? stopProcess : () => {});
  return {
    settings,
    log,
    metrics,
    clock: options.clock ?? systemClock,
    random: Math.random,
    invariants: new Invariants({ log, metrics, onBreach }),
  };
}

/** Creates the components of an entry. */
export function assembleEntry(options: AssembleOptions): EntryComponents {
  const { settings, metrics } = options;
  const context = createContext(options);
  const { clock } = context;
  const incarnation = clock.wallMillis() * INCARNATION_RANDOM_RANGE +
    randomInt(INCARNATION_RANDOM_RANGE);
  const platform = options.platform ?? connectPlatform(settings.platform.url, {
    timeoutMillis: settings.platform.timeoutMillis,
    onCall: (kind) => metrics.count("bamboolane_store_calls", 1, { kind }),
  });
  const crashes = new CrashTracker({
    maxFingerprints: MAX_CRASH_FINGERPRINTS,
    retentionMillis: CRASH_RETENTION_MILLIS,
  });
  const learner = new LaneLearner({ maxRoutes: MAX_LEARNED_ROUTES });
  const stats = new MemberStats({ wallMillis: clock.wallMillis() });
  const moveLimiter = new MoveShareLimiter();
  const pacer = new LinkPacer(context);
  const decisions = new DecisionLog();

  function onMembershipChange() {
    pools.reconcile();
    configureLinks(config.state);
  }

  function configureLinks(state: SteeringState | undefined) {
    if (state === undefined) return;
    const instanceCount = membership.table.live()
      .filter((i) => i.region === settings.instance.region).length;
    pacer.configure(state.fleet, { instanceCount });
  }

  function onApplied(state: SteeringState) {
    moveLimiter.keepOnly(new Set(state.fleet.moves.map((m) => m.id)));
    pools.reconcile();
    configureLinks(state);
    membership.announce({ revision: state.revision });
  }

  const membership: MembershipTask = new MembershipTask({
    context,
    platform,
    incarnation,
    config: () => config,
    suspects: () => crashes.listSuspects(clock.nowMillis()),
    onSuspects: (suspects) => {
      const changes = suspects.map((s) => crashes.merge(s, clock.nowMillis()));
      if (changes.includes(true)) membership.mesh.sendSuspectsSoon();
    },
    onChange: onMembershipChange,
  });
  const config: ConfigTask = new ConfigTask({
    context,
    platform,
    isRelay: () => membership.table.ownRelayRank() >= 0,
    fetchFromPeer: (peer, hash) => membership.fetchFromPeer(peer, hash),
    onApplied,
  });
  const pools: PoolManager = new PoolManager({
    context,
    membership,
    state: () => config.state,
    crashes,
    learner,
    onCrash: () => membership.mesh.sendSuspectsSoon(),
    onSlotTime: (work, slotMillis) => stats.addSlotTime(work.info, slotMillis),
  });
  const directory = new PoolDirectory({
    table: membership.table,
    now: () => clock.nowMillis(),
    unreachable: () => membership.unreachable(),
  });
  const forward = new ForwardClient({
    context,
    pacer,
    revision: () => config.revision,
    onLoad: (instance, load) => {
      const record = membership.table.get(instance);
      if (record) directory.recordLoad(record.dataCentre, load);
    },
  });
  const router = new Router({
    context,
    state: () => requireState(config.state),
    directory,
    forward,
    moveLimiter,
    isCutOff: () => config.isCutOff(),
    ownedPool: (service) => pools.pool(service),
    onDecision: (decision) => decisions.add(decision),
  });
  const executions = new ExecutionTable({
    maxKeys: settings.limits.keptAnswers,
    maxKeptBytes: MAX_KEPT_ANSWER_BYTES,
  });
  const claimWriter = createWriter(platform, CLAIM_WRITE_WINDOW_MILLIS);
  const outcomeWriter = createWriter(platform, OUTCOME_WRITE_WINDOW_MILLIS);
  const tickets = new TicketIssuer({
    instance: settings.instance.id,
    incarnation,
    lifetimeMillis: settings.limits.ticketLifetimeMillis,
  });
  const outcomes = new OutcomeLog({
    table: platform.table,
    writer: outcomeWriter,
    clock,
    maxPending: MAX_QUEUED_OUTCOMES,
  });
  const keyedRequests = new KeyedRequests({
    context,
    tickets,
    claims: new ClaimStore({
      instance: settings.instance.id,
      incarnation,
      table: platform.table,
      writer: claimWriter,
      clock,
      timeoutMillis: CLAIM_TIMEOUT_MILLIS,
    }),
    outcomes,
    executions,
    table: membership.table,
    forward,
    run: (work) => router.run(work),
  });
  const lookups = new LookupHandler({
    context,
    state: () => config.state,
    table: membership.table,
    unreachable: () => membership.unreachable(),
  });
  const callers = new CallerServer({
    context,
    state: () => config.state,
    lookups,
    tickets,
    learner,
    crashes,
    stats,
    run: (work) => keyedRequests.run(work),
    isLeaving: () => membership.table.self.state === InstanceState.leaving,
  });
  const duties = new DutyTask({
    context,
    platform,
    membership,
    config,
    directory,
    incarnation,
  });
  const statsWriter = new StatsWriter({
    context,
    platform,
    stats,
    incarnation,
  });
  const actions = new OperatorActions({
    context,
    platform,
    config,
    membership,
    pools,
    duties,
    router,
    learner,
    decisions,
    moveLimiter,
    statsWriter,
  });
  const operators = new OperatorServer({ context, actions });
  const handlers: ForwardHandlers = {
    run: (work) => runInOwnPool(work),
    ticket: (work) => keyedRequests.runTicket(work),
    claim: (work) => keyedRequests.answerClaim(work),
    load: (service) => pools.load(service),
    regionOf: (sender) => membership.table.get(sender)?.region ?? "",
  };

  function runInOwnPool(work: Work) {
    const pool = pools.pool(work.info.service);
    if (pool === undefined) throw new SteeringError(ResultCode.notOwner);
    if (crashes.isHeldBack(work.info.fingerprint, clock.nowMillis())) {
      throw new SteeringError(ResultCode.heldBack);
    }
    return pool.run(work);
  }

  function serveForwarded(stream: Parameters<typeof serveForward>[0]) {
    serveForward(stream, {
      context,
      pacer,
      handlers,
      maxBufferedBytes: MAX_BUFFERED_BODY_BYTES,
    });
  }

  return {
    context,
    incarnation,
    platform,
    config,
    membership,
    pools,
    forward,
    executions,
    outcomes,
    claimWriter,
    callers,
    operators,
    duties,
    statsWriter,
    actions,
    serveForwarded,
  };
}

function createWriter(platform: Platform, windowMillis: number): BatchWriter {
  return new BatchWriter({
    table: platform.table,
    windowMillis,
    maxRows: MAX_ROWS_PER_WRITE,
    maxInFlight: MAX_WRITES_IN_FLIGHT,
  });
}

function requireState(state: SteeringState | undefined): SteeringState {
  if (state === undefined) throw new SteeringError(ResultCode.noConfiguration);
  return state;
}
