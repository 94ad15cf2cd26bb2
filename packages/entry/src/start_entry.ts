/**
 * Starts an entry and stops it gracefully.
 */
import process from "node:process";
import {
  createMetrics,
  type Metrics,
} from "@bamboolane/metrics/create_metrics";
import { InstanceState } from "@bamboolane/types/instance";
import { servePeers } from "@bamboolane/wire/peer_channel";
import { assembleEntry, type AssembleOptions } from "./assemble_entry.ts";
import type { ConfigTask } from "./config_task.ts";
import type { EntryContext } from "./context.ts";
import { Invariant } from "./invariants.ts";
import type { MembershipTask } from "./membership_task.ts";
import type { OperatorActions } from "./operator_actions.ts";
import type { PoolManager } from "./pool_manager.ts";

/** Options of {@link startEntry}. */
export interface StartOptions extends Omit<AssembleOptions, "metrics"> {
  metrics?: Metrics;
}

/** A running entry. */
export interface RunningEntry {
  context: EntryContext;
  config: ConfigTask;
  membership: MembershipTask;
  pools: PoolManager;
  actions: OperatorActions;
  /**
   * Stops gracefully: is removed from look-ups, completes running requests,
   * releases the duties and closes.
   */
  stop(): Promise<void>;
  /** Closes immediately, as a crash would. */
  kill(): void;
}

const HOUSEKEEPING_INTERVAL_MILLIS = 1000;
/**
 * A stopping instance accepts requests for the look-ups' time to live and this
 * margin, because callers may still use an earlier look-up.
 */
const LEAVE_MARGIN_MILLIS = 200;
/**
 * How long a stopping instance waits for its last claims and outcomes to be
 * written.
 */
const FINAL_WRITE_TIMEOUT_MILLIS = 2000;
const READY_POLL_INTERVAL_MILLIS = 20;

/** Starts an entry; resolves when it listens. */
export async function startEntry(options: StartOptions): Promise<RunningEntry> {
  const { settings, log } = options;
  const metrics = options.metrics ??
    await createMetrics(settings.listen.metrics, {
      onError: (error) => log.warn("metrics_failed", { error: error.message }),
    });
  const components = assembleEntry({ ...options, metrics });
  const {
    context,
    config,
    membership,
    pools,
    callers,
    operators,
    duties,
    actions,
  } = components;
  const { clock } = context;
  const peers = await servePeers(settings.listen.peers, {
    secret: settings.credentials.peerSecret,
    handlers: {
      exchange: (stream) => membership.mesh.accept(stream),
      forward: (stream) => components.serveForwarded(stream),
      fetchObject: (hash) => Promise.resolve(config.object(hash)),
    },
  });
  registerGauges();
  await membership.start();
  await config.start();
  pools.start();
  await callers.listen(settings.listen.callers);
  await operators.listen(settings.listen.operators);
  duties.start();
  components.statsWriter.start();
  let lastCutOff = true;
  const housekeeping = setInterval(
    () => runHousekeeping(),
    HOUSEKEEPING_INTERVAL_MILLIS,
  );
  const readyTimer = setInterval(
    () => serveWhenReady(),
    READY_POLL_INTERVAL_MILLIS,
  );
  serveWhenReady();
  log.info("started", {
    incarnation: components.incarnation,
    callers: settings.listen.callers,
  });

  /** Starts serving once a revision is in force. */
  function serveWhenReady() {
    if (config.state === undefined) return;
    clearInterval(readyTimer);
    if (membership.table.self.state !== InstanceState.joining) return;
    membership.announce({ state: InstanceState.serving });
    pools.reconcile();
    log.info("serving", { revision: config.revision });
  }

  function runHousekeeping() {
    components.executions.expire(clock.nowMillis());
    components.forward.closeIdle();
    const cutOff = config.isCutOff();
    if (cutOff === lastCutOff) return;
    lastCutOff = cutOff;
    log.warn("cut_off_changed", {
      cutOff,
      freshAgeMillis: Math.round(config.freshAgeMillis()),
    });
    membership.announce({ cutOff });
  }

  function registerGauges() {
    metrics.gauge("bamboolane_revision", () => config.revision);
    metrics.gauge("bamboolane_cut_off", () => config.isCutOff() ? 1 : 0);
    metrics.gauge(
      "bamboolane_in_flight",
      () => callers.inFlight + pools.inFlight,
    );
    metrics.gauge(
      "bamboolane_live_instances",
      () => membership.table.live().length,
    );
    metrics.gauge("bamboolane_resident_bytes", () => process.memoryUsage.rss());
  }

  /** Leaves the look-ups, and waits for the time to live of earlier answers. */
  async function leaveLookups() {
    membership.announce({ state: InstanceState.leaving });
    pools.reconcile();
    const ttlSeconds = config.body?.fleet.defaults.lookupTtlSeconds ?? 0;
    await new Promise((resolve) =>
      setTimeout(resolve, ttlSeconds * 1000 + LEAVE_MARGIN_MILLIS)
    );
  }

  async function finishWork() {
    await callers.finish();
    while (pools.inFlight + components.executions.running > 0) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  function close() {
    clearInterval(housekeeping);
    clearInterval(readyTimer);
    config.stop();
    pools.stop();
    membership.stop();
    peers.close();
    callers.close();
    operators.close();
    components.forward.close();
  }

  return {
    context,
    config,
    membership,
    pools,
    actions,
    async stop() {
      log.info("stopping", { inFlight: callers.inFlight + pools.inFlight });
      await leaveLookups();
      await finishWork();
      context.invariants.check(
        Invariant.gracefulStop,
        callers.inFlight === 0 && pools.inFlight === 0,
        () => `callers=${callers.inFlight} pools=${pools.inFlight}`,
      );
      await components.claimWriter.drain(FINAL_WRITE_TIMEOUT_MILLIS);
      await components.outcomes.close({
        instance: settings.instance.id,
        incarnation: components.incarnation,
      }, {
        waitMillis: FINAL_WRITE_TIMEOUT_MILLIS,
      });
      await duties.stop();
      await components.statsWriter.stop();
      membership.announce({ state: InstanceState.dead, pools: [] });
      // The announcement is sent in the background.
      await new Promise((resolve) => setTimeout(resolve, 50));
      close();
      await components.platform.close();
      await metrics.close();
      log.info("stopped", {});
      log.flush();
    },
    kill() {
      duties.halt();
      close();
      components.platform.close();
    },
  };
}
