/**
 * Faults that are injected into a cluster of processes and removed again.
 */
import { connect } from "node:net";
import type { LinkProxy } from "./link_proxy.ts";
import type { Cluster, ClusterEntry } from "./start_cluster.ts";

/** A running cluster that faults are injected into. */
export interface Testbed {
  cluster: Cluster;
  /** Proxies before the entries' peer addresses, by entry id. */
  proxies: Map<string, LinkProxy>;
  /** Uniform random numbers in [0, 1). */
  random: () => number;
  /** Entries that a fault of a single entry may hit. */
  victims: ClusterEntry[];
}

/** An injected fault. */
export interface ActiveFault {
  /** What the fault affects or did, for the output. */
  detail: string;
  /** Removes the fault; does nothing for a fault that ends by itself. */
  end(): Promise<void>;
}

/** Injects a fault. */
export type FaultInjector = (testbed: Testbed) => Promise<ActiveFault>;

const noop = () => Promise.resolve();

function pick<T>(testbed: Testbed, list: readonly T[]): T {
  return list[Math.floor(testbed.random() * list.length)];
}

function pickVictim(testbed: Testbed): ClusterEntry {
  const running = testbed.victims.filter((e) =>
    testbed.cluster.children.get(e.id)
  );
  return pick(testbed, running.length > 0 ? running : testbed.victims);
}

async function killProcess(testbed: Testbed): Promise<ActiveFault> {
  const victim = pickVictim(testbed);
  const child = testbed.cluster.children.get(victim.id);
  testbed.cluster.children.signal(victim.id, "SIGKILL");
  await child?.exited;
  return {
    detail: victim.id,
    end: async () => {
      await testbed.cluster.startEntry(victim);
      await testbed.cluster.waitUntilServing(victim);
    },
  };
}

async function freezeProcess(testbed: Testbed): Promise<ActiveFault> {
  const victim = pickVictim(testbed);
  testbed.cluster.children.signal(victim.id, "SIGSTOP");
  await noop();
  return {
    detail: victim.id,
    end: () => {
      testbed.cluster.children.signal(victim.id, "SIGCONT");
      return noop();
    },
  };
}

/**
 * Opens raw connections and closes them without waiting for a response, either
 * in the middle of a request or after all its bytes.
 */
function abortConnections(afterRequest: boolean): FaultInjector {
  return async (testbed) => {
    const victim = pickVictim(testbed);
    const [host, port] = victim.callers.split(":");
    const { member, service, path } = findIdempotentRoute(testbed);
    const head =
      `GET /v1/run/${member}/${service}${path}/broken HTTP/1.1\r\nhost: x\r\n`;
    for (let i = 0; i < 10; i++) {
      const socket = connect(Number(port), host);
      socket.on("error", () => {});
      socket.write(afterRequest ? `${head}\r\n` : head);
      setTimeout(() => socket.destroy(), 10);
    }
    await noop();
    return { detail: victim.id, end: noop };
  };
}

function findIdempotentRoute(testbed: Testbed) {
  const services = testbed.cluster.fleet.document.services as {
    id: string;
    members: string[];
    routes: { pathPrefix: string; idempotent: boolean }[];
  }[];
  const service = services.find((s) => s.routes.some((r) => r.idempotent)) ??
    services[0];
  const route = service.routes.find((r) => r.idempotent);
  return {
    member: service.members[0],
    service: service.id,
    path: route?.pathPrefix ?? "/",
  };
}

/** Cuts all links: no entry can reach any other. */
async function cutAllLinks(testbed: Testbed): Promise<ActiveFault> {
  for (const proxy of testbed.proxies.values()) proxy.cut();
  await noop();
  return {
    detail: "all",
    end: () => {
      for (const proxy of testbed.proxies.values()) proxy.heal();
      return noop();
    },
  };
}

/** Cuts the connections that other entries opened to one entry. */
async function cutOneDirection(testbed: Testbed): Promise<ActiveFault> {
  const victim = pickVictim(testbed);
  const proxy = testbed.proxies.get(victim.id);
  proxy?.cut();
  await noop();
  return {
    detail: `towards ${victim.id}`,
    end: () => {
      proxy?.heal();
      return noop();
    },
  };
}

function makeStoreFault(
  faults: Record<string, unknown>,
  healthy: Record<string, unknown>,
): FaultInjector {
  return async (testbed) => {
    await testbed.cluster.setFaults(faults);
    return {
      detail: JSON.stringify(faults),
      end: () => testbed.cluster.setFaults(healthy),
    };
  };
}

/** Makes the platform list a single instance, which doesn't exist. */
async function serveStaleList(testbed: Testbed): Promise<ActiveFault> {
  await testbed.cluster.setInstanceList([{
    id: "ghost",
    dataCentre: testbed.cluster.entries[0].dataCentre,
    peerAddress: "127.0.0.1:9",
    leaving: false,
  }]);
  return {
    detail: "lists only an instance that does not exist",
    end: () => testbed.cluster.setInstanceList(),
  };
}

/** Two operators add the same exception at two entries at the same time. */
async function editConcurrently(testbed: Testbed): Promise<ActiveFault> {
  const entries = testbed.cluster.entries.filter((e) =>
    testbed.cluster.children.get(e.id)
  ).slice(0, 2);
  const id = `race-${Math.floor(testbed.random() * 1e9).toString(36)}`;
  const sendEdit = (entry: ClusterEntry) =>
    testbed.cluster.callOperator(entry, {
      method: "POST",
      path: "/v1/edit",
      body: {
        edit: {
          kind: "exception-add",
          exception: {
            id,
            match: {},
            change: { bulkShare: 0.34 },
            owner: entry.id,
            reason: "two operators edit at the same time",
          },
        },
      },
    }).then(() => "accepted", (error) => String(error));
  const results = await Promise.all(entries.map(sendEdit));
  return {
    detail: results.map((r) => r.slice(0, 40)).join(" / "),
    end: noop,
  };
}

/** Crashes a target; it restarts by itself after the layout's `restartMillis`. */
async function crashTarget(testbed: Testbed): Promise<ActiveFault> {
  const target = pick(testbed, testbed.cluster.fleet.targets).id;
  await testbed.cluster.crashTarget(target);
  return { detail: target, end: noop };
}

function makeTargetFault(
  behaviour: Record<string, unknown>,
  healthy: Record<string, unknown>,
): FaultInjector {
  return async (testbed) => {
    const target = pick(testbed, testbed.cluster.fleet.targets).id;
    await testbed.cluster.setBehaviour(target, behaviour);
    return {
      detail: target,
      end: () => testbed.cluster.setBehaviour(target, healthy),
    };
  };
}

async function stopHealthAnswers(testbed: Testbed): Promise<ActiveFault> {
  const ids = testbed.cluster.fleet.targets.map((t) => t.id);
  await Promise.all(
    ids.map((id) => testbed.cluster.setBehaviour(id, { silentHealth: true })),
  );
  return {
    detail: "no target answers health checks",
    end: async () => {
      await Promise.all(
        ids.map((id) =>
          testbed.cluster.setBehaviour(id, { silentHealth: false })
        ),
      );
    },
  };
}

/** Injectors of all faults by name. */
export const FAULT_INJECTORS = {
  "process killed": killProcess,
  "process frozen and thawed": freezeProcess,
  "connection cut before the bytes": abortConnections(false),
  "connection cut after the bytes": abortConnections(true),
  "links cut both ways": cutAllLinks,
  "link cut one way": cutOneDirection,
  "store down": makeStoreFault({ outage: true }, { outage: false }),
  "store slow": makeStoreFault({ delayMillis: 700 }, { delayMillis: 0 }),
  "store answers lost": makeStoreFault({ loseAnswers: 5 }, { loseAnswers: 0 }),
  "stale instance list": serveStaleList,
  "two operators": editConcurrently,
  "target crash": crashTarget,
  "target freeze": makeTargetFault({ frozen: true }, { frozen: false }),
  "target slowed": makeTargetFault({ slowFactor: 10 }, { slowFactor: 1 }),
  "measurements missing": stopHealthAnswers,
} as const satisfies Record<string, FaultInjector>;

/** Name of a fault. */
export type FaultName = keyof typeof FAULT_INJECTORS;
