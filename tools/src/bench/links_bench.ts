/**
 * Measures small interactive answers, here called look-ups, that share a link
 * between regions with bulk answers. The link is simulated: it sends bytes in
 * order at a fixed rate.
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

const LINK_BYTES_PER_SECOND = 35_000_000;
const LATENCY_MILLIS = 35;
const LOOKUP_BYTES = 2000;
const BULK_BYTES = 4_000_000;
const CHUNK_BYTES = 65_536;
const LOOKUPS_PER_SECOND = 100;
/** 1.6 times the capacity of the link. */
const BULK_ANSWERS_PER_SECOND = 14;
const QUIET_MILLIS = 4000;
const FLOOD_MILLIS = 8000;
/** Share of the link that the budget may use. */
const BUDGET_SHARE = 0.9;
const MAX_P99_RATIO = 1.2;
const MAX_LINK_SHARE = 1;

/** A link that sends bytes in order at a fixed rate. */
class SimulatedLink {
  #freeAtMillis = 0;
  /** Bytes given to the link, those in its queue included. */
  sentBytes = 0;

  /** Resolves when the bytes have arrived. */
  async send(bytes: number): Promise<void> {
    const sentAtMillis = performance.now();
    this.#freeAtMillis = Math.max(sentAtMillis, this.#freeAtMillis) +
      1000 * bytes / LINK_BYTES_PER_SECOND;
    this.sentBytes += bytes;
    await wait(this.#freeAtMillis - sentAtMillis + LATENCY_MILLIS);
  }

  /** Bytes that have left the link's queue. */
  get transmittedBytes(): number {
    const queuedMillis = Math.max(0, this.#freeAtMillis - performance.now());
    return this.sentBytes - queuedMillis * LINK_BYTES_PER_SECOND / 1000;
  }
}

function wait(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, millis)));
}

async function sendAnswer(
  link: SimulatedLink,
  lane: Lane,
  budget: LinkBudget | undefined,
): Promise<void> {
  const total = lane === "interactive" ? LOOKUP_BYTES : BULK_BYTES;
  const sent: Promise<void>[] = [];
  for (let offset = 0; offset < total; offset += CHUNK_BYTES) {
    const bytes = Math.min(CHUNK_BYTES, total - offset);
    for (;;) {
      const pauseMillis =
        budget?.take(bytes, lane, { nowMillis: performance.now() }) ?? 0;
      if (pauseMillis === 0) break;
      await wait(pauseMillis);
    }
    sent.push(link.send(bytes));
  }
  await Promise.all(sent);
}

async function runArm(name: string, options: BenchOptions, budgeted: boolean) {
  const link = new SimulatedLink();
  const bytesPerSecond = LINK_BYTES_PER_SECOND * BUDGET_SHARE;
  const budget = budgeted
    ? new LinkBudget({ bytesPerSecond, nowMillis: performance.now() })
    : undefined;
  const toMillis = QUIET_MILLIS + FLOOD_MILLIS * options.scale;
  const arrivals = makeArrivals([
    { kind: "interactive", perSecond: LOOKUPS_PER_SECOND, toMillis },
    {
      kind: "bulk",
      perSecond: BULK_ANSWERS_PER_SECOND,
      fromMillis: QUIET_MILLIS,
      toMillis,
    },
  ], options.seed);
  const transmittedBytes = { atFloodStart: 0, atEnd: 0 };
  setTimeout(
    () => transmittedBytes.atFloodStart = link.transmittedBytes,
    QUIET_MILLIS,
  );
  setTimeout(() => transmittedBytes.atEnd = link.transmittedBytes, toMillis);
  const completed = await playArrivals(arrivals, async ({ kind }) => {
    await sendAnswer(link, kind as Lane, budget);
    return { target: "" };
  });
  const lookups = (from: number, to: number) =>
    durations(
      completed,
      (a) => a.kind === "interactive" && a.atMillis >= from && a.atMillis < to,
    );
  const quiet = quantile(lookups(0, QUIET_MILLIS), 0.99);
  const flood = quantile(lookups(QUIET_MILLIS + 500, toMillis), 0.99);
  const result: BenchArm & { ratio: number; linkShare: number } = {
    name,
    quietP99Millis: round(quiet),
    p50Millis: round(quantile(lookups(QUIET_MILLIS, toMillis), 0.5)),
    p99Millis: round(flood),
    ratio: round(flood / quiet),
    linkShare: round(
      (transmittedBytes.atEnd - transmittedBytes.atFloodStart) * 1000 /
        (toMillis - QUIET_MILLIS) / LINK_BYTES_PER_SECOND,
    ),
  };
  return result;
}

/** Runs both arms with the same arrivals. */
export async function linksBench(options: BenchOptions): Promise<BenchReport> {
  const withoutBudget = await runArm("no budget", options, false);
  const withBudget = await runArm("budget by lane", options, true);
  return {
    bench: "links",
    seed: options.seed,
    arms: [withoutBudget, withBudget],
    bounds: [
      atMost(
        "look-ups: p99 beside bulk to p99 without",
        withBudget.ratio,
        MAX_P99_RATIO,
      ),
      atMost(
        "bytes sent to the link's capacity",
        withBudget.linkShare,
        MAX_LINK_SHARE,
      ),
    ],
  };
}
