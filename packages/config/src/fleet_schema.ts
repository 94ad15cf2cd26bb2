/**
 * Schema of the fleet configuration. Cross-field rules are in
 * `check_fleet.ts`.
 */
import { DrainKind, Lane, MoveState } from "@bamboolane/types/fleet";
import { z } from "zod";

const id = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "expected lower-case letters, digits and dashes",
);
const share = z.number().min(0).max(1);
const address = z.string().regex(
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
  "expected IP:port",
);
const text = z.string().trim().min(1, "expected a non-empty text");
const reason = z.string().trim().min(
  10,
  "expected a reason for the board's report, 10 characters or more",
);
const header = z.string().regex(/^[a-z0-9-]+$/, "expected a lower-case name");

const defaults = z.strictObject({
  timeoutMillis: z.number().int().min(1).max(600_000).default(10_000),
  bulkAfterMillis: z.number().int().min(1).default(300),
  bulkShare: share.default(0.34),
  queueLimit: z.number().int().min(1).max(100_000).default(500),
  queueWaitMillis: z.number().int().min(1).default(2000),
  bulkQueueWaitMillis: z.number().int().min(1).default(10_000),
  hedgeBudget: share.default(0.05),
  retryBudget: share.default(0.1),
  lookupTtlSeconds: z.number().int().min(1).max(3600).default(2),
  maxEjectedShare: share.default(0.4),
  notRunRefusal: z.strictObject({
    status: z.number().int().min(400).max(599),
    header,
    value: text,
  }).default({ status: 503, header: "x-not-run", value: "1" }),
  drainHeader: header.default("x-draining"),
}).prefault({});

const change = z.strictObject({
  timeoutMillis: z.number().int().min(1).max(600_000),
  bulkAfterMillis: z.number().int().min(1),
  bulkShare: share,
  queueWaitMillis: z.number().int().min(1),
  bulkQueueWaitMillis: z.number().int().min(1),
  hedgeBudget: share,
  retryBudget: share,
}).partial();

/** Schema of one exception. */
export const exceptionSchema = z.strictObject({
  id,
  match: z.strictObject({
    member: id.optional(),
    service: id.optional(),
    dataCentre: id.optional(),
  }),
  change,
  owner: text,
  reason,
  until: z.iso.date().optional(),
});

/** Schema of one drain. */
export const drainSchema = z.strictObject({
  kind: z.enum(Object.values(DrainKind)),
  id,
  owner: text,
  reason,
});

/** Schema of one move. */
export const moveSchema = z.strictObject({
  id,
  service: id,
  from: id,
  to: id,
  capShare: share,
  steps: z.array(share).min(1),
  step: z.number().int().min(-1).default(-1),
  state: z.enum(Object.values(MoveState)).default("planned"),
  owner: text,
  reason,
});

/** Schema of the whole document. */
export const fleetSchema = z.strictObject({
  defaults,
  regions: z.array(z.strictObject({
    id,
    dataCentres: z.array(z.strictObject({
      id,
      capInFlight: z.number().int().min(1),
    })).min(1),
  })).min(1),
  links: z.array(z.strictObject({
    between: z.tuple([id, id]),
    bytesPerSecond: z.number().int().min(1),
    latencyMillis: z.number().min(0),
  })).default([]),
  members: z.array(z.strictObject({
    id,
    weight: z.number().positive().default(1),
    ownShare: share.default(0.5),
    costPerSlotSecond: z.number().min(0).default(1),
  })).min(1),
  services: z.array(z.strictObject({
    id,
    members: z.array(id).min(1),
    routes: z.array(z.strictObject({
      pathPrefix: z.string().startsWith("/", "expected a path"),
      methods: z.array(z.string().regex(/^[A-Z]+$/)).optional(),
      lane: z.enum(Object.values(Lane)),
      idempotent: z.boolean(),
    })).default([]),
    targets: z.array(z.strictObject({
      id,
      dataCentre: id,
      address,
      slots: z.number().int().min(1).max(1024),
    })).min(1),
  })).min(1),
  sites: z.array(z.strictObject({ id, dataCentre: id })).default([]),
  clientBlocks: z.array(z.strictObject({
    cidr: z.string().regex(
      /^\d{1,3}(\.\d{1,3}){3}\/\d{1,2}$/,
      "expected an IPv4 range, such as 10.1.0.0/16",
    ),
    site: id,
  })).default([]),
  exceptions: z.array(exceptionSchema).default([]),
  drains: z.array(drainSchema).default([]),
  moves: z.array(moveSchema).default([]),
});
