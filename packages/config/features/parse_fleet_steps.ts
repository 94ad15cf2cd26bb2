/**
 * Steps for configuration checks.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { applyExceptions } from "@bamboolane/config/apply_exceptions";
import { parseBlocks } from "@bamboolane/config/parse_blocks";
import { parseFleet } from "@bamboolane/config/parse_fleet";
import { parseSettings } from "@bamboolane/config/parse_settings";
import type { ConfigProblem } from "@bamboolane/config/parse_yaml";
import { sampleFleet } from "@bamboolane/test-utils/sample_fleet";
import type { FleetConfig } from "@bamboolane/types/fleet";

let problems: ConfigProblem[] = [];
let fleet: FleetConfig;

function problemsOf(document: unknown): ConfigProblem[] {
  const parsed = parseFleet(JSON.stringify(document, null, 1), {
    file: "fleet.yaml",
  });
  return parsed.isErr() ? parsed.error : [];
}

const MOVE = {
  id: "mv",
  service: "s1",
  from: "a1",
  to: "b1",
  capShare: 0.5,
  steps: [0.1, 0.5],
  owner: "ops",
  reason: "a planned evacuation",
};

type BreakDocument = (
  document: Record<string, unknown> & FleetConfig,
) => unknown;

const DOCUMENT_CHANGES: Record<string, BreakDocument> = {
  "an exception with no reason": (d) => ({
    ...d,
    exceptions: [{
      id: "x",
      match: {},
      change: { bulkShare: 0.5 },
      owner: "ops",
      reason: " ",
    }],
  }),
  "a move above its cap": (d) => ({
    ...d,
    moves: [{ ...MOVE, steps: [0.1, 0.6] }],
  }),
  "a move with descending steps": (d) => ({
    ...d,
    moves: [{ ...MOVE, steps: [0.3, 0.2] }],
  }),
  "an unknown data centre": (d) => ({
    ...d,
    services: [{
      ...d.services[0],
      targets: [{
        id: "t",
        dataCentre: "nowhere",
        address: "127.0.0.1:1",
        slots: 1,
      }],
    }],
  }),
  "an unknown field": (d) => ({ ...d, surprise: 1 }),
  "text instead of a number": (d) => ({
    ...d,
    defaults: { ...d.defaults, timeoutMillis: "ten" },
  }),
  "a target given twice": (d) => {
    const [target] = d.services[0].targets;
    return {
      ...d,
      services: [{ ...d.services[0], targets: [target, target] }],
    };
  },
};

When(/^a fleet document has (.+)$/, (change: string) => {
  const document = structuredClone(sampleFleet()) as never;
  problems = problemsOf(DOCUMENT_CHANGES[change](document));
});

Then(
  "the problem is at field {string} and contains {string}",
  (field: string, expected: string) => {
    const found = problems.find((p) =>
      p.field === field && p.expected.includes(expected)
    );
    assert.ok(found, JSON.stringify(problems));
    assert.ok(found.line >= 1);
  },
);

When("a fleet document with a bad slot count on line 14 is parsed", () => {
  const text = `regions:
  - id: east
    dataCentres:
      - id: a1
        capInFlight: 10
members:
  - id: m1
services:
  - id: s1
    members: [m1]
    targets:
      - id: t1
        dataCentre: a1
        slots: 0
        address: 127.0.0.1:9000
`;
  const parsed = parseFleet(text, { file: "fleet.yaml" });
  problems = parsed.isErr() ? parsed.error : [];
});

Then("the problem names line {int}", (line: number) => {
  assert.deepEqual(problems.map((p) => p.line), [line]);
});

When(
  "client blocks have a line without a site after a comment and a blank line",
  () => {
    const text = "# blocks\n10.1.0.0/16 a1\n\n10.2.0.0/16\n";
    const parsed = parseBlocks(text, { file: "blocks.txt" });
    problems = parsed.isErr() ? parsed.error : [];
  },
);

Then(
  "the problem names line {int} and expects {string}",
  (line: number, expected: string) => {
    assert.deepEqual(problems.map((p) => p.line), [line]);
    assert.ok(problems[0].expected.includes(expected));
  },
);

When("a document with an unclosed bracket is parsed", () => {
  const parsed = parseFleet("regions: [\n", { file: "fleet.yaml" });
  problems = parsed.isErr() ? parsed.error : [];
});

Then("a problem of the whole document is reported", () => {
  assert.ok(problems.length > 0);
  assert.equal(problems[0].field, "");
});

When("settings use a host name and a short token", () => {
  const address = "127.0.0.1:7000";
  const parsed = parseSettings(
    JSON.stringify({
      instance: { id: "e1", dataCentre: "a1", region: "east" },
      listen: {
        callers: "localhost:7000",
        peers: address,
        operators: address,
        metrics: address,
      },
      platform: { url: "http://127.0.0.1:7900" },
      credentials: {
        operators: [{ name: "ops", token: "short" }],
        peerSecret: "0123456789abcdef",
      },
    }),
    { file: "entry.yaml" },
  );
  problems = parsed.isErr() ? parsed.error : [];
});

Then("both fields are reported", () => {
  const fields = problems.map((p) => p.field).sort();
  assert.deepEqual(fields, ["credentials.operators.0.token", "listen.callers"]);
});

Given(
  "an exception for member {string} until {string} with bulk share {float}",
  (member: string, until: string, bulkShare: number) => {
    fleet = sampleFleet({
      overrides: {
        exceptions: [{
          id: "x",
          match: { member },
          change: { bulkShare },
          owner: "ops",
          reason: "closing the year",
          until,
        }],
      },
    });
  },
);

function bulkShareOf(member: string, day: string): number {
  const scope = { member, service: "s1", dataCentre: "a1" };
  return applyExceptions(fleet, scope, { wallMillis: Date.parse(day) }).values
    .bulkShare;
}

Then(
  "on that day member {string} has bulk share {float} and member {string} has the default {float}",
  (first: string, share: number, second: string, other: number) => {
    assert.equal(bulkShareOf(first, "2023-11-14T20:00:00Z"), share);
    assert.equal(bulkShareOf(second, "2023-11-14T20:00:00Z"), other);
  },
);

Then(
  "two days later member {string} has the default bulk share {float}",
  (member: string, share: number) => {
    assert.equal(bulkShareOf(member, "2023-11-16T00:00:00Z"), share);
  },
);
