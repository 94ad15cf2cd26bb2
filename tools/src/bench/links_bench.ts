/**
 * Bulk answers over a link between regions, with look-ups beside them. The
 * link is a fake: bytes leave in order at its rate.
 */
import type { Lane } from "@bamboolane/types/fleet";
import { LinkBudget } from "@bamboolane/route/link_budget";
import {
  atMost,
  type BenchArm,
  type BenchOptions,
  type BenchReport,
  quantile,
  round,
} from "./bench_report.ts";
import { durations, makeArrivals, playArrivals } from "./pool_harness.ts";

const linkBytesPerSecond = 35_000_000;
const latencyMillis = 35;
const lookupBytes = 2000;
const bulkBytes = 4_000_000;
const chunkBytes = 65_536;
const lookupsPerSecond = 100;
/** 1.6 times what the link carries. */
const bulkPerSecond = 14;
const quietMillis = 4000;
const floodMillis = 8000;
/** Part of the link that this system's budget may use. */
const budgetShare = 0.9;
const p99RatioLimit = 1.2;
const shareLimit = 1;

/** A link that sends in order; resolves when the bytes have arrived. */
class FakeLink {
  #freeAtMillis = 0;
  sentBytes = 0;

  async send(bytes: number): Promise<void> {
    const now = performance.now();
    this.#freeAtMillis = Math.max(now, this.#freeAtMillis) +
      1000 * bytes / linkBytesPerSecond;
    this.sentBytes += bytes;
    await wait(this.#freeAtMillis - now + latencyMillis);
  }

  /** Bytes that wait in the link's queue. */
  queuedBytes(): number {
    return Math.max(0, this.#freeAtMillis - performance.now()) *
      linkBytesPerSecond / 1000;
  }
}

function wait(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, millis)));
}

async function sendAnswer(
  link: FakeLink,
  lane: Lane,
  budget: LinkBudget | undefined,
): Promise<void> {
  const total = lane === "interactive" ? lookupBytes : bulkBytes;
  const sent: Promise<void>[] = [];
  for (let offset = 0; offset < total; offset += chunkBytes) {
    const bytes = Math.min(chunkBytes, total - offset);
    for (;;) {
      const pause =
        budget?.take(bytes, lane, { nowMillis: performance.now() }) ?? 0;
      if (pause === 0) break;
      await wait(pause);
    }
    sent.push(link.send(bytes));
  }
  await Promise.all(sent);
}

async function runArm(name: string, options: BenchOptions, budgeted: boolean) {
  const link = new FakeLink();
  const bytesPerSecond = linkBytesPerSecond * budgetShare;
  const budget = budgeted
    ? new LinkBudget({ bytesPerSecond, nowMillis: performance.now() })
    : undefined;
  const toMillis = quietMillis + floodMillis * options.scale;
  const arrivals = makeArrivals([
    { kind: "interactive", perSecond: lookupsPerSecond, toMillis },
    {
      kind: "bulk",
      perSecond: bulkPerSecond,
      fromMillis: quietMillis,
      toMillis,
    },
  ], options.seed);
  let sentInWindow = 0;
  setTimeout(
    () => sentInWindow = link.sentBytes - link.queuedBytes(),
    toMillis,
  );
  const ended = await playArrivals(arrivals, async ({ kind }) => {
    await sendAnswer(link, kind as Lane, budget);
    return { target: "" };
  });
  const lookups = (from: number, to: number) =>
    durations(
      ended,
      (a) => a.kind === "interactive" && a.atMillis >= from && a.atMillis < to,
    );
  const quiet = quantile(lookups(0, quietMillis), 0.99);
  const flood = quantile(lookups(quietMillis + 500, toMillis), 0.99);
  const result: BenchArm & { ratio: number; linkShare: number } = {
    name,
    quietP99Millis: round(quiet),
    p50Millis: round(quantile(lookups(quietMillis, toMillis), 0.5)),
    p99Millis: round(flood),
    ratio: round(flood / quiet),
    linkShare: round(
      sentInWindow * 1000 / (toMillis - quietMillis) / linkBytesPerSecond,
    ),
  };
  return result;
}

/** Runs both arms with the same arrivals. */
export async function linksBench(options: BenchOptions): Promise<BenchReport> {
  const none = await runArm("no budget", options, false);
  const ours = await runArm("budget by lane", options, true);
  return {
    bench: "links",
    seed: options.seed,
    arms: [none, ours],
    bounds: [
      atMost(
        "look-ups: p99 beside bulk to p99 without",
        ours.ratio,
        p99RatioLimit,
      ),
      atMost("bytes sent to the link's capacity", ours.linkShare, shareLimit),
    ],
  };
}
