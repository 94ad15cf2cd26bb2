/**
 * Starts the tasks of a gateway process and stops them gracefully.
 */
import type { Server } from "node:http";
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import { AnswerPacer } from "./answer_pacer.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import { DescriptorBudget } from "./descriptor_budget.ts";
import {
  serveDirectory,
  serveReadiness,
  serveState,
} from "./directory_server.ts";
import { registerGauges } from "./gateway_gauges.ts";
import { GatewayServer } from "./gateway_server.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { GatewayState } from "./gateway_state.ts";
import { InputPacer } from "./input_pacer.ts";
import { listenWhenPossible } from "./listen.ts";
import { MemoryBudget } from "./memory_budget.ts";
import { MemoryMonitor, planMemory } from "./memory_monitor.ts";
import { PeerTask } from "./peer_task.ts";
import { RequestRunner } from "./request_runner.ts";
import { StallMonitor } from "./stall_monitor.ts";
import type { StateStore } from "./state_store.ts";
import { StateTask } from "./state_task.ts";

/** Options of {@link startGateway}. */
export interface GatewayOptions {
  settings: GatewaySettings;
  dialect: CallerDialect;
  store: StateStore;
  log: EventLog;
  metrics: Metrics;
}

/** A running gateway. */
export interface RunningGateway {
  state: GatewayState;
  /** What the process holds for others. */
  memory: MemoryBudget;
  /** Shares the time of the event loop; for further servers of the process. */
  pacer: InputPacer;
  /**
   * Resolves once the gateway listens on all addresses, or stops; rejects after an
   * error that doesn't pass.
   */
  listening: Promise<void>;
  /** Requests in progress, for the log; `max` of them at most. */
  describeRequests(max: number): string;
  /** Stops gracefully within the grace period; joins a stop that is in progress. */
  stop(): Promise<void>;
}

/** Time after which a start that isn't over is logged, and then the interval of that. */
const FIRST_REMINDER_MILLIS = 1000;
const REMINDER_INTERVAL_MILLIS = 5000;
const CLEANUP_INTERVAL_MILLIS = 500;
const STATUS_POLL_MILLIS = 20;
/** Time to wait for peers' first heartbeats before the directory lists this entry alone. */
const PEER_DISCOVERY_MILLIS = 700;
/**
 * Maximum delay before an entry registers again after a restore of the store: spreads
 * the writes of all entries.
 */
const REGISTER_AGAIN_MILLIS = 2000;
/** Delay before a failed registration of this entry is retried. */
const REGISTER_RETRY_MILLIS = 1000;
/** How long a stopping entry takes new requests; callers cache look-ups less long. */
const LAME_DUCK_MILLIS = 2500;
/**
 * Share of the time left for answers that is spent at most on accepting the connections
 * that wait before requests are refused.
 */
const ACCEPT_SHARE = 1 / 3;
/** Time for accepting, and then for reading, once requests are refused. */
const LATE_ACCEPT_MILLIS = 200;
/**
 * Share of the grace period that is reserved for answering what is left, and for
 * ending on a machine that is short of processor time.
 */
const GRACE_MARGIN_SHARE = 1 / 8;
/** Share of that reserve in which the last answers are sent. */
const LAST_ANSWERS_SHARE = 1 / 3;
/**
 * Maximum time that directory answers are cached; short, so that callers soon
 * stop using a dead entry.
 */
const MAX_LOOKUP_TTL_MILLIS = 2000;

/** Starts all tasks. */
export function startGateway(options: GatewayOptions): RunningGateway {
  const { settings, dialect, store, log, metrics } = options;
  const startedAtMillis = performance.now();
  log.info("starting", {
    store: settings.storeAddress,
    seeds: settings.seeds.join(","),
    processMillis: Math.round(startedAtMillis),
  });
  const self: EntryRecord = {
    id: settings.instance.id,
    incarnation: Date.now(),
    dataCentre: settings.instance.dataCentre,
    region: settings.instance.region,
    callerAddress: settings.listen.callers,
    peerAddress: settings.listen.peers,
    stateAddress: settings.listen.state,
  };
  const state = new GatewayState(settings, log);
  const stallMonitor = new StallMonitor();
  const memory = new MemoryBudget({ limits: planMemory(settings.memoryBytes) });
  const descriptors = new DescriptorBudget(settings.maxSockets ?? Infinity);
  const pacer = new InputPacer({ descriptors, memory, log, metrics });
  const runner = new RequestRunner({
    settings,
    dialect,
    state,
    stallMonitor,
    descriptors,
    answerPacer: new AnswerPacer({ memory }),
    log,
    metrics,
    random: Math.random,
  });
  const serverOptions = {
    state,
    runner,
    stallMonitor,
    dialect,
    log,
    memory,
    descriptors,
    pacer,
  };
  const callers = new GatewayServer(serverOptions);
  const forwarded = new GatewayServer({
    ...serverOptions,
    servesEntries: true,
  });
  const callerServers = [callers, forwarded];
  const memoryMonitor = new MemoryMonitor({
    memory,
    memoryBytes: settings.memoryBytes,
    log,
    metrics,
    describe: () => ({
      connections: descriptors.callerCount,
      targetConnections: descriptors.targetCount,
      inFlight: runner.inFlight,
    }),
  });
  const stateTask = new StateTask({
    store,
    state,
    seeds: settings.seeds,
    self,
    livePeers: () => peers.livePeers(),
    log,
    random: Math.random,
  });
  const peers: PeerTask = new PeerTask({
    self,
    state,
    log,
    isServing: () => isReady(),
    reachesStore: () => !stopping && stateTask.reachesStore(),
    inFlight: () => runner.inFlightByTarget(),
    shares: () => runner.remoteShares(),
    random: Math.random,
    onPeerState: (peer, known) => stateTask.handlePeerState(peer, known),
    onUnknownMembers: () => stateTask.readMembersIfDue(),
  });
  let stopping = false;
  let stopped: Promise<void> | undefined;
  let isListening = false;
  const servers: Server[] = [];
  stateTask.start();
  const listening = listenOnAll();
  state.onRestore = () => {
    if (isReady()) setTimeout(register, REGISTER_AGAIN_MILLIS * Math.random());
  };
  let appliedRevision = 0;
  const cleanupTimer = setInterval(() => {
    state.removeExpired(performance.now());
    runner.closeUnusedConnections();
    const { config } = state;
    if (config === undefined || config.revision === appliedRevision) return;
    appliedRevision = config.revision;
    for (const server of callerServers) server.applyLimits(config.limits);
  }, CLEANUP_INTERVAL_MILLIS);
  let nextReminderMillis = startedAtMillis + FIRST_REMINDER_MILLIS;
  const readinessTimer = setInterval(() => {
    if (!isReady()) return remindNotReady();
    clearInterval(readinessTimer);
    log.info("ready", { tookMillis: Math.round(performance.now()) });
    peers.announce();
    register();
  }, STATUS_POLL_MILLIS);
  registerGauges(metrics, { state, runner });

  async function listenOnAll(): Promise<void> {
    const { listen } = settings;
    const ttlMillis = Math.min(MAX_LOOKUP_TTL_MILLIS, settings.lookupTtlMillis);
    const open = async (opening: Promise<Server>) => {
      servers.push(await opening);
    };
    const listeners = [
      ["callers", listen.callers, () => callers.listen(listen.callers)],
      ["forwarded", listen.peers, () => forwarded.listen(listen.peers)],
      ["peers", listen.peers, () => peers.listen()],
      [
        "readiness",
        listen.readiness,
        () =>
          open(serveReadiness(listen.readiness, {
            log,
            pacer,
            dialect,
            isReady,
          })),
      ],
      [
        "directory",
        listen.directory,
        () =>
          open(serveDirectory(listen.directory, {
            log,
            pacer,
            dialect,
            state,
            ttlMillis,
            isReady,
            liveEntries,
          })),
      ],
      [
        "state",
        listen.state,
        () => open(serveState(listen.state, { log, pacer, state })),
      ],
    ] as const;
    await Promise.all(
      listeners.map(([listener, address, openListener]) =>
        listenWhenPossible(openListener, {
          listener,
          address,
          log,
          isStopping: () => stopping,
        })
      ),
    );
    if (stopping) return;
    isListening = true;
    log.info("started", {
      callers: listen.callers,
      tookMillis: Math.round(performance.now()),
    });
  }

  /** Logs what the entry waits for, unless it did so shortly before. */
  function remindNotReady(): void {
    const nowMillis = performance.now();
    if (stopping || nowMillis < nextReminderMillis) return;
    nextReminderMillis = nowMillis + REMINDER_INTERVAL_MILLIS;
    const waitsFor = [
      isListening ? undefined : "listeners",
      state.config === undefined ? "configuration" : undefined,
      state.targets.isComplete ? undefined : "targets",
    ].filter((name) => name !== undefined);
    log.warn("not_ready", {
      waitsFor: waitsFor.join(","),
      store: settings.storeAddress,
      waitedMillis: Math.round(nowMillis - startedAtMillis),
    });
  }

  function isReady(): boolean {
    return state.isComplete && isListening && !stopping;
  }

  function liveEntries(): EntryRecord[] {
    const nowMillis = performance.now();
    const live = state.members.serving(nowMillis)
      .filter(({ record }) => record.id !== self.id)
      .map(({ record }) => record);
    if (isReady()) live.push(self);
    const peersKnown = nowMillis - startedAtMillis > PEER_DISCOVERY_MILLIS;
    return peersKnown || live.length > 1 ? live : [];
  }

  async function register(): Promise<void> {
    while (!stopping) {
      try {
        await store.register(self);
        log.info("registered", { incarnation: self.incarnation });
        await stateTask.readMembers();
        return peers.announce();
      } catch (error) {
        log.warn("register_failed", { error: (error as Error).message });
        stateTask.readMembers();
        await pause(REGISTER_RETRY_MILLIS);
      }
    }
  }

  async function stopGracefully(): Promise<void> {
    stopping = true;
    const stopAtMillis = performance.now();
    log.info("stopping", { inFlight: runner.inFlight });
    peers.announce();
    for (const server of callerServers) server.beginStop();
    const unregistered = store.unregister(self.id).catch((error: Error) =>
      log.warn("unregister_failed", { error: error.message })
    );
    const { graceMillis } = settings;
    const marginMillis = graceMillis * GRACE_MARGIN_SHARE;
    const deadlineMillis = stopAtMillis + graceMillis - marginMillis;
    runner.beginStop(deadlineMillis);
    await pause(Math.min(LAME_DUCK_MILLIS, graceMillis / 2));
    const maxAcceptMillis = ACCEPT_SHARE *
      Math.max(0, deadlineMillis - performance.now());
    const closeListeners = callerServers.map((server) => server.prepareClose());
    let isListenerOpen = true;
    const acceptAndRead = async (maxMillis: number) => {
      await pacer.acceptWaiting({
        maxMillis,
        hasRoom: () => !descriptors.isFull,
        // The system resets the connections that wait when a listener closes.
        onAccepted: () => {
          if (isListenerOpen) closeListeners.forEach((close) => close());
          isListenerOpen = false;
        },
      });
      return pacer.untilAllRead(maxMillis);
    };
    const unread = await acceptAndRead(maxAcceptMillis);
    for (const server of callerServers) server.closeIdle(unread);
    while (isListenerOpen && performance.now() < deadlineMillis) {
      await acceptAndRead(LATE_ACCEPT_MILLIS);
    }
    if (isListenerOpen) closeListeners.forEach((close) => close());
    await pauseWhile(isBusy, deadlineMillis);
    const unanswered = openAnswers();
    runner.endAll();
    for (const server of callerServers) server.refuseWaiting();
    const lastAnswersMillis = marginMillis * LAST_ANSWERS_SHARE;
    const sendUntilMillis = performance.now() + lastAnswersMillis;
    await pauseWhile(() => openAnswers() > 0, sendUntilMillis);
    for (const server of callerServers) server.endConnections();
    // Callers may not have read their last answers.
    await pauseWhile(hasConnections, Math.max(deadlineMillis, sendUntilMillis));
    await Promise.race([unregistered, pause(lastAnswersMillis)]);
    log.info("stopped", {
      openAnswers: unanswered,
      tookMillis: Math.round(performance.now() - stopAtMillis),
    });
    closeAll();
  }

  /** Waits until the condition ends, or until `endMillis`. */
  async function pauseWhile(
    condition: () => boolean,
    endMillis: number,
  ): Promise<void> {
    while (condition() && performance.now() < endMillis) {
      await pause(STATUS_POLL_MILLIS);
    }
  }

  function openAnswers(): number {
    return callers.openAnswers + forwarded.openAnswers;
  }

  function hasConnections(): boolean {
    return callerServers.some((server) => server.openConnections > 0);
  }

  function isBusy(): boolean {
    return callerServers.some((server) => server.busyConnections > 0);
  }

  function closeAll(): void {
    clearInterval(cleanupTimer);
    clearInterval(readinessTimer);
    stateTask.stop();
    peers.stop();
    stallMonitor.stop();
    memoryMonitor.stop();
    runner.stop();
    for (const server of callerServers) server.close();
    for (const server of servers) server.close();
    store.close();
    metrics.close().catch((error: Error) =>
      log.warn("metrics_failed", { error: error.message })
    );
    log.flush();
  }

  return {
    state,
    memory,
    pacer,
    listening,
    describeRequests: (max) => runner.describeActive(max),
    stop: () => stopped ??= stopGracefully(),
  };
}

function pause(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, millis));
}
