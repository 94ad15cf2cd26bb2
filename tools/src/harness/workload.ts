/**
 * The two users' workloads as random arrivals, reproducible from a seed.
 */
import type { Call } from "./caller.ts";

/** A kind of call with its arrival rate. */
export interface CallKind {
  callsPerSecond: number;
  makeCall: (parts: { client: string; mark: string }) => Omit<Call, "client">;
}

function getCall(
  member: string,
  service: string,
  path: string,
): CallKind["makeCall"] {
  return ({ mark }) => ({
    member,
    service,
    method: "GET",
    path: `${path}/${mark}`,
    body: "",
    key: "none",
    timeoutMillis: 10_000,
  });
}

function postCall(
  member: string,
  service: string,
  options: { path: string; key: "ticket" | "own" },
): CallKind["makeCall"] {
  return ({ mark }) => ({
    member,
    service,
    method: "POST",
    path: options.path,
    body: mark,
    key: options.key,
    timeoutMillis: 10_000,
  });
}

/** Calls of Blanchisserie Ndiaye et Fils. */
export const NDIAYE_CALLS: CallKind[] = [
  { callsPerSecond: 40, makeCall: getCall("ndiaye", "pickups", "/pickups") },
  { callsPerSecond: 4, makeCall: getCall("ndiaye", "pickups", "/archive") },
  {
    callsPerSecond: 8,
    makeCall: postCall("ndiaye", "billing", { path: "/charge", key: "ticket" }),
  },
  {
    callsPerSecond: 3,
    makeCall: postCall("ndiaye", "billing", { path: "/charge", key: "own" }),
  },
  { callsPerSecond: 20, makeCall: getCall("ndiaye", "wash-tracking", "/wash") },
  { callsPerSecond: 4, makeCall: getCall("ndiaye", "invoices", "/invoice") },
];

/** Calls of Kerala CycleStand Franchise Office. */
export const CYCLESTAND_CALLS: CallKind[] = [
  { callsPerSecond: 30, makeCall: getCall("cyclestand", "stock", "/stock") },
  {
    callsPerSecond: 6,
    makeCall: postCall("cyclestand", "orders", {
      path: "/order",
      key: "ticket",
    }),
  },
  {
    callsPerSecond: 3,
    makeCall: postCall("cyclestand", "orders", { path: "/order", key: "own" }),
  },
  { callsPerSecond: 15, makeCall: getCall("cyclestand", "surveys", "/survey") },
  {
    callsPerSecond: 5,
    makeCall: getCall("cyclestand", "brochures", "/brochure"),
  },
];

/** Options of {@link driveCalls}. */
export interface DriveOptions {
  kinds: CallKind[];
  durationMillis: number;
  random: () => number;
  /**
   * Client addresses are `10.N.x.y` with N from 1 to this number, one client
   * block for each data centre of a generated fleet.
   */
  clientBlockCount: number;
  /** Starts one call without waiting for its result. */
  startCall: (call: Call) => void;
}

/** Starts calls of each kind as a Poisson process until the duration is over. */
export async function driveCalls(options: DriveOptions): Promise<void> {
  const { random } = options;
  const endAtMillis = performance.now() + options.durationMillis;
  let count = 0;
  const nextArrivalMillis = options.kinds.map(() => performance.now());
  while (performance.now() < endAtMillis) {
    const nowMillis = performance.now();
    options.kinds.forEach((kind, index) => {
      while (nextArrivalMillis[index] <= nowMillis) {
        nextArrivalMillis[index] += -Math.log(1 - random()) * 1000 /
          kind.callsPerSecond;
        const block = 1 + Math.floor(random() * options.clientBlockCount);
        const client = `10.${block}.${Math.floor(random() * 200)}.${
          Math.floor(random() * 200)
        }`;
        const mark = `m${(++count).toString(36)}-${
          Math.floor(random() * 1e9).toString(36)
        }`;
        options.startCall({ ...kind.makeCall({ client, mark }), client });
      }
    });
    await new Promise((resolve) => setTimeout(resolve, 4));
  }
}
