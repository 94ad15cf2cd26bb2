/**
 * A small system in one process: stand-ins and entries over loopback.
 */
import { type RunningEntry, startEntry } from "@bamboolane/entry/start_entry";
import {
  createLogger,
  createNoopLogger,
} from "@bamboolane/logger/create_logger";
import { createNoopMetrics } from "@bamboolane/metrics/create_metrics";
import {
  type PlatformStandin,
  servePlatform,
} from "@bamboolane/standins/serve_platform";
import {
  serveTarget,
  type TargetBehaviour,
  type TargetStandin,
} from "@bamboolane/standins/serve_target";
import { reserveAddress } from "@bamboolane/test-utils/loopback_address";
import { sampleFleet } from "@bamboolane/test-utils/sample_fleet";
import type { FleetConfig } from "@bamboolane/types/fleet";
import type { EntrySettings } from "@bamboolane/types/settings";

const HOST = "127.0.0.1";
/** Bearer token of the test operator. */
export const OPERATOR_TOKEN = "test-operator-token";
const MAX_WAIT_MILLIS = 30_000;

/** Waits until `check` holds; the time limit only ends a test that hangs. */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = Date.now() + MAX_WAIT_MILLIS;
  while (!await check()) {
    if (Date.now() > end) throw new Error(`timed out waiting for ${check}`);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/** One entry with the settings that it was started with. */
export interface TestEntry {
  settings: EntrySettings;
  running: RunningEntry;
}

const REGION_BY_DATA_CENTRE: Record<string, string> = {
  a1: "east",
  a2: "east",
  b1: "west",
};

/** Stand-ins and entries of one scenario. */
export class TestSystem {
  readonly entries = new Map<string, TestEntry>();
  readonly targets = new Map<string, TargetStandin>();
  readonly breaches: string[] = [];
  platform!: PlatformStandin;
  fleet!: FleetConfig;

  async start(): Promise<void> {
    this.platform = await servePlatform(`${HOST}:0`);
  }

  /** Starts a target; call before `publish`. */
  async addTarget(
    id: string,
    behaviour: Partial<TargetBehaviour> = {},
  ): Promise<void> {
    this.targets.set(
      id,
      await serveTarget({ address: `${HOST}:0`, behaviour }),
    );
  }

  async addEntry(
    id: string,
    dataCentre: string,
    seeds: string[] = [],
  ): Promise<TestEntry> {
    const settings = { ...this.#settings(id, dataCentre), seeds };
    this.platform.store.instances.push({
      id,
      dataCentre,
      peerAddress: settings.listen.peers,
      leaving: false,
    });
    return await this.startEntry(settings);
  }

  async startEntry(settings: EntrySettings): Promise<TestEntry> {
    const log = process.env.TEST_LOG
      ? createLogger({
        level: "info",
        baseFields: { instance: settings.instance.id },
      })
      : createNoopLogger();
    const running = await startEntry({
      settings,
      log,
      metrics: createNoopMetrics(),
      onBreach: (name) =>
        this.breaches.push(`${settings.instance.id}: ${name}`),
    });
    const entry = { settings, running };
    this.entries.set(settings.instance.id, entry);
    return entry;
  }

  /**
   * Publishes a fleet with all targets, and waits until all entries serve. The id
   * of a target starts with its data centre.
   */
  async publish(
    overrides: Partial<FleetConfig> = {},
    defaults = {},
  ): Promise<void> {
    const targets = [...this.targets].map(([id, target]) => ({
      id,
      dataCentre: id.split("-")[0],
      address: target.address,
      slots: target.behaviour.slots,
    }));
    this.fleet = sampleFleet({ targets, overrides, defaults });
    const [first] = this.entries.values();
    await first.running.actions.publish(
      { text: JSON.stringify(this.fleet) },
      "test",
    );
    await this.waitUntilServing();
  }

  /**
   * Waits until every entry has a revision in force and knows that all entries
   * serve.
   */
  async waitUntilServing(): Promise<void> {
    await waitUntil(() =>
      [...this.entries.values()].every(({ running }) =>
        running.config.state !== undefined &&
        [...this.entries.keys()].every((id) =>
          running.membership.table.get(id)?.state === 1
        )
      )
    );
  }

  entry(id: string): TestEntry {
    const found = this.entries.get(id);
    if (found === undefined) throw new Error(`no entry ${id}`);
    return found;
  }

  target(id: string): TargetStandin {
    const found = this.targets.get(id);
    if (found === undefined) throw new Error(`no target ${id}`);
    return found;
  }

  /** Closes an entry as a crash would. */
  kill(id: string): void {
    this.entry(id).running.kill();
    this.entries.delete(id);
  }

  async stopEntry(id: string): Promise<void> {
    const { running } = this.entry(id);
    this.entries.delete(id);
    await running.stop();
  }

  /**
   * How often a request with this mark as its body or at the end of its path ran,
   * over all targets.
   */
  runCount(mark: string): number {
    let count = 0;
    for (const target of this.targets.values()) {
      count += target.ran.filter((r) =>
        r.mark === mark || r.path.endsWith(mark)
      ).length;
    }
    return count;
  }

  async close(): Promise<void> {
    for (const { running } of this.entries.values()) running.kill();
    await Promise.all(
      [...this.targets.values()].map((target) => target.close()),
    );
    await this.platform.close();
  }

  #settings(id: string, dataCentre: string): EntrySettings {
    const [callers, peers, operators, metrics] = Array.from(
      { length: 4 },
      reserveAddress,
    );
    return {
      instance: { id, dataCentre, region: REGION_BY_DATA_CENTRE[dataCentre] },
      listen: { callers, peers, operators, metrics },
      platform: { url: this.platform.url, timeoutMillis: 500 },
      seeds: [],
      advertise: {},
      credentials: {
        operators: [{ name: "ops", token: OPERATOR_TOKEN }],
        peerSecret: "test-peer-secret",
      },
      limits: {
        headerBytes: 8192,
        bodyBytes: 1_000_000,
        requestTimeoutMillis: 20_000,
        connections: 1000,
        ticketsPerBatch: 10,
        ticketLifetimeMillis: 60_000,
        keptAnswers: 1000,
        keptAnswerBytes: 16_384,
      },
      timers: {
        heartbeatMillis: 100,
        suspectAfterMillis: 1500,
        headPollMillis: 100,
        freshnessMillis: 1500,
        probeMillis: 200,
        listPollMillis: 1000,
      },
      log: { level: "info", lookups: true },
      stopOnBreach: false,
    };
  }
}
