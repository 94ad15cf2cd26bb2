/**
 * Faults that a run brings about in a cluster of processes, and their ends.
 */
import { connect } from "node:net";
import type { LinkProxy } from "./link_proxy.ts";
import type { Cluster, ClusterEntry } from "./start_cluster.ts";

/** What faults act on. */
export interface FaultScene {
  cluster: Cluster;
  proxies: Map<string, LinkProxy>;
  random: () => number;
  /** Entries that a kill or freeze may hit. */
  victims: ClusterEntry[];
}

/** A fault that is in force; `end` heals it. */
export interface ActiveFault {
  detail: string;
  end(): Promise<void>;
}

/** Brings a fault about. */
export type FaultKind = (scene: FaultScene) => Promise<ActiveFault>;

const nothing = () => Promise.resolve();

function pick<T>(scene: FaultScene, list: readonly T[]): T {
  return list[Math.floor(scene.random() * list.length)];
}

function runningVictim(scene: FaultScene): ClusterEntry {
  const running = scene.victims.filter((e) => scene.cluster.children.get(e.id));
  return pick(scene, running.length > 0 ? running : scene.victims);
}

async function killProcess(scene: FaultScene): Promise<ActiveFault> {
  const victim = runningVictim(scene);
  const child = scene.cluster.children.get(victim.id);
  scene.cluster.children.signal(victim.id, "SIGKILL");
  await child?.exited;
  return {
    detail: victim.id,
    end: async () => {
      await scene.cluster.startEntry(victim);
      await scene.cluster.untilServing(victim);
    },
  };
}

async function freezeProcess(scene: FaultScene): Promise<ActiveFault> {
  const victim = runningVictim(scene);
  scene.cluster.children.signal(victim.id, "SIGSTOP");
  await nothing();
  return {
    detail: victim.id,
    end: () => {
      scene.cluster.children.signal(victim.id, "SIGCONT");
      return nothing();
    },
  };
}

/** Opens raw connections that break off within or after a request's bytes. */
function breakConnections(afterBytes: boolean): FaultKind {
  return async (scene) => {
    const victim = runningVictim(scene);
    const [host, port] = victim.callers.split(":");
    const { member, service, path } = idempotentRoute(scene);
    const head =
      `GET /v1/run/${member}/${service}${path}/broken HTTP/1.1\r\nhost: x\r\n`;
    for (let i = 0; i < 10; i++) {
      const socket = connect(Number(port), host);
      socket.on("error", () => {});
      socket.write(afterBytes ? `${head}\r\n` : head);
      setTimeout(() => socket.destroy(), 10);
    }
    await nothing();
    return { detail: victim.id, end: nothing };
  };
}

function idempotentRoute(scene: FaultScene) {
  const services = scene.cluster.fleet.document.services as {
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

/** Cuts all links between entries: nobody hears anybody. */
async function cutAllLinks(scene: FaultScene): Promise<ActiveFault> {
  for (const proxy of scene.proxies.values()) proxy.cut();
  await nothing();
  return {
    detail: "all",
    end: () => {
      for (const proxy of scene.proxies.values()) proxy.heal();
      return nothing();
    },
  };
}

/** Cuts what others send to one entry on connections that they opened. */
async function cutOneDirection(scene: FaultScene): Promise<ActiveFault> {
  const victim = runningVictim(scene);
  const proxy = scene.proxies.get(victim.id);
  proxy?.cut();
  await nothing();
  return {
    detail: `towards ${victim.id}`,
    end: () => {
      proxy?.heal();
      return nothing();
    },
  };
}

function storeFault(
  faults: Record<string, unknown>,
  healthy: Record<string, unknown>,
): FaultKind {
  return async (scene) => {
    await scene.cluster.setFaults(faults);
    return {
      detail: JSON.stringify(faults),
      end: () => scene.cluster.setFaults(healthy),
    };
  };
}

async function staleList(scene: FaultScene): Promise<ActiveFault> {
  await scene.cluster.listInstances([{
    id: "ghost",
    dataCentre: scene.cluster.entries[0].dataCentre,
    peerAddress: "127.0.0.1:9",
    leaving: false,
  }]);
  return {
    detail: "lists only a ghost",
    end: () => scene.cluster.listInstances(),
  };
}

/** Two operators change the same thing at two entries at once. */
async function twoOperators(scene: FaultScene): Promise<ActiveFault> {
  const entries = scene.cluster.entries.filter((e) =>
    scene.cluster.children.get(e.id)
  ).slice(0, 2);
  const id = `race-${Math.floor(scene.random() * 1e9).toString(36)}`;
  const edit = (entry: ClusterEntry) =>
    scene.cluster.operator(entry, {
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
            reason: "a race of two operators",
          },
        },
      },
    }).then(() => "won", (error) => String(error));
  const results = await Promise.all(entries.map(edit));
  return {
    detail: results.map((r) => r.slice(0, 40)).join(" / "),
    end: nothing,
  };
}

async function crashTarget(scene: FaultScene): Promise<ActiveFault> {
  const target = pick(scene, scene.cluster.fleet.targets).id;
  await scene.cluster.crashTarget(target);
  return { detail: target, end: nothing };
}

function targetFault(
  behaviour: Record<string, unknown>,
  healthy: Record<string, unknown>,
): FaultKind {
  return async (scene) => {
    const target = pick(scene, scene.cluster.fleet.targets).id;
    await scene.cluster.setBehaviour(target, behaviour);
    return {
      detail: target,
      end: () => scene.cluster.setBehaviour(target, healthy),
    };
  };
}

async function measurementsMissing(scene: FaultScene): Promise<ActiveFault> {
  const ids = scene.cluster.fleet.targets.map((t) => t.id);
  await Promise.all(
    ids.map((id) => scene.cluster.setBehaviour(id, { silentHealth: true })),
  );
  return {
    detail: "no target answers health checks",
    end: async () => {
      await Promise.all(
        ids.map((id) =>
          scene.cluster.setBehaviour(id, { silentHealth: false })
        ),
      );
    },
  };
}

/** All faults by name. */
export const faultKinds = {
  "process killed": killProcess,
  "process frozen and thawed": freezeProcess,
  "connection cut before the bytes": breakConnections(false),
  "connection cut after the bytes": breakConnections(true),
  "links cut both ways": cutAllLinks,
  "link cut one way": cutOneDirection,
  "store down": storeFault({ outage: true }, { outage: false }),
  "store slow": storeFault({ delayMillis: 700 }, { delayMillis: 0 }),
  "store answers lost": storeFault({ loseAnswers: 5 }, { loseAnswers: 0 }),
  "stale instance list": staleList,
  "two operators": twoOperators,
  "target crash": crashTarget,
  "target freeze": targetFault({ frozen: true }, { frozen: false }),
  "target slowed": targetFault({ slowFactor: 10 }, { slowFactor: 1 }),
  "measurements missing": measurementsMissing,
} as const satisfies Record<string, FaultKind>;

/** Name of a fault. */
export type FaultName = keyof typeof faultKinds;
