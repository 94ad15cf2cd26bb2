/**
 * Gateways on loopback ports with scripted targets and an in-memory store.
 */
import { request } from "undici";
import { createLogger } from "@bamboolane/logger/create_logger";
import { createNoopMetrics } from "@bamboolane/metrics/create_metrics";
import type { CallerDialect } from "@bamboolane/gateway/caller_dialect";
import type { GatewaySettings } from "@bamboolane/gateway/gateway_settings";
import {
  type RunningGateway,
  startGateway,
} from "@bamboolane/gateway/start_gateway";
import { StateTable } from "@bamboolane/gateway/state_store";
import { reserveAddress } from "@bamboolane/test-utils/loopback_address";
import { MemoryStateStore } from "@bamboolane/standins/memory_state_store";
import {
  type Script,
  type ScriptedTarget,
  startScriptedTarget,
} from "@bamboolane/standins/scripted_target";
import {
  RepeatPolicy,
  type SteeringConfig,
  type SteeringRoute,
} from "@bamboolane/steering/steering_config";

/** Dialect of the tests, with header names of its own. */
export const testDialect: CallerDialect = {
  requestIdHeader: "test-request",
  deadlineHeader: "test-deadline",
  signatureHeader: "test-signature",
  expectedTargetHeader: "test-target",
  loadHeader: "test-load",
  limitHeader: "test-limit",
  leavingHeader: "test-leaving",
  notRunHeader: "test-not-run",
  warmupHeader: "test-warmup",
  misdirectedStatus: 421,
  readinessPath: "/ready",
  directoryPath: "/entries",
  parseObject: (cookies) => cookies,
  parseLoad: () => undefined,
  parseLimit: Number,
  parseLeaving: (header) => header === "1",
  parseLocation: (query) => ({
    region: query.get("region") ?? "",
    dataCentre: query.get("place") ?? "",
  }),
  formatEntries: (addresses, ttlMillis) =>
    JSON.stringify({ addresses, ttlMillis }),
};

function route(
  prefix: string,
  repeat: RepeatPolicy,
  timeoutMillis: number,
): SteeringRoute {
  return {
    name: prefix,
    host: "test.example",
    prefix,
    repeat,
    timeoutMillis,
    objectiveMillis: 200,
    attempts: 2,
    priority: 1,
    affinity: false,
    allowedRegions: [],
    parts: [{ service: "s", weight: 1 }],
  };
}

/** A configuration with a route of each kind, without those of `dropped`. */
export function testConfig(
  revision: number,
  dropped: readonly string[] = [],
): SteeringConfig {
  const routes = [
    route("/read/", RepeatPolicy.idempotent, 2000),
    route("/write/", RepeatPolicy.atMostOnce, 2000),
    route("/brief/", RepeatPolicy.idempotent, 300),
    {
      ...route("/batch/", RepeatPolicy.atMostOnce, 20_000),
      objectiveMillis: 10_000,
    },
    {
      ...route("/once/", RepeatPolicy.atMostOnce, 20_000),
      objectiveMillis: 10_000,
      attempts: 1,
    },
    {
      ...route("/home/", RepeatPolicy.idempotent, 2000),
      allowedRegions: ["a"],
    },
  ];
  return {
    revision,
    routes: routes.filter(({ prefix }) => !dropped.includes(prefix)),
    services: [{
      name: "s",
      healthPath: "/health",
      maxConnections: 50,
      warmupMillis: 500,
      warmupPerSecond: 10,
    }],
    limits: {
      headerBytes: 4096,
      bodyBytes: 10_000,
      headerTimeoutMillis: 2000,
      idleTimeoutMillis: 5000,
    },
  };
}

/** An entry with its settings. */
export interface TestEntry {
  settings: GatewaySettings;
  gateway: RunningGateway;
}

/** Store, entries and targets of one scenario. */
export class TestGateway {
  readonly store = new MemoryStateStore();
  readonly entries = new Map<string, TestEntry>();
  readonly targets = new Map<string, ScriptedTarget>();
  /** Data centres of the targets, by id. */
  readonly #targetDataCentres = new Map<string, string>();
  #latestSequence = 0;
  /** Log text of all entries. */
  logText = "";

  publish(config: SteeringConfig): void {
    this.store.put(StateTable.operator, { kind: "config", config });
  }

  async addTarget(
    id: string,
    script: Script,
    options: { dataCentre?: string; respondOnHead?: boolean } = {},
  ): Promise<void> {
    const target = await startScriptedTarget({
      script,
      respondOnHead: options.respondOnHead,
    });
    this.targets.set(id, target);
    this.#targetDataCentres.set(id, options.dataCentre ?? "a1");
    this.writeTarget(id, false);
  }

  writeTarget(
    id: string,
    draining: boolean,
    options: { bornMillis?: number } = {},
  ): void {
    const target = this.targets.get(id) as ScriptedTarget;
    this.store.put(StateTable.targets, {
      kind: "target",
      id,
      record: {
        id,
        service: "s",
        address: target.address,
        dataCentre: this.#targetDataCentres.get(id) ?? "a1",
        slots: 3,
        draining,
        warmupLeftMillis: 0,
        bornMillis: options.bornMillis ?? 1,
        sequence: ++this.#latestSequence,
      },
    });
  }

  async addEntry(
    id: string,
    options: {
      storeUnavailable?: boolean;
      /** Entries, or addresses of other servers of state. */
      seeds?: string[];
      hasRetryBudget?: boolean;
      dataCentre?: string;
      /** Region a unless given. */
      region?: string;
      graceMillis?: number;
      memoryBytes?: number;
      maxSockets?: number;
      /** Called with the addresses before the start, which then isn't awaited. */
      beforeStart?: (listen: GatewaySettings["listen"]) => Promise<void>;
    } = {},
  ): Promise<void> {
    if (options.storeUnavailable) this.store.setUnavailable(id, true);
    const [callers, readiness, directory, state, peers] = Array.from(
      { length: 5 },
      reserveAddress,
    );
    const settings: GatewaySettings = {
      instance: {
        id,
        dataCentre: options.dataCentre ?? "a1",
        region: options.region ?? "a",
      },
      listen: { callers, readiness, directory, state, peers, metrics: "" },
      memoryBytes: options.memoryBytes,
      maxSockets: options.maxSockets,
      storeAddress: "",
      seeds: (options.seeds ?? []).map((seed) =>
        this.entries.get(seed)?.settings.listen.state ?? seed
      ),
      dataCentres: { a1: "a", a2: "a", b1: "b" },
      graceMillis: options.graceMillis ?? 1200,
      applyWithinMillis: 2500,
      lookupTtlMillis: 1000,
      // A high ratio replaces requests that would earn the budget first.
      retryBudget: {
        ratio: options.hasRetryBudget ? 10 : 0,
        allowance: 0,
        windowMillis: 10_000,
      },
      log: { level: "info" },
    };
    await options.beforeStart?.(settings.listen);
    const gateway = startGateway({
      settings,
      dialect: testDialect,
      store: this.store.connect(id),
      log: createLogger({
        level: "info",
        baseFields: { instance: id },
        write: (text) => this.logText += text,
      }),
      metrics: createNoopMetrics(),
    });
    this.entries.set(id, { settings, gateway });
    if (options.beforeStart) return;
    await gateway.listening;
    if (!options.storeUnavailable) {
      await until(() => gateway.state.isComplete, `${id} has its state`);
    }
  }

  settings(entry: string): GatewaySettings {
    return (this.entries.get(entry) as TestEntry).settings;
  }

  /** Number of requests that the targets received. */
  get receivedCount(): number {
    return [...this.targets.values()].reduce(
      (n, t) => n + t.received.length,
      0,
    );
  }

  async listedAddresses(entry: string): Promise<string[]> {
    const { directory } = this.settings(entry).listen;
    const reply = await request(
      `http://${directory}/entries?region=a&place=a1`,
    );
    const body = await reply.body.json() as { addresses?: string[] };
    return (body.addresses ?? []).sort();
  }

  async close(): Promise<void> {
    await Promise.all(
      [...this.entries.values()].map(({ gateway }) => gateway.stop()),
    );
    await Promise.all([...this.targets.values()].map((t) => t.close()));
  }
}

const MAX_WAIT_SECONDS = 5;

/** Waits until `check` holds; fails after 5 s. */
export function until(
  check: () => boolean | Promise<boolean>,
  description: string,
): Promise<void> {
  return untilWithin(check, { seconds: MAX_WAIT_SECONDS, description });
}

/** Waits until `check` holds; fails after `seconds`. */
export async function untilWithin(
  check: () => boolean | Promise<boolean>,
  options: { seconds: number; description: string },
): Promise<void> {
  const { seconds, description } = options;
  const endMillis = performance.now() + seconds * 1000;
  while (!await check()) {
    if (performance.now() > endMillis) {
      throw new Error(`not within ${seconds} s: ${description}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
