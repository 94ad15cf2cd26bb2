/**
 * Counts the pauses in which callers are not read, and logs them together: on an entry
 * whose callers are dear to read they follow each other closely.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Metrics } from "@bamboolane/metrics/create_metrics";

/** Minimum time between two log lines. */
const LOG_INTERVAL_MILLIS = 5000;

/** One pause. */
export interface InputPause {
  tookMillis: number;
  /** Connections of callers, and of entries that forward, that were accepted in it. */
  accepted: number;
  /** Connections and requests of the other listeners that were served in it. */
  brief: number;
}

/** Options of {@link PauseMonitor}. */
export interface PauseMonitorOptions {
  log: EventLog;
  metrics: Metrics;
}

/** Monitors the pauses of one process. */
export class PauseMonitor {
  readonly #log: EventLog;
  #pauseCount = 0;
  #pausedMillis = 0;
  #longestTurnMillis = 0;
  /** What no log line has named yet. */
  #unlogged = { pauses: 0, pausedMillis: 0, accepted: 0, brief: 0 };
  #unloggedTurnMillis = 0;
  #loggedAtMillis = -Infinity;

  constructor({ log, metrics }: PauseMonitorOptions) {
    this.#log = log;
    metrics.gauge("bamboolane_input_pauses", () => this.#pauseCount);
    metrics.gauge(
      "bamboolane_input_paused_millis",
      () => Math.round(this.#pausedMillis),
    );
    metrics.gauge(
      "bamboolane_longest_read_turn_millis",
      () => Math.round(this.#longestTurnMillis),
    );
  }

  /** Records a turn of the event loop, from the first read of a caller to its end. */
  recordTurn(tookMillis: number): void {
    this.#longestTurnMillis = Math.max(this.#longestTurnMillis, tookMillis);
    this.#unloggedTurnMillis = Math.max(this.#unloggedTurnMillis, tookMillis);
  }

  recordPause({ tookMillis, accepted, brief }: InputPause): void {
    this.#pauseCount++;
    this.#pausedMillis += tookMillis;
    this.#unlogged.pauses++;
    this.#unlogged.pausedMillis += tookMillis;
    this.#unlogged.accepted += accepted;
    this.#unlogged.brief += brief;
    const nowMillis = performance.now();
    if (nowMillis - this.#loggedAtMillis < LOG_INTERVAL_MILLIS) return;
    this.#log.info("input_paused", {
      ...this.#unlogged,
      pausedMillis: Math.round(this.#unlogged.pausedMillis),
      longestTurnMillis: Math.round(this.#unloggedTurnMillis),
    });
    this.#loggedAtMillis = nowMillis;
    this.#unlogged = { pauses: 0, pausedMillis: 0, accepted: 0, brief: 0 };
    this.#unloggedTurnMillis = 0;
  }
}
