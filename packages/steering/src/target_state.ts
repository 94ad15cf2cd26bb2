/**
 * What one entry believes about one target: its record, its load, its speed,
 * its health. Pure: observations and time come in, estimates go out.
 */
import { WarmupLimiter } from "./warmup_limiter.ts";
import { MovingAverage } from "./moving_average.ts";
import type { TargetRecord } from "./steering_config.ts";

/** A target's own figures, as an answer carried them. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
}

/** How an attempt ended, as far as the target's health goes. */
export const AttemptResult = {
  /** The target answered. */
  answered: "answered",
  /** The target refused without running the request. */
  refused: "refused",
  /** The target's answer was an error, cut short or spoiled. */
  faulty: "faulty",
  /** No connection could be made. */
  unreachable: "unreachable",
  /** The connection ended without an answer, or nothing came in time. */
  lost: "lost",
} as const;
/** One of {@link AttemptResult}. */
export type AttemptResult = typeof AttemptResult[keyof typeof AttemptResult];

/** A load report older than this says nothing about the present. Two common answers' time. */
const reportLifetimeMillis = 600;
/** Objects remembered for each target; targets keep a few dozen themselves. */
const maxObjects = 24;
/** How long a target is believed to run requests for an object faster. */
const objectMemoryMillis = 20_000;
/** First pause after a failed connection; doubles with each further one. */
const firstPauseMillis = 300;
const longestPauseMillis = 3000;
/** Pause after a refusal: about one short request's time. */
const refusalPauseMillis = 60;
/** Weight of one attempt in the failure rate: ten attempts make a picture. */
const failureWeight = 0.1;
/** Weight of one answer in the speed: noise lasts for a handful of answers. */
const speedWeight = 0.08;
const speedBounds = { least: 0.4, most: 5 } as const;

/** Beliefs about one target. */
export class TargetState {
  record: TargetRecord;
  version: number;
  ownInFlight = 0;
  readonly #failureRate = new MovingAverage(failureWeight, 0);
  #slowness = 1;
  readonly #objects = new Map<string, number>();
  readonly #cold = new WarmupLimiter();
  #coldUntilMillis: number;
  #pausedUntilMillis = 0;
  #pauses = 0;
  #leaving = false;
  #othersInFlight = 0;
  #reportedAtMillis = -Infinity;
  #peersInFlight = 0;
  #suspectedCrash = false;

  constructor(
    record: TargetRecord,
    options: { version: number; nowMillis: number },
  ) {
    this.record = record;
    this.version = options.version;
    this.#coldUntilMillis = record.warmupLeftMillis > 0
      ? options.nowMillis + record.warmupLeftMillis
      : -Infinity;
  }

  /** Takes over a newer record of the same incarnation. */
  update(
    record: TargetRecord,
    options: { version: number; nowMillis: number },
  ): void {
    this.record = record;
    this.version = options.version;
    if (record.warmupLeftMillis > 0) {
      this.markCold(record.warmupLeftMillis, options.nowMillis);
    }
  }

  /** True where no new request may be sent, whatever the load. */
  isLeaving(): boolean {
    return this.#leaving || this.record.draining;
  }

  /** The target itself said that it leaves. */
  markLeaving(): void {
    this.#leaving = true;
  }

  markCold(forMillis: number, nowMillis: number): void {
    this.#coldUntilMillis = Math.max(
      this.#coldUntilMillis,
      nowMillis + forMillis,
    );
  }

  isCold(nowMillis: number): boolean {
    return nowMillis < this.#coldUntilMillis;
  }

  get warmupLimiter(): WarmupLimiter {
    return this.#cold;
  }

  isPaused(nowMillis: number): boolean {
    return nowMillis < this.#pausedUntilMillis;
  }

  /** When the pause ends, on the caller's clock. */
  get pausedUntilMillis(): number {
    return this.#pausedUntilMillis;
  }

  /** Share of recent attempts that failed, 0 to 1. */
  get failureRate(): number {
    return this.#failureRate.read();
  }

  /** Time that work takes here, relative to the service's average. */
  get slowdownFactor(): number {
    return this.#slowness;
  }

  /** Requests at the target, from all entries, as far as known. */
  inFlight(nowMillis: number): number {
    const fresh = nowMillis - this.#reportedAtMillis < reportLifetimeMillis;
    const others = fresh
      ? Math.max(this.#othersInFlight, this.#peersInFlight)
      : this.#peersInFlight;
    return this.ownInFlight + others;
  }

  /** What the other entries say that they have in flight here. */
  recordPeerInFlight(inFlight: number): void {
    this.#peersInFlight = inFlight;
  }

  recordLoad(report: LoadReport, nowMillis: number): void {
    this.#othersInFlight = Math.max(
      0,
      report.running + report.waiting - this.ownInFlight,
    );
    this.#reportedAtMillis = nowMillis;
  }

  recordSend(object: string | undefined, nowMillis: number): void {
    this.ownInFlight++;
    if (object === undefined) return;
    this.#objects.delete(object);
    this.#objects.set(object, nowMillis);
    if (this.#objects.size > maxObjects) {
      const oldest = this.#objects.keys().next().value as string;
      this.#objects.delete(oldest);
    }
  }

  recordEnd(): void {
    this.ownInFlight = Math.max(0, this.ownInFlight - 1);
  }

  /** True where the target ran a request for the object lately. */
  isWarmFor(object: string | undefined, nowMillis: number): boolean {
    if (object === undefined) return false;
    const seen = this.#objects.get(object);
    return seen !== undefined && nowMillis - seen < objectMemoryMillis;
  }

  /** Adds the ratio of the time that work took to the time expected. */
  recordWorkRatio(ratio: number): void {
    const bounded = Math.min(
      speedBounds.most,
      Math.max(speedBounds.least, ratio),
    );
    this.#slowness += (bounded - this.#slowness) * speedWeight;
  }

  recordResult(
    result: AttemptResult,
    options: { nowMillis: number; warmupMillis: number },
  ): void {
    const { nowMillis } = options;
    switch (result) {
      case AttemptResult.answered:
        this.#failureRate.add(0);
        this.#pauses = 0;
        if (this.#suspectedCrash) {
          // Back after a crash: its caches are empty.
          this.#suspectedCrash = false;
          this.markCold(options.warmupMillis, nowMillis);
        }
        return;
      case AttemptResult.refused:
        this.#failureRate.add(0.5);
        this.#pausedUntilMillis = Math.max(
          this.#pausedUntilMillis,
          nowMillis + refusalPauseMillis,
        );
        return;
      case AttemptResult.faulty:
      case AttemptResult.lost:
        this.#failureRate.add(1);
        return;
      case AttemptResult.unreachable:
        this.#failureRate.add(1);
        this.#suspectedCrash = true;
        this.#objects.clear();
        this.markCold(options.warmupMillis, nowMillis);
        this.#pausedUntilMillis = nowMillis +
          Math.min(
            longestPauseMillis,
            firstPauseMillis * 2 ** Math.min(10, this.#pauses++),
          );
        return;
    }
  }
}
