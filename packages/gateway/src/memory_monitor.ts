/**
 * Watches the memory of the process itself. A heap that is full ends the process
 * without a line of the log, and so does the platform when resident memory exceeds the
 * limit; the log names both before.
 */
import process from "node:process";
import { getHeapStatistics } from "node:v8";
import type { EventLog, LogFields } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";

const CHECK_INTERVAL_MILLIS = 250;
/** Shares of a limit from which its memory counts as high, and below which no longer. */
const HIGH_SHARE = 0.85;
const NORMAL_SHARE = 0.75;
/** Growth of a peak, as a share of its limit, that is logged. */
const PEAK_STEP_SHARE = 1 / 16;
const REMINDER_INTERVAL_MILLIS = 1000;

/** Options of {@link MemoryMonitor}. */
export interface MemoryMonitorOptions {
  /** Memory that the process may use; undefined if there is no known limit. */
  memoryBytes: number | undefined;
  log: EventLog;
  metrics: Metrics;
  /** Further fields of the log lines. */
  describe: () => LogFields;
}

/** Monitors the memory of the process. */
export class MemoryMonitor {
  readonly #options: MemoryMonitorOptions;
  readonly #timer: NodeJS.Timeout;
  /** Largest use that was logged, as a share of the limit. */
  #loggedPeakShare = 0;
  #isHigh = false;
  #loggedAtMillis = -Infinity;

  constructor(options: MemoryMonitorOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MILLIS);
    this.#timer.unref();
    const { metrics } = options;
    metrics.gauge("bamboolane_resident_bytes", () => process.memoryUsage.rss());
    metrics.gauge(
      "bamboolane_heap_bytes",
      () => getHeapStatistics().used_heap_size,
    );
    metrics.gauge(
      "bamboolane_heap_limit_bytes",
      () => getHeapStatistics().heap_size_limit,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const { memoryBytes = Infinity, log } = this.#options;
    const { used_heap_size: heapBytes, heap_size_limit: heapLimitBytes } =
      getHeapStatistics();
    const residentBytes = process.memoryUsage.rss();
    const heapShare = heapBytes / heapLimitBytes;
    const residentShare = residentBytes / memoryBytes;
    const share = Math.max(heapShare, residentShare);
    const isHigh = share >= (this.#isHigh ? NORMAL_SHARE : HIGH_SHARE);
    const nowMillis = performance.now();
    const isDue = isHigh !== this.#isHigh ||
      isHigh && nowMillis - this.#loggedAtMillis >= REMINDER_INTERVAL_MILLIS;
    const isPeak = share >= this.#loggedPeakShare + PEAK_STEP_SHARE;
    if (!isDue && !isPeak) return;
    const fields = {
      heapBytes,
      heapLimitBytes,
      residentBytes,
      memoryBytes,
      ...this.#options.describe(),
    };
    if (isHigh) log.warn("memory_high", fields);
    else if (this.#isHigh) log.info("memory_normal", fields);
    else log.info("memory_peak", fields);
    this.#loggedPeakShare = Math.max(this.#loggedPeakShare, share);
    this.#isHigh = isHigh;
    this.#loggedAtMillis = nowMillis;
  }
}
