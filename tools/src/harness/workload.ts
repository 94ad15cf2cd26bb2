/**
 * Seeded arrivals of the two users' workloads.
 */
import type { Call } from "./caller.ts";

/** A kind of call with its rate. */
export interface CallKind {
  perSecond: number;
  make: (parts: { client: string; mark: string }) => Omit<Call, "client">;
}

function get(member: string, service: string, path: string): CallKind["make"] {
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

function post(
  member: string,
  service: string,
  options: { path: string; key: "ticket" | "own" },
): CallKind["make"] {
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
export const ndiayeCalls: CallKind[] = [
  { perSecond: 40, make: get("ndiaye", "pickups", "/pickups") },
  { perSecond: 4, make: get("ndiaye", "pickups", "/archive") },
  {
    perSecond: 8,
    make: post("ndiaye", "billing", { path: "/charge", key: "ticket" }),
  },
  {
    perSecond: 3,
    make: post("ndiaye", "billing", { path: "/charge", key: "own" }),
  },
  { perSecond: 20, make: get("ndiaye", "wash-tracking", "/wash") },
  { perSecond: 4, make: get("ndiaye", "invoices", "/invoice") },
];

/** Calls of Kerala CycleStand Franchise Office. */
export const cyclestandCalls: CallKind[] = [
  { perSecond: 30, make: get("cyclestand", "stock", "/stock") },
  {
    perSecond: 6,
    make: post("cyclestand", "orders", { path: "/order", key: "ticket" }),
  },
  {
    perSecond: 3,
    make: post("cyclestand", "orders", { path: "/order", key: "own" }),
  },
  { perSecond: 15, make: get("cyclestand", "surveys", "/survey") },
  { perSecond: 5, make: get("cyclestand", "brochures", "/brochure") },
];

/** Options of {@link driveCalls}. */
export interface DriveOptions {
  kinds: CallKind[];
  durationMillis: number;
  random: () => number;
  /** Client addresses are `10.N.x.y` with N up to this. */
  blocks: number;
  /** Starts one call. */
  start: (call: Call) => void;
}

/** Starts calls at random (Poisson) times until the duration is over. */
export async function driveCalls(options: DriveOptions): Promise<void> {
  const { random } = options;
  const end = performance.now() + options.durationMillis;
  let count = 0;
  const next = options.kinds.map(() => performance.now());
  while (performance.now() < end) {
    const now = performance.now();
    options.kinds.forEach((kind, index) => {
      while (next[index] <= now) {
        next[index] += -Math.log(1 - random()) * 1000 / kind.perSecond;
        const block = 1 + Math.floor(random() * options.blocks);
        const client = `10.${block}.${Math.floor(random() * 200)}.${
          Math.floor(random() * 200)
        }`;
        const mark = `m${(++count).toString(36)}-${
          Math.floor(random() * 1e9).toString(36)
        }`;
        options.start({ ...kind.make({ client, mark }), client });
      }
    });
    await new Promise((resolve) => setTimeout(resolve, 4));
  }
}
