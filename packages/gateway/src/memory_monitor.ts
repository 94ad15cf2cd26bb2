/**
 * Watches the memory of the process itself. A heap that is full ends the process
 * without a line of the log, and so does the platform when resident memory exceeds the
 * limit; the log names both before, and requests are refused while the heap is nearly
 * full.
 */
import process from "node:process";
import { getHeapStatistics } from "node:v8";
import type { EventLog, LogFields } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";
import type { MemoryBudget, MemoryLimits } from "./memory_budget.ts";

/** Memory of the process where its limit isn't known. */
const DEFAULT_MEMORY_BYTES = 367_001_600;
/** Share of the memory that the heap may take, also where V8 allows more. */
const MAX_HEAP_SHARE = 0.45;
/**
 * Share of the heap for what is held for others. The rest is for the state, for what
 * each request leaves behind, and for the garbage collector, which gets slow in a heap
 * that is nearly full.
 */
const HELD_HEAP_SHARE = 0.35;
/**
 * Share of the memory for buffers and sockets. The rest is for the program, and for
 * memory that was released but not returned to the system.
 */
const HELD_BUFFER_SHARE = 0.25;
/** Share of the memory for what the system has received and the process has not read. */
const UNREAD_SHARE = 0.3;
/** Share of the memory for the same together with what is resident. */
const TOTAL_SHARE = 0.9;

const CHECK_INTERVAL_MILLIS = 250;
/** Shares of a limit from which its memory counts as high, and below which no longer. */
const HIGH_SHARE = 0.85;
const NORMAL_SHARE = 0.75;
/** Growth of a peak, as a share of its limit, that is logged. */
const PEAK_STEP_SHARE = 1 / 16;
const REMINDER_INTERVAL_MILLIS = 1000;

/**
 * Memory for what is held for others, of a process that may use `memoryBytes`, which is
 * undefined if there is no known limit.
 */
export function planMemory(
  memoryBytes?: number,
): MemoryLimits {
  const sharedBytes = memoryBytes ?? DEFAULT_MEMORY_BYTES;
  return {
    heapBytes: heapLimitBytes(sharedBytes) * HELD_HEAP_SHARE,
    bufferBytes: sharedBytes * HELD_BUFFER_SHARE,
    unreadBytes: sharedBytes * UNREAD_SHARE,
    totalBytes: (memoryBytes ?? Infinity) * TOTAL_SHARE,
  };
}

function heapLimitBytes(memoryBytes: number): number {
  const { heap_size_limit: v8LimitBytes } = getHeapStatistics();
  return Math.min(v8LimitBytes, memoryBytes * MAX_HEAP_SHARE);
}

/** Options of {@link MemoryMonitor}. */
export interface MemoryMonitorOptions {
  memory: MemoryBudget;
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
  #loggedRefusals = 0;
  #residentBytes = 0;
  #isResidentUnknown = false;

  constructor(options: MemoryMonitorOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MILLIS);
    this.#timer.unref();
    const { memory, metrics } = options;
    metrics.gauge("bamboolane_resident_bytes", () => this.#readResidentBytes());
    metrics.gauge(
      "bamboolane_heap_bytes",
      () => getHeapStatistics().used_heap_size,
    );
    metrics.gauge(
      "bamboolane_heap_limit_bytes",
      () => getHeapStatistics().heap_size_limit,
    );
    metrics.gauge("bamboolane_held_heap_bytes", () => memory.held.heapBytes);
    metrics.gauge(
      "bamboolane_held_buffer_bytes",
      () => memory.held.bufferBytes,
    );
    metrics.gauge("bamboolane_unread_bytes", () => memory.unreadBytes);
    metrics.gauge("bamboolane_memory_refusals", () => memory.refusalCount);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Resident memory, or what it was at last while the system doesn't tell. */
  #readResidentBytes(): number {
    try {
      // Node.js opens a file for this, and lacks a descriptor for it at times.
      this.#residentBytes = process.memoryUsage.rss();
      this.#isResidentUnknown = false;
    } catch (error) {
      if (!this.#isResidentUnknown) {
        this.#options.log.warn("resident_memory_unknown", {
          error: (error as Error).message,
        });
      }
      this.#isResidentUnknown = true;
    }
    return this.#residentBytes;
  }

  #check(): void {
    const { memory, memoryBytes = Infinity, log } = this.#options;
    const { used_heap_size: heapBytes, heap_size_limit: heapLimitBytes } =
      getHeapStatistics();
    const residentBytes = this.#readResidentBytes();
    memory.residentBytes = residentBytes;
    const heapShare = heapBytes / heapLimitBytes;
    const residentShare = residentBytes / memoryBytes;
    memory.suspended = heapShare >=
      (memory.suspended ? NORMAL_SHARE : HIGH_SHARE);
    const share = Math.max(heapShare, residentShare, memory.load);
    const hasRefused = memory.refusalCount > this.#loggedRefusals;
    const isHigh = hasRefused ||
      share >= (this.#isHigh ? NORMAL_SHARE : HIGH_SHARE);
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
      heldHeapBytes: Math.round(memory.held.heapBytes),
      heldBufferBytes: Math.round(memory.held.bufferBytes),
      unreadBytes: memory.unreadBytes,
      refused: memory.refusalCount - this.#loggedRefusals,
      ...this.#options.describe(),
    };
    if (isHigh) log.warn("memory_high", fields);
    else if (this.#isHigh) log.info("memory_normal", fields);
    else log.info("memory_peak", fields);
    this.#loggedPeakShare = Math.max(this.#loggedPeakShare, share);
    this.#isHigh = isHigh;
    this.#loggedAtMillis = nowMillis;
    this.#loggedRefusals = memory.refusalCount;
  }
}
