/**
 * Lookup tables for routing decisions, derived once per revision. The state is
 * replaced as a whole when a revision is applied.
 */
import { applyExceptions } from "@bamboolane/config/apply_exceptions";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import type { BlockIndex } from "@bamboolane/locate/block_index";
import { parseIpv4 } from "@bamboolane/locate/block_table";
import {
  DrainKind,
  type FleetConfig,
  type FleetDefaults,
  type MemberConfig,
  type ServiceConfig,
} from "@bamboolane/types/fleet";

/** The home of a client. */
export interface ClientHome {
  dataCentre: string;
  /** Stable key of the client's block, by which moves select blocks. */
  blockKey: string;
}

/** Lookup tables of one revision. */
export class SteeringState {
  readonly revision: number;
  readonly fleet: FleetConfig;
  readonly #services: Map<string, ServiceConfig>;
  readonly #members: Map<string, MemberConfig>;
  /** Includes each data centre as its own site; a block may name either. */
  readonly #dataCentreBySite: Map<string, string>;
  readonly #blocks: BlockIndex;
  readonly #defaults = new Map<
    string,
    { values: FleetDefaults; exceptionIds: string[] }
  >();
  readonly #dataCentre: string;

  constructor(options: {
    revision: number;
    fleet: FleetConfig;
    blocks: BlockIndex;
    dataCentre: string;
  }) {
    const { fleet } = options;
    this.revision = options.revision;
    this.fleet = fleet;
    this.#blocks = options.blocks;
    this.#dataCentre = options.dataCentre;
    this.#services = new Map(fleet.services.map((s) => [s.id, s]));
    this.#members = new Map(fleet.members.map((m) => [m.id, m]));
    this.#dataCentreBySite = new Map(
      fleet.regions.flatMap((r) => r.dataCentres.map((d) => [d.id, d.id])),
    );
    for (const site of fleet.sites) {
      this.#dataCentreBySite.set(site.id, site.dataCentre);
    }
  }

  get blocks(): BlockIndex {
    return this.#blocks;
  }

  /**
   * The service. Throws `unknownMember` if the member does not exist, and
   * `unknownService` if the service does not exist or the member may not use it.
   */
  service(member: string, service: string): ServiceConfig {
    if (!this.#members.has(member)) {
      throw new SteeringError(ResultCode.unknownMember, `Member: ${member}.`);
    }
    const found = this.#services.get(service);
    if (found === undefined || !found.members.includes(member)) {
      throw new SteeringError(
        ResultCode.unknownService,
        `Service: ${service}.`,
      );
    }
    return found;
  }

  weightOf(member: string): number {
    return this.#members.get(member)?.weight ?? 1;
  }

  /** Home of a client address; this data centre if no block contains it. */
  homeOf(client: string): ClientHome {
    const address = parseIpv4(client);
    const found = address === undefined
      ? undefined
      : this.#blocks.find(address);
    if (found === undefined) {
      return { dataCentre: this.#dataCentre, blockKey: client };
    }
    const dataCentre = this.#dataCentreBySite.get(found.site) ??
      this.#dataCentre;
    return { dataCentre, blockKey: found.blockKey };
  }

  /**
   * The values in force for a member's requests to a service, after exceptions,
   * and the ids of the exceptions that apply.
   * Cached per UTC day, because exceptions expire at the end of a day.
   */
  defaultsFor(
    member: string,
    service: string,
    options: { wallMillis: number },
  ): { values: FleetDefaults; exceptionIds: string[] } {
    const dayNumber = Math.floor(options.wallMillis / 86_400_000);
    const key = `${member}/${service}/${dayNumber}`;
    const known = this.#defaults.get(key);
    if (known) return known;
    const scope = { member, service, dataCentre: this.#dataCentre };
    const found = applyExceptions(this.fleet, scope, options);
    this.#defaults.set(key, found);
    return found;
  }

  /** Ids of one kind that the configuration drains. */
  drained(kind: DrainKind): ReadonlySet<string> {
    return new Set(
      this.fleet.drains.filter((d) => d.kind === kind).map((d) => d.id),
    );
  }

  /**
   * Cap of one pool: its share of the data centre's cap, proportional to its
   * slots. Unit: requests in flight.
   */
  poolCap(service: ServiceConfig): number {
    const dataCentre = this.fleet.regions.flatMap((r) => r.dataCentres)
      .find((d) => d.id === this.#dataCentre);
    if (dataCentre === undefined) return 0;
    const all = this.fleet.services.reduce(
      (sum, s) => sum + this.#slotsOf(s),
      0,
    );
    const own = this.#slotsOf(service);
    return all === 0 ? 0 : Math.floor(dataCentre.capInFlight * own / all);
  }

  #slotsOf(service: ServiceConfig): number {
    return service.targets.filter((t) => t.dataCentre === this.#dataCentre)
      .reduce((sum, t) => sum + t.slots, 0);
  }
}
