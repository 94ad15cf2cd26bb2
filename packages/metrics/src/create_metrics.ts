/**
 * OpenTelemetry instruments of the process. Callers get plain functions, so
 * that decision code does not depend on a metrics library.
 */
import { createServer, type RequestListener, type Server } from "node:http";
import { MeterProvider } from "@opentelemetry/sdk-metrics";
import { PrometheusExporter } from "@opentelemetry/exporter-prometheus";

/** Labels of one measurement. */
export type Labels = Record<string, string>;

/** Instruments of an entry. */
export interface Metrics {
  count(name: CounterName, amount: number, labels?: Labels): void;
  record(name: HistogramName, value: number, labels?: Labels): void;
  /** Registers a gauge whose value `read` returns at each scrape. */
  gauge(name: GaugeName, read: () => number): void;
  close(): Promise<void>;
}

const METRICS_PATH = "/metrics";
const NO_LABELS: Labels = {};
/** Maximum number of label sets per counter; further ones are not counted. */
const MAX_LABEL_SETS = 2000;

/** Descriptions of the counters, by name. */
export const COUNTER_DESCRIPTIONS = {
  bamboolane_requests: "Answered requests by member, service, lane and result.",
  bamboolane_lookups: "Answered look-ups.",
  bamboolane_decisions: "Routing decisions by kind.",
  bamboolane_hedges: "Hedged attempts sent.",
  bamboolane_retries: "Attempts after the first.",
  bamboolane_forwards: "Requests forwarded to other instances.",
  bamboolane_request_faults:
    "Requests failed by an error in the instance itself.",
  bamboolane_invariant_checks: "Checks of each invariant.",
  bamboolane_invariant_breaches: "Breaches of each invariant.",
  bamboolane_heartbeats: "Heartbeat messages sent and received.",
  bamboolane_heartbeat_bytes: "Bytes of heartbeat messages sent and received.",
  bamboolane_store_calls: "Calls to the platform's store by kind.",
  bamboolane_link_bytes: "Bytes sent to other regions by lane.",
} as const;

/** Descriptions of the histograms, by name. Unit: milliseconds. */
export const HISTOGRAM_DESCRIPTIONS = {
  bamboolane_request_duration_millis:
    "Time from the read request to the last byte of the answer.",
  bamboolane_queue_wait_millis: "Wait for a slot.",
} as const;

/** Descriptions of the gauges, by name. */
export const GAUGE_DESCRIPTIONS = {
  bamboolane_revision: "Configuration revision in force.",
  bamboolane_cut_off: "1 while the revision can't be proven newest.",
  bamboolane_in_flight: "Requests held by this instance.",
  bamboolane_live_instances: "Instances considered live.",
  bamboolane_limited_targets: "Targets that name a request limit.",
  bamboolane_leaving_targets: "Targets that said that they leave.",
  bamboolane_pausing_targets:
    "Targets that asked this instance for a pause that isn't over.",
  bamboolane_unreachable_targets:
    "Targets that this instance can't connect to.",
  bamboolane_resident_bytes: "Resident memory of the process.",
  bamboolane_heap_bytes: "Heap of V8 in use, with garbage.",
  bamboolane_heap_limit_bytes: "Heap of V8 at which the process ends.",
  bamboolane_held_heap_bytes: "Heap that counts as held for others.",
  bamboolane_held_buffer_bytes:
    "Buffers and sockets that count as held for others.",
  bamboolane_unread_bytes:
    "The most that callers, and targets of large answers, may have sent and the process has not read.",
  bamboolane_memory_refusals:
    "Requests refused for lack of memory or descriptors since the start.",
  bamboolane_input_pauses:
    "Pauses in which no caller was read, since the start.",
  bamboolane_input_paused_millis:
    "Time in which no caller was read, since the start, in milliseconds.",
  bamboolane_longest_read_turn_millis:
    "Longest turn of the event loop that read callers, since the start, in milliseconds.",
} as const;

/** Name of a counter. */
export type CounterName = keyof typeof COUNTER_DESCRIPTIONS;
/** Name of a histogram. */
export type HistogramName = keyof typeof HISTOGRAM_DESCRIPTIONS;
/** Name of a gauge. */
export type GaugeName = keyof typeof GAUGE_DESCRIPTIONS;

/** Totals by label set; cheaper on the request path than the library's counters. */
class LabelledTotals {
  readonly #totals = new Map<string, { labels: Labels; total: number }>();

  add(amount: number, labels: Labels = NO_LABELS): void {
    let key = "";
    for (const name in labels) key += labels[name] + "\n";
    const existing = this.#totals.get(key);
    if (existing) existing.total += amount;
    else if (this.#totals.size < MAX_LABEL_SETS) {
      this.#totals.set(key, { labels, total: amount });
    }
  }

  observe(result: { observe: (value: number, labels: Labels) => void }): void {
    for (const { labels, total } of this.#totals.values()) {
      result.observe(total, labels);
    }
  }
}

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
  /** Called for errors of the endpoint after its start. */
  onError: (error: Error) => void;
  /** Creates the server of the endpoint; one without bounds unless given. */
  createServer?: (answer: RequestListener) => Server;
}

/** Serves the metrics at `address`. */
function serveMetrics(
  address: string,
  options: MetricsOptions & { exporter: PrometheusExporter },
): Promise<Server> {
  const { exporter, onError } = options;
  const [host, port] = address.split(":");
  const create = options.createServer ?? createServer;
  const server = create((request, response) => {
    const [path] = (request.url ?? "").split("?", 1);
    if (path === METRICS_PATH) {
      return exporter.getMetricsRequestHandler(request, response);
    }
    response.writeHead(404).end();
  }).unref();
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(port), host, () => {
      server.off("error", reject).on("error", onError);
      resolve(server);
    });
  });
}

/** Starts the scrape endpoint at `address` and creates the instruments. */
export async function createMetrics(
  address: string,
  options: MetricsOptions,
): Promise<Metrics> {
  const exporter = new PrometheusExporter({ preventServerStart: true });
  const server = await serveMetrics(address, { ...options, exporter });
  const provider = new MeterProvider({ readers: [exporter] });
  const meter = provider.getMeter("bamboolane");
  const totalsByName = Object.fromEntries(
    Object.entries(COUNTER_DESCRIPTIONS).map(([name, description]) => {
      const totals = new LabelledTotals();
      const counter = meter.createObservableCounter(name, { description });
      counter.addCallback((result) => totals.observe(result));
      return [name, totals];
    }),
  );
  const histogramsByName = Object.fromEntries(
    Object.entries(HISTOGRAM_DESCRIPTIONS).map(([name, description]) => [
      name,
      meter.createHistogram(name, { description, unit: "ms" }),
    ]),
  );
  return {
    count: (name, amount, labels) => totalsByName[name].add(amount, labels),
    record: (name, value, labels) =>
      histogramsByName[name].record(value, labels),
    gauge: (name, read) => {
      const gauge = meter.createObservableGauge(name, {
        description: GAUGE_DESCRIPTIONS[name],
      });
      gauge.addCallback((result) => result.observe(read()));
    },
    close: () => {
      server.close();
      return provider.shutdown();
    },
  };
}

/** Creates instruments that discard all measurements, for tests and tools. */
export function createNoopMetrics(): Metrics {
  return {
    count: () => {},
    record: () => {},
    gauge: () => {},
    close: () => Promise.resolve(),
  };
}
