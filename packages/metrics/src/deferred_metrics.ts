/**
 * Metrics that count from the start and are served a little later, so that
 * loading the metrics library doesn't delay a restarted process.
 */
import type {
  CounterName,
  GaugeName,
  HistogramName,
  Labels,
  Metrics,
} from "./create_metrics.ts";

/** Samples of histograms kept until the library is loaded. */
const maxKeptSamples = 5000;

/** Options of {@link deferMetrics}. */
export interface DeferredOptions {
  delayMillis: number;
  /** Loads the library and starts the scrape endpoint. */
  load: () => Promise<Metrics>;
  onError: (error: Error) => void;
}

/** Counts at once and hands everything over when the library is loaded. */
export function deferMetrics(options: DeferredOptions): Metrics {
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

  const timer = setTimeout(
    () => load().catch(options.onError),
    options.delayMillis,
  );
  timer.unref();
  return {
    count(name, amount, labels) {
      if (loaded) return loaded.count(name, amount, labels);
      const key = name + JSON.stringify(labels ?? {});
      const known = counts.get(key);
      if (known) known.amount += amount;
      else counts.set(key, { name, amount, labels });
    },
    record(name, value, labels) {
      if (loaded) return loaded.record(name, value, labels);
      if (samples.length < maxKeptSamples) samples.push([name, value, labels]);
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
