/**
 * The fleet configuration, published by operators and applied by all instances.
 * Each published {@link FleetConfig} is one immutable revision.
 */

/** Traffic classes that never share a queue. */
export const Lane = { interactive: "interactive", bulk: "bulk" } as const;

/** One of the values of {@link Lane}. */
export type Lane = typeof Lane[keyof typeof Lane];

/** Response by which a target signals that it refused a request before running it. */
export interface NotRunRefusal {
  status: number;
  /** Header name, lower case. */
  header: string;
  value: string;
}

/** Values that apply to the whole fleet unless an exception changes them. */
export interface FleetDefaults {
  /** Time limit of a request that states none. */
  timeoutMillis: number;
  /** A request that runs longer counts as bulk. */
  bulkAfterMillis: number;
  /** Share of each target's slots that bulk may hold, 0 to 1. */
  bulkShare: number;
  /** Maximum number of requests waiting in one lane of one pool. */
  queueLimit: number;
  /** Maximum wait for a slot before an interactive request is refused as not run. */
  queueWaitMillis: number;
  /** The same for bulk requests. */
  bulkQueueWaitMillis: number;
  /** Maximum hedges, as a share of the requests. */
  hedgeBudget: number;
  /** Maximum retries, as a share of the requests. */
  retryBudget: number;
  /** How long a caller may use a look-up answer. */
  lookupTtlSeconds: number;
  /** Maximum share of a pool's targets that outlier detection may eject. */
  maxEjectedShare: number;
  notRunRefusal: NotRunRefusal;
  /** Response header, lower case, by which a target signals that it is draining. */
  drainHeader: string;
}

/** Fields of {@link FleetDefaults} that an exception may change. */
export type ChangeableDefaults = Pick<
  FleetDefaults,
  | "timeoutMillis"
  | "bulkAfterMillis"
  | "bulkShare"
  | "queueWaitMillis"
  | "bulkQueueWaitMillis"
  | "hedgeBudget"
  | "retryBudget"
>;

/** A data centre with its cap on concurrent requests. */
export interface DataCentreConfig {
  id: string;
  /** Maximum number of requests running on this data centre's targets at once. */
  capInFlight: number;
}

/** A region: a set of data centres with short links between them. */
export interface RegionConfig {
  id: string;
  dataCentres: DataCentreConfig[];
}

/** Capacity of the link between two regions. */
export interface LinkConfig {
  /** Ids of the two regions. */
  between: [string, string];
  /** Bytes per second that this system may use in each direction. */
  bytesPerSecond: number;
  /** One-way latency. */
  latencyMillis: number;
}

/** A member with its weight in shared queues. */
export interface MemberConfig {
  id: string;
  weight: number;
  /** Share of the fleet's slots that the member pays for, 0 to 1. */
  ownShare: number;
  costPerSlotSecond: number;
}

/** A rule that classifies requests by path prefix and method. */
export interface RouteRule {
  pathPrefix: string;
  /** HTTP methods, upper case; all if absent. */
  methods?: string[];
  lane: Lane;
  idempotent: boolean;
}

/** A back end reached over HTTP. */
export interface TargetConfig {
  id: string;
  dataCentre: string;
  /** `host:port`. */
  address: string;
  /** Maximum number of requests that the target runs at once. */
  slots: number;
}

/** A service with its routes and targets. */
export interface ServiceConfig {
  id: string;
  /** Ids of the members that may use the service. */
  members: string[];
  routes: RouteRule[];
  targets: TargetConfig[];
}

/** A named destination of client blocks. */
export interface SiteConfig {
  id: string;
  dataCentre: string;
}

/** A range of client addresses and its preferred site. */
export interface ClientBlock {
  cidr: string;
  /** Id of a site or data centre. */
  site: string;
}

/** Requests to which an exception applies; every field that is set must match. */
export interface ExceptionMatch {
  member?: string;
  service?: string;
  dataCentre?: string;
}

/** A named override of the defaults. */
export interface FleetException {
  id: string;
  match: ExceptionMatch;
  change: Partial<ChangeableDefaults>;
  owner: string;
  reason: string;
  /** Last day, in UTC, on which the exception has effect, as an ISO date. */
  until?: string;
}

/** Kinds of objects that an operator may drain. */
export const DrainKind = {
  target: "target",
  instance: "instance",
  dataCentre: "dataCentre",
} as const;

/** One of the values of {@link DrainKind}. */
export type DrainKind = typeof DrainKind[keyof typeof DrainKind];

/** An operator's instruction to send no new requests to a target, instance or data centre. */
export interface Drain {
  kind: DrainKind;
  /** Id of the drained object. */
  id: string;
  owner: string;
  reason: string;
}

/** States of a move. */
export const MoveState = {
  planned: "planned",
  running: "running",
  paused: "paused",
  aborted: "aborted",
  done: "done",
} as const;

/** One of the values of {@link MoveState}. */
export type MoveState = typeof MoveState[keyof typeof MoveState];

/** A planned traffic shift between two data centres, in capped steps. */
export interface Move {
  id: string;
  service: string;
  /** Id of the data centre that gives up traffic. */
  from: string;
  /** Id of the data centre that receives the traffic. */
  to: string;
  /** Maximum share of `from`'s traffic that may move, 0 to 1. */
  capShare: number;
  /** Share of each step, in ascending order, none above `capShare`. */
  steps: number[];
  /** Index of the step in force; -1 before the first. */
  step: number;
  state: MoveState;
  owner: string;
  reason: string;
}

/** The content of one revision, as all instances apply it. */
export interface FleetConfig {
  defaults: FleetDefaults;
  regions: RegionConfig[];
  links: LinkConfig[];
  members: MemberConfig[];
  services: ServiceConfig[];
  sites: SiteConfig[];
  clientBlocks: ClientBlock[];
  exceptions: FleetException[];
  drains: Drain[];
  moves: Move[];
}

/** A stored revision: the document with the change that produced it. */
export interface ConfigBody {
  revision: number;
  changeId: string;
  /** Name of the operator who made the change. */
  operator: string;
  /** Short description of the change. */
  summary: string;
  /** Content hash of the previous revision; empty for the first. */
  previousHash: string;
  fleet: FleetConfig;
  /** Content hashes of the block table's chunks; empty when only inline blocks are used. */
  blockChunks: string[];
}

/** The head row that names the revision in force. */
export interface ConfigHead {
  revision: number;
  hash: string;
  changeId: string;
}
