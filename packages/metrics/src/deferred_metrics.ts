/**
 * Metrics that are buffered from the start and served after a delay, so that
 * loading the metrics library doesn't delay a restarted process.
 */
import type {
  CounterName,
  GaugeName,
  HistogramName,
  Labels,
  Metrics,
} from "./create_metrics.ts";

/**
 * Maximum number of histogram samples buffered until the library is loaded;
 * further ones are discarded.
 */
const MAX_SAMPLES = 5000;

/** Options of {@link deferMetrics}. */
export interface DeferredMetricsOptions {
  /** Delay before the library is loaded, and between two attempts. */
  delayMillis: number;
  /** Loads the library and starts the scrape endpoint. */
  load: () => Promise<Metrics>;
  onError: (error: Error) => void;
}

/** Buffers measurements and passes them on once the library is loaded. */
export function deferMetrics(options: DeferredMetricsOptions): Metrics {
  let loaded: Metrics | undefined;
  let closed = false;
  const counts = new Map<
    string,
    { name: CounterName; amount: number; labels: Labels | undefined }
  >();
  const samples: [HistogramName, number, Labels | undefined][] = [];
  const gauges: [GaugeName, () => number][] = [];

  async function load(): Promise<void> {
    const metrics = await options.load();
    if (closed) return metrics.close();
    for (const { name, amount, labels } of counts.values()) {
      metrics.count(name, amount, labels);
    }
    for (const [name, value, labels] of samples) {
      metrics.record(name, value, labels);
    }
    for (const [name, read] of gauges) metrics.gauge(name, read);
    counts.clear();
    samples.length = 0;
    loaded = metrics;
  }

  let timer: NodeJS.Timeout;

  function scheduleLoad(): void {
    timer = setTimeout(async () => {
      try {
        await load();
      } catch (error) {
        options.onError(error as Error);
        if (!closed) scheduleLoad();
      }
    }, options.delayMillis);
    timer.unref();
  }

  scheduleLoad();
  return {
    count(name, amount, labels) {
      if (loaded) return loaded.count(name, amount, labels);
      const key = name + JSON.stringify(labels ?? {});
      const existing = counts.get(key);
      if (existing) existing.amount += amount;
      else counts.set(key, { name, amount, labels });
    },
    record(name, value, labels) {
      if (loaded) return loaded.record(name, value, labels);
      if (samples.length < MAX_SAMPLES) samples.push([name, value, labels]);
    },
    gauge(name, read) {
      if (loaded) return loaded.gauge(name, read);
      gauges.push([name, read]);
    },
    close() {
      closed = true;
      clearTimeout(timer);
      return loaded?.close() ?? Promise.resolve();
    },
  };
}
