/**
 * Steps for deferred metrics.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  createNoopMetrics,
  type Metrics,
} from "@bamboolane/metrics/create_metrics";
import { deferMetrics } from "@bamboolane/metrics/deferred_metrics";

let metrics: Metrics;
let counted = 0;
let recorded = 0;
let loaded: Promise<void>;

Given(
  "metrics that load after {int} ms",
  (delayMillis: number) => prepareMetrics(delayMillis, { failures: 0 }),
);

Given(
  "metrics that load after {int} ms, at the second attempt",
  (delayMillis: number) => prepareMetrics(delayMillis, { failures: 1 }),
);

function prepareMetrics(
  delayMillis: number,
  { failures }: { failures: number },
): void {
  counted = 0;
  recorded = 0;
  let attempts = 0;
  loaded = new Promise((resolve) => {
    metrics = deferMetrics({
      delayMillis,
      load: () => {
        if (attempts++ < failures) {
          return Promise.reject(new Error("listen EADDRINUSE"));
        }
        setImmediate(resolve);
        return Promise.resolve({
          ...createNoopMetrics(),
          count: (_name, amount) => counted += amount,
          record: () => recorded++,
        });
      },
      onError: ({ message }) => assert.equal(message, "listen EADDRINUSE"),
    });
  });
}

function countRequests(count: number): void {
  for (let i = 0; i < count; i++) {
    metrics.count("bamboolane_requests", 1, { service: "s", result: "ok" });
    metrics.record("bamboolane_request_duration_millis", 5, { service: "s" });
  }
}

When(
  "{int} requests are counted before and {int} after loading",
  async (before: number, after: number) => {
    countRequests(before);
    assert.equal(counted, 0);
    await loaded;
    countRequests(after);
  },
);

Then(
  "the loaded metrics counted {int} and recorded {int}",
  (count: number, records: number) => {
    assert.equal(counted, count);
    assert.equal(recorded, records);
  },
);
