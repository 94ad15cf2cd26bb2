/**
 * Starts a whole cluster as processes on loopback: the platform's stand-in,
 * the targets, and entries in every data centre.
 */
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { fileURLToPath } from "node:url";
import path from "node:path";
import { request } from "undici";
import type { TargetBehaviour } from "@bamboolane/standins/serve_target";
import type { TargetActivity } from "@bamboolane/standins/main_targets";
import type { PlatformFaults } from "@bamboolane/standins/serve_platform";
import type { ListedInstance } from "@bamboolane/platform/ports";
import { ChildProcesses } from "./child_processes.ts";
import {
  type FleetLayout,
  type GeneratedFleet,
  makeFleet,
} from "./make_fleet.ts";

/** One entry of a cluster; addresses are `host:port`. */
export interface ClusterEntry {
  id: string;
  dataCentre: string;
  region: string;
  callers: string;
  peers: string;
  operators: string;
  metrics: string;
}

/** Options of {@link prepareCluster}. */
export interface ClusterOptions {
  layout: Omit<FleetLayout, "firstTargetPort">;
  /** Number of entries in each data centre, in the order of the data centres. */
  entriesPerDataCentre: number[];
  /** First of the ports that the cluster uses. */
  basePort: number;
  /** Settings of the entries that replace the defaults. */
  settings?: Record<string, unknown>;
  /** Node.js options for the entries, such as `--cpu-prof`. */
  nodeArgs?: string[];
  /** Advertises each entry's {@link proxyAddress} to its peers, so that links can be cut. */
  advertiseProxies?: boolean;
}

/** Token that the entries accept from operators. */
export const OPERATOR_TOKEN = "demo-operator-token-1";
const PEER_SECRET = "demo-peer-secret-0001";
const LOOPBACK_HOST = "127.0.0.1";
const REPOSITORY_ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  "../../..",
);
const CLI_PATH = path.join(REPOSITORY_ROOT, "packages/cli/dist/main.js");
const START_TIMEOUT_MILLIS = 20_000;

/** A running cluster. */
export class Cluster {
  readonly entries: ClusterEntry[];
  readonly fleet: GeneratedFleet;
  readonly folder: string;
  readonly children = new ChildProcesses();
  readonly #options: ClusterOptions;

  constructor(
    options: ClusterOptions,
    location: { folder: string; fleet: GeneratedFleet },
  ) {
    this.#options = options;
    this.folder = location.folder;
    this.fleet = location.fleet;
    this.entries = planEntries(options);
  }

  get platformUrl(): string {
    return `http://${LOOPBACK_HOST}:${this.#options.basePort}`;
  }

  get #controlAddress(): string {
    return `${LOOPBACK_HOST}:${this.#options.basePort + 1}`;
  }

  /** Starts all processes, publishes the first revision, and waits until all entries serve. */
  async start(): Promise<void> {
    await writeFile(
      this.#file("fleet.json"),
      JSON.stringify(this.fleet.document, null, 1),
    );
    await writeFile(
      this.#file("targets.json"),
      JSON.stringify(this.fleet.targets),
    );
    this.#startScript("platform", "main_platform.js", [
      `${LOOPBACK_HOST}:${this.#options.basePort}`,
    ]);
    this.#startScript("targets", "main_targets.js", [
      this.#controlAddress,
      this.#file("targets.json"),
    ]);
    await this.#retryUntil(() => this.setFaults({}).then(() => true));
    await this.#retryUntil(() => this.fetchTargetActivity().then(() => true));
    await this.setInstanceList();
    await Promise.all(this.entries.map((entry) => this.startEntry(entry)));
    await this.#retryUntil(() =>
      this.publish(this.fleet.document, "first revision").then(() => true)
    );
    await Promise.all(
      this.entries.map((entry) => this.waitUntilServing(entry)),
    );
  }

  /** Sets the platform's instance list; by default to all entries. */
  async setInstanceList(instances?: ListedInstance[]): Promise<void> {
    const list = instances ?? this.entries.map((e) => ({
      id: e.id,
      dataCentre: e.dataCentre,
      peerAddress: this.#options.advertiseProxies ? proxyAddress(e) : e.peers,
      leaving: false,
    }));
    await this.#put(`${this.platformUrl}/control/instances`, list);
  }

  async startEntry(entry: ClusterEntry): Promise<void> {
    const file = this.#file(`${entry.id}.json`);
    const settings = {
      instance: {
        id: entry.id,
        dataCentre: entry.dataCentre,
        region: entry.region,
      },
      listen: {
        callers: entry.callers,
        peers: entry.peers,
        operators: entry.operators,
        metrics: entry.metrics,
      },
      advertise: this.#options.advertiseProxies
        ? { peers: proxyAddress(entry) }
        : {},
      platform: { url: this.platformUrl, timeoutMillis: 1000 },
      credentials: {
        operators: [{ name: "demo", token: OPERATOR_TOKEN }],
        peerSecret: PEER_SECRET,
      },
      stopOnBreach: true,
      ...this.#options.settings,
    };
    await writeFile(file, JSON.stringify(settings));
    const nodeArgs = this.#options.nodeArgs ?? [];
    this.children.start(entry.id, [
      ...nodeArgs,
      CLI_PATH,
      "entry",
      "--settings",
      file,
    ], {
      logFile: this.#file(`${entry.id}.log`),
    });
  }

  /** Waits until an entry answers look-ups. */
  async waitUntilServing(entry: ClusterEntry): Promise<void> {
    const [profile] = this.#options.layout.profiles;
    const query = `member=${profile.member}&service=${
      profile.services[0].id
    }&client=10.1.0.1`;
    await this.#retryUntil(async () => {
      const reply = await request(`http://${entry.callers}/v1/lookup?${query}`);
      const answer = await reply.body.json() as { entries?: unknown[] };
      return reply.statusCode === 200 && (answer.entries?.length ?? 0) > 0;
    });
  }

  /** Calls an entry's operator interface; throws the error that it answers. */
  async callOperator<T>(
    entry: ClusterEntry,
    call: { method: "GET" | "POST"; path: string; body?: unknown },
  ): Promise<T> {
    const reply = await request(`http://${entry.operators}${call.path}`, {
      method: call.method,
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
    });
    const value = await reply.body.json() as T & { error?: string };
    if (reply.statusCode !== 200) throw new Error(value.error);
    return value;
  }

  /** Publishes a fleet document at the first running entry. */
  publish(
    document: unknown,
    summary: string,
  ): Promise<{ revision: number; elapsedMillis: number }> {
    const entry = this.entries.find((e) => this.children.get(e.id)) ??
      this.entries[0];
    const body = { text: JSON.stringify(document), summary };
    return this.callOperator(entry, {
      method: "POST",
      path: "/v1/publish",
      body,
    });
  }

  async setFaults(faults: Partial<PlatformFaults>): Promise<void> {
    await this.#put(`${this.platformUrl}/control/faults`, faults);
  }

  async setBehaviour(
    target: string,
    behaviour: Partial<TargetBehaviour>,
  ): Promise<void> {
    await this.#put(
      `http://${this.#controlAddress}/behaviour/${target}`,
      behaviour,
    );
  }

  async crashTarget(target: string): Promise<void> {
    await this.#put(`http://${this.#controlAddress}/crash/${target}`, {});
  }

  /** Fetches what the targets ran. */
  async fetchTargetActivity(): Promise<TargetActivity[]> {
    const reply = await request(`http://${this.#controlAddress}/ran`);
    return await reply.body.json() as TargetActivity[];
  }

  /** Stops all processes; returns the exit codes of the entries that were running. */
  async stop(): Promise<Record<string, number | null>> {
    const codes: Record<string, number | null> = {};
    await Promise.all(this.entries.map(async (entry) => {
      if (this.children.get(entry.id)) {
        codes[entry.id] = await this.children.stop(entry.id);
      }
    }));
    await this.children.stopAll();
    return codes;
  }

  async removeFolder(): Promise<void> {
    await rm(this.folder, { recursive: true, force: true });
  }

  #startScript(name: string, script: string, args: string[]): void {
    this.children.start(name, [
      path.join(REPOSITORY_ROOT, "standins/dist", script),
      ...args,
    ], {
      logFile: this.#file(`${name}.log`),
    });
  }

  #file(name: string): string {
    return path.join(this.folder, name);
  }

  async #put(url: string, value: unknown): Promise<void> {
    const reply = await request(url, {
      method: "PUT",
      body: JSON.stringify(value),
    });
    await reply.body.dump();
    if (reply.statusCode !== 200) {
      throw new Error(`${url} answered ${reply.statusCode}`);
    }
  }

  async #retryUntil(attempt: () => Promise<boolean>): Promise<void> {
    const endAtMillis = Date.now() + START_TIMEOUT_MILLIS;
    let lastError: unknown;
    while (Date.now() < endAtMillis) {
      try {
        if (await attempt()) return;
      } catch (error) {
        lastError = error;
      }
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    throw new Error(
      `the cluster did not start: ${lastError}; logs are in ${this.folder}`,
    );
  }
}

const PROXY_PORT_OFFSET = 100;

/** Address of the proxy in front of an entry's peer address. */
export function proxyAddress(entry: ClusterEntry): string {
  const [address, port] = entry.peers.split(":");
  return `${address}:${Number(port) + PROXY_PORT_OFFSET}`;
}

const FIRST_ENTRY_PORT_OFFSET = 10;
const PORTS_PER_ENTRY = 4;
const FIRST_TARGET_PORT_OFFSET = 200;

function planEntries(options: ClusterOptions): ClusterEntry[] {
  const entries: ClusterEntry[] = [];
  let port = options.basePort + FIRST_ENTRY_PORT_OFFSET;
  const [profile] = options.layout.profiles;
  let index = 0;
  for (const region of profile.regions) {
    for (const dataCentre of region.dataCentres) {
      const count = options.entriesPerDataCentre[index++] ?? 1;
      for (let n = 1; n <= count; n++) {
        entries.push({
          id: `e-${dataCentre}-${n}`,
          dataCentre,
          region: region.id,
          callers: `${LOOPBACK_HOST}:${port}`,
          peers: `${LOOPBACK_HOST}:${port + 1}`,
          operators: `${LOOPBACK_HOST}:${port + 2}`,
          metrics: `${LOOPBACK_HOST}:${port + 3}`,
        });
        port += PORTS_PER_ENTRY;
      }
    }
  }
  return entries;
}

/** Creates the folder and the fleet of a cluster; `start` then starts it. */
export async function prepareCluster(
  options: ClusterOptions,
): Promise<Cluster> {
  const folder = await mkdtemp(path.join(tmpdir(), "bamboolane-"));
  await mkdir(folder, { recursive: true });
  const fleet = makeFleet({
    ...options.layout,
    firstTargetPort: options.basePort + FIRST_TARGET_PORT_OFFSET,
  });
  return new Cluster(options, { folder, fleet });
}
