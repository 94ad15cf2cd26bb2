/**
 * Profiles of the two users, Ndiaye and CycleStand, and a generator of fleets
 * from them. Each profile has six data centres in three regions, and services
 * whose targets have three or four slots; with two targets in each data centre,
 * a service has twelve targets as in the users' fleets.
 */
import type { TargetBehaviour } from "@bamboolane/standins/serve_target";
import type { TargetSpec } from "@bamboolane/standins/main_targets";
import { Lane } from "@bamboolane/types/fleet";

/** A user's workload. */
export interface UserProfile {
  member: string;
  regions: { id: string; dataCentres: string[] }[];
  linkBytesPerSecond: number;
  linkLatencyMillis: number;
  services: ServiceProfile[];
}

/** One service of a workload. */
export interface ServiceProfile {
  id: string;
  /** Slots of each target. */
  slots: number;
  routes: {
    pathPrefix: string;
    lane: Lane;
    idempotent: boolean;
    methods?: string[];
  }[];
  /** Service times of the targets by path prefix; the first match applies. */
  serviceMillis: TargetBehaviour["serviceMillis"];
}

const GIGABIT_BYTES_PER_SECOND = 125_000_000;

/** Profile of Blanchisserie Ndiaye et Fils. */
export const NDIAYE_PROFILE: UserProfile = {
  member: "ndiaye",
  regions: [
    { id: "dakar", dataCentres: ["dk1", "dk2"] },
    { id: "thies", dataCentres: ["th1", "th2"] },
    { id: "saint-louis", dataCentres: ["sl1", "sl2"] },
  ],
  linkBytesPerSecond: 4 * GIGABIT_BYTES_PER_SECOND,
  linkLatencyMillis: 55,
  services: [
    {
      id: "pickups",
      slots: 3,
      routes: [
        { pathPrefix: "/pickups", lane: Lane.interactive, idempotent: true },
        { pathPrefix: "/archive", lane: Lane.bulk, idempotent: true },
      ],
      serviceMillis: [
        { prefix: "/archive", millis: 400, bytes: 20_000 },
        { prefix: "/undeclared", millis: 400, bytes: 20_000 },
        { prefix: "/", millis: 8 },
      ],
    },
    {
      id: "billing",
      slots: 3,
      routes: [
        {
          pathPrefix: "/charge",
          methods: ["POST"],
          lane: Lane.interactive,
          idempotent: false,
        },
      ],
      serviceMillis: [{ prefix: "/", millis: 12 }],
    },
    {
      id: "wash-tracking",
      slots: 4,
      routes: [{
        pathPrefix: "/wash",
        lane: Lane.interactive,
        idempotent: true,
      }],
      serviceMillis: [{ prefix: "/", millis: 10 }],
    },
    {
      id: "invoices",
      slots: 3,
      routes: [{ pathPrefix: "/", lane: Lane.bulk, idempotent: true }],
      serviceMillis: [{ prefix: "/", millis: 150, bytes: 50_000 }],
    },
  ],
};

/** Profile of Kerala CycleStand Franchise Office. */
export const CYCLESTAND_PROFILE: UserProfile = {
  member: "cyclestand",
  regions: [
    { id: "ernakulam", dataCentres: ["ek1", "ek2"] },
    { id: "malabar", dataCentres: ["ml1", "ml2"] },
    { id: "travancore", dataCentres: ["tv1", "tv2"] },
  ],
  linkBytesPerSecond: 0.28 * GIGABIT_BYTES_PER_SECOND,
  linkLatencyMillis: 35,
  services: [
    {
      id: "stock",
      slots: 3,
      routes: [{
        pathPrefix: "/stock",
        lane: Lane.interactive,
        idempotent: true,
      }],
      serviceMillis: [{ prefix: "/", millis: 15 }],
    },
    {
      id: "orders",
      slots: 3,
      routes: [
        {
          pathPrefix: "/order",
          methods: ["POST"],
          lane: Lane.interactive,
          idempotent: false,
        },
      ],
      serviceMillis: [{ prefix: "/", millis: 20 }],
    },
    {
      id: "surveys",
      slots: 3,
      routes: [{
        pathPrefix: "/survey",
        lane: Lane.interactive,
        idempotent: true,
      }],
      serviceMillis: [{ prefix: "/", millis: 12 }],
    },
    {
      id: "brochures",
      slots: 3,
      routes: [{ pathPrefix: "/", lane: Lane.bulk, idempotent: true }],
      serviceMillis: [{ prefix: "/", millis: 80, bytes: 50_000 }],
    },
  ],
};

/** Layout of a fleet on one machine. */
export interface FleetLayout {
  /** Users of the fleet; regions and links are taken from the first profile. */
  profiles: UserProfile[];
  /** Port of the first target; the others follow. */
  firstTargetPort: number;
  /** Targets of each service in each data centre. */
  targetsPerDataCentre: number;
  /** Cap on requests in flight of each data centre. */
  capInFlight: number;
  lookupTtlSeconds: number;
  /** Further `defaults` of the fleet document. */
  defaults?: Record<string, number>;
  /** Delay until a crashed target restarts; 0 or absent for never. */
  restartMillis?: number;
}

/** A fleet document and the targets listed in it. */
export interface GeneratedFleet {
  document: Record<string, unknown>;
  targets: TargetSpec[];
}

/** Standard deviation of the logarithm of the service time. */
const SERVICE_TIME_SPREAD = 0.3;
const LOOPBACK_HOST = "127.0.0.1";

/** Generates a fleet as plain data; written as JSON it is valid YAML too. */
export function makeFleet(layout: FleetLayout): GeneratedFleet {
  const [base] = layout.profiles;
  const dataCentres = base.regions.flatMap((region) => region.dataCentres);
  const targets: TargetSpec[] = [];
  let port = layout.firstTargetPort;
  const services = layout.profiles.flatMap((profile) =>
    profile.services.map((service) => ({
      id: service.id,
      members: [profile.member],
      routes: service.routes,
      targets: dataCentres.flatMap((dataCentre) =>
        Array.from({ length: layout.targetsPerDataCentre }, (_, index) => {
          const id = `${service.id}-${dataCentre}-${index + 1}`;
          const address = `${LOOPBACK_HOST}:${port++}`;
          targets.push({
            id,
            address,
            behaviour: {
              slots: service.slots,
              serviceMillis: service.serviceMillis,
            },
            spread: SERVICE_TIME_SPREAD,
            restartMillis: layout.restartMillis,
          });
          return { id, dataCentre, address, slots: service.slots };
        })
      ),
    }))
  );
  const document = {
    defaults: { lookupTtlSeconds: layout.lookupTtlSeconds, ...layout.defaults },
    regions: base.regions.map((region) => ({
      id: region.id,
      dataCentres: region.dataCentres.map((id) => ({
        id,
        capInFlight: layout.capInFlight,
      })),
    })),
    links: makeLinks(base),
    members: layout.profiles.map((p) => ({
      id: p.member,
      weight: 1,
      ownShare: 0.5,
    })),
    services,
    clientBlocks: dataCentres.map((site, index) => ({
      cidr: `10.${index + 1}.0.0/16`,
      site,
    })),
  };
  return { document, targets };
}

function makeLinks(profile: UserProfile) {
  const ids = profile.regions.map((region) => region.id);
  return ids.flatMap((a, i) =>
    ids.slice(i + 1).map((b) => ({
      between: [a, b],
      bytesPerSecond: profile.linkBytesPerSecond,
      latencyMillis: profile.linkLatencyMillis,
    }))
  );
}
