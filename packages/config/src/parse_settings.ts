/**
 * Schema and parser of an entry's settings.
 */
import type { EntrySettings } from "@bamboolane/types/settings";
import type { Result } from "neverthrow";
import { z } from "zod";
import { type ConfigProblem, parseYaml } from "./parse_yaml.ts";

const address = z.string().regex(
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
  "expected IP:port, such as 127.0.0.1:7000",
);
const id = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "expected lower-case letters, digits and dashes",
);
const MIN_TOKEN_LENGTH = 16;
const secret = z.string().min(
  MIN_TOKEN_LENGTH,
  "expected 16 characters or more",
);

function millis(fallback: number, max = 600_000) {
  return z.number().int().min(1).max(max).default(fallback);
}

function positiveInteger(fallback: number, max: number) {
  return z.number().int().min(1).max(max).default(fallback);
}

const limits = z.strictObject({
  headerBytes: positiveInteger(16_384, 1_048_576),
  bodyBytes: positiveInteger(8_388_608, 1_073_741_824),
  requestTimeoutMillis: millis(60_000),
  connections: positiveInteger(4096, 65_536),
  ticketsPerBatch: positiveInteger(64, 1024),
  ticketLifetimeMillis: millis(120_000, 3_600_000),
  keptAnswers: positiveInteger(100_000, 1_000_000),
  keptAnswerBytes: positiveInteger(16_384, 1_048_576),
}).prefault({});

const timers = z.strictObject({
  heartbeatMillis: millis(1000, 10_000),
  suspectAfterMillis: millis(3000, 60_000),
  headPollMillis: millis(1000, 10_000),
  freshnessMillis: millis(4000, 60_000),
  probeMillis: millis(1000, 10_000),
  listPollMillis: millis(1500, 60_000),
}).prefault({});

const settingsSchema = z.strictObject({
  instance: z.strictObject({ id, dataCentre: id, region: id }),
  listen: z.strictObject({
    callers: address,
    peers: address,
    operators: address,
    metrics: address,
  }),
  platform: z.strictObject({
    url: z.url("expected a URL, such as http://127.0.0.1:7900"),
    timeoutMillis: millis(1000, 30_000),
  }),
  advertise: z.strictObject({
    callers: address.optional(),
    peers: address.optional(),
  }).default({}),
  seeds: z.array(address).default([]),
  credentials: z.strictObject({
    operators: z.array(z.strictObject({ name: id, token: secret })).min(1),
    peerSecret: secret,
  }),
  limits,
  timers,
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
    lookups: z.boolean().default(true),
  }).prefault({}),
  stopOnBreach: z.boolean().default(false),
});

/** Parses the settings of an entry. */
export function parseSettings(
  text: string,
  options: { file: string },
): Result<EntrySettings, ConfigProblem[]> {
  return parseYaml(text, settingsSchema, options).map((parsed) => parsed.value);
}
