/**
 * Steps for look-ups.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import {
  buildBlockIndex,
  encodeChunk,
  splitBlocks,
} from "@bamboolane/locate/block_index";
import { formatIpv4, parseCidr } from "@bamboolane/locate/block_table";
import { findOwner, rankEntries } from "@bamboolane/locate/rank_entries";
import { sampleFleet } from "@bamboolane/test-utils/sample_fleet";
import type { ClientBlock } from "@bamboolane/types/fleet";
import { type InstanceRecord, InstanceState } from "@bamboolane/types/instance";

const PROPERTY_SEED = 11;
let instances: InstanceRecord[] = [];
let changedChunks = 0;

function instance(
  id: string,
  dataCentre: string,
  state: InstanceState,
): InstanceRecord {
  return {
    id,
    dataCentre,
    region: "",
    callerAddress: `${id}:1`,
    peerAddress: `${id}:2`,
    incarnation: 1,
    version: 1,
    state,
    revision: 1,
    cutOff: false,
    pools: [],
  };
}

function linearSearch(
  blocks: ClientBlock[],
  address: number,
): string | undefined {
  let best: { size: number; site: string } | undefined;
  for (const block of blocks) {
    const range = parseCidr(block.cidr);
    if (range === undefined || address < range.first || address > range.last) {
      continue;
    }
    const size = range.last - range.first;
    if (best === undefined || size < best.size) {
      best = { size, site: block.site };
    }
  }
  return best?.site;
}

Then(
  "random tables and addresses give the same site as a linear search",
  () => {
    const address = fc.integer({ min: 0, max: 2 ** 32 - 1 });
    const block = fc.tuple(address, fc.integer({ min: 4, max: 32 }));
    fc.assert(
      fc.property(
        fc.array(block, { maxLength: 40 }),
        fc.array(address),
        (raw, addresses) => {
          const byCidr = new Map<string, ClientBlock>();
          raw.forEach(([value, bits], index) => {
            const range = parseCidr(`${formatIpv4(value)}/${bits}`);
            const cidr = `${formatIpv4(range?.first ?? 0)}/${bits}`;
            byCidr.set(cidr, { cidr, site: `site${index}` });
          });
          const blocks = [...byCidr.values()];
          const table = buildBlockIndex(blocks);
          const edges = blocks.flatMap((b) => {
            const range = parseCidr(b.cidr) as { first: number; last: number };
            return [
              range.first,
              range.last,
              Math.min(2 ** 32 - 1, range.last + 1),
            ];
          });
          for (const probe of [...addresses, ...edges]) {
            assert.equal(table.find(probe)?.site, linearSearch(blocks, probe));
          }
        },
      ),
      { seed: PROPERTY_SEED, numRuns: 300 },
    );
  },
);

When("one of 5000 blocks changes its site", () => {
  const blocks = Array.from({ length: 5000 }, (_, i) => ({
    cidr: `${1 + (i % 200)}.${Math.floor(i / 200)}.0.0/16`,
    site: `s${i % 88}`,
  }));
  const before = splitBlocks(blocks).map((c) =>
    `${c.bucket}:${encodeChunk(c)}`
  );
  blocks[777] = { ...blocks[777], site: "elsewhere" };
  const after = splitBlocks(blocks).map((c) => `${c.bucket}:${encodeChunk(c)}`);
  changedChunks = after.filter((chunk) => !before.includes(chunk)).length;
});

Then("exactly one chunk differs", () => assert.equal(changedChunks, 1));

Given(
  "instances in data centres a1, a2 and b1, of which one in a1 is leaving",
  () => {
    const { serving, leaving } = InstanceState;
    instances = [
      instance("e1", "a1", serving),
      instance("e2", "a1", leaving),
      instance("e3", "a2", serving),
      instance("e4", "b1", serving),
    ];
  },
);

Then("a caller whose home is a1 is sent to a1, then a2, then b1", () => {
  const ranked = rankEntries(sampleFleet(), { service: "s1", home: "a1" }, {
    instances,
  });
  assert.deepEqual(ranked.map((e) => e.dataCentre), ["a1", "a2", "b1"]);
});

Then("the leaving instance is not ranked", () => {
  const ranked = rankEntries(sampleFleet(), { service: "s1", home: "a1" }, {
    instances,
  });
  assert.ok(!ranked.some((e) => e.id === "e2"));
});

Then("removing any of 12 instances moves no pool of another instance", () => {
  const all = Array.from(
    { length: 12 },
    (_, i) => instance(`e${i}`, "a1", InstanceState.serving),
  );
  const services = Array.from({ length: 60 }, (_, i) => `service${i}`);
  for (const lost of all) {
    const rest = all.filter((i) => i !== lost);
    for (const service of services) {
      const before = findOwner(service, "a1", all);
      if (before !== lost) assert.equal(findOwner(service, "a1", rest), before);
    }
  }
});

Then("the block {string} is malformed", (cidr: string) => {
  assert.equal(parseCidr(cidr), undefined);
});
