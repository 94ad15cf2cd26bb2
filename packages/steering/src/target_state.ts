/**
 * One entry's estimate of the state of a target: record, load, speed and
 * health. Free of side effects: observations and the time are passed in.
 */
import { RateLimiter } from "./rate_limiter.ts";
import { MovingAverage } from "./moving_average.ts";
import { RequestLimit } from "./request_limit.ts";
import { ReturnRamp } from "./return_ramp.ts";
import type { TargetRecord } from "./steering_config.ts";

/** Load that a target reported with an answer. */
export interface LoadReport {
  /** Requests that hold a slot, from all entries. */
  running: number;
  /** Requests that wait for a slot, from all entries. */
  waiting: number;
  slots: number;
}

/** Result of an attempt with regard to the target's health. */
export const AttemptResult = {
  /** The target answered. */
  answered: "answered",
  /** The target refused without running the request. */
  refused: "refused",
  /** The target's answer was an error, truncated or corrupt. */
  faulty: "faulty",
  /** No connection could be made. */
  unreachable: "unreachable",
  /** The connection closed or timed out without an answer. */
  lost: "lost",
} as const;
/** One of {@link AttemptResult}. */
export type AttemptResult = typeof AttemptResult[keyof typeof AttemptResult];

/** Age from which a load report is ignored: the time that two typical answers take. */
const LOAD_REPORT_LIFETIME_MILLIS = 600;
/** Objects remembered for each target; a target itself caches a few dozen. */
const MAX_RECENT_OBJECTS = 24;
/** Time for which a target is expected to be warm for an object after a request. */
const RECENT_OBJECT_MILLIS = 20_000;
/** Pause after the first failed connection; it doubles with each further failure. */
const INITIAL_PAUSE_MILLIS = 300;
const MAX_PAUSE_MILLIS = 3000;
/** Pause after a refusal: about the time of one short request. */
const REFUSAL_PAUSE_MILLIS = 60;
/** Weight of one attempt in the failure rate, which covers about ten attempts. */
const FAILURE_SAMPLE_WEIGHT = 0.1;
/** Weight of one answer in the slowdown factor, so that noise lasts for a few answers only. */
const SLOWDOWN_SAMPLE_WEIGHT = 0.08;
const SLOWDOWN_FACTOR_BOUNDS = { lower: 0.4, upper: 5 } as const;

/** Minimum time without a reaction from which a target counts as silent. */
const MIN_SILENCE_MILLIS = 400;
/** Factor on the expected time to an answer, as estimates are rough. */
const SILENCE_FACTOR = 1.5;

/** State of one target as estimated by this entry. */
export class TargetState {
  record: TargetRecord;
  /** Version of the latest row of the target. */
  version: number;
  /** Requests of this entry that are in flight at the target. */
  ownInFlight = 0;
  readonly #failureRate = new MovingAverage(FAILURE_SAMPLE_WEIGHT, 0);
  #slowdownFactor = 1;
  readonly #recentObjects = new Map<string, number>();
  /** Rate of this entry while the target is cold. */
  readonly warmupLimiter = new RateLimiter();
  /** Limit that the target names in its answers. */
  readonly requestLimit = new RequestLimit();
  /** Rate of this entry while the target names a limit. */
  readonly limitLimiter = new RateLimiter();
  #coldUntilMillis: number;
  #pausedUntilMillis = 0;
  /** End of the pause that the target asked this entry for. */
  #requestedPauseEndMillis = -Infinity;
  /** Bounds this entry's requests after such a pause. */
  readonly returnRamp = new ReturnRamp();
  #connectFailures = 0;
  /** When the first of the latest failed connections failed. */
  #unreachableSinceMillis: number | undefined;
  /** When the target last answered or accepted a connection. */
  #contactAtMillis = -Infinity;
  /** When the target last became reachable again. */
  #reachedAgainAtMillis = -Infinity;
  /** When the oldest request was sent that the target has not reacted to since. */
  #unansweredSinceMillis: number | undefined;
  /** Time in which the latest request was expected to be answered. */
  #expectedAnswerMillis = 0;
  #leaving = false;
  #saysLeaving = false;
  #reportedOthersInFlight = 0;
  #loadReportedAtMillis = -Infinity;
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

  /** Applies a newer record of the same incarnation. */
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

  /** True if the target is draining or leaving: no new request may be sent to it. */
  isLeaving(): boolean {
    return this.#leaving || this.record.draining;
  }

  /** Marks the target as leaving, after another target answered at its address. */
  markLeaving(): void {
    this.#leaving = true;
  }

  /** True if the target itself said that it leaves, here or to another entry. */
  get saysLeaving(): boolean {
    return this.#saysLeaving;
  }

  /**
   * Records that the target said so in an answer. It holds for the rest of this
   * incarnation, whatever its record says. Returns false if it was known.
   */
  recordLeaving(): boolean {
    const isNew = !this.#saysLeaving;
    this.#saysLeaving = true;
    this.#leaving = true;
    return isNew;
  }

  /**
   * Records that the target wants nothing from this entry for a time. A shorter
   * pause doesn't end a longer one. Returns true if the target was not paused so.
   */
  requestPause(durationMillis: number, nowMillis: number): boolean {
    const isNew = nowMillis >= this.#requestedPauseEndMillis;
    this.#requestedPauseEndMillis = Math.max(
      this.#requestedPauseEndMillis,
      nowMillis + durationMillis,
    );
    this.returnRamp.begin();
    return isNew;
  }

  /** True while the target wants nothing from this entry. */
  isPauseRequested(nowMillis: number): boolean {
    return nowMillis < this.#requestedPauseEndMillis;
  }

  /** Marks the target as cold for at least `durationMillis`. */
  markCold(durationMillis: number, nowMillis: number): void {
    this.#coldUntilMillis = Math.max(
      this.#coldUntilMillis,
      nowMillis + durationMillis,
    );
  }

  isCold(nowMillis: number): boolean {
    return nowMillis < this.#coldUntilMillis;
  }

  /** Records that the target can't be reached, as the entry is cut off from all of them. */
  presumeUnreachable(): void {
    this.#connectFailures = Math.max(1, this.#connectFailures);
  }

  /** True if the last attempt to connect to the target failed, or would. */
  get isUnreachable(): boolean {
    return this.#connectFailures > 0;
  }

  /** Since when connections to the target fail; undefined while none has. */
  get unreachableSinceMillis(): number | undefined {
    return this.#unreachableSinceMillis;
  }

  /** Connections that failed in a row. */
  get connectFailures(): number {
    return this.#connectFailures;
  }

  /** When the target last answered or accepted a connection. */
  get contactAtMillis(): number {
    return this.#contactAtMillis;
  }

  /** When the target last became reachable again; -Infinity if it always was. */
  get reachedAgainAtMillis(): number {
    return this.#reachedAgainAtMillis;
  }

  /** Since when the target has not reacted to a request; undefined if it has to all. */
  get unansweredSinceMillis(): number | undefined {
    return this.#unansweredSinceMillis;
  }

  /** True if the target should have reacted to a request by now. */
  isSilent(nowMillis: number): boolean {
    return this.#unansweredSinceMillis !== undefined &&
      nowMillis - this.#unansweredSinceMillis >= Math.max(
          MIN_SILENCE_MILLIS,
          this.#expectedAnswerMillis * SILENCE_FACTOR,
        );
  }

  /**
   * True if the target can't be reached, or counts as cold because it could not be
   * until a short time ago.
   */
  isRecovering(nowMillis: number): boolean {
    return this.isUnreachable || this.#suspectedCrash && this.isCold(nowMillis);
  }

  /** Records that the target answered on an open connection. */
  recordContact(nowMillis: number): void {
    this.#contactAtMillis = nowMillis;
    this.#unansweredSinceMillis = this.ownInFlight > 0 ? nowMillis : undefined;
  }

  /**
   * Records that the target accepted a connection. Open connections may live on while
   * new ones fail, so that only this ends the target's being unreachable.
   */
  recordConnected(nowMillis: number): void {
    this.recordContact(nowMillis);
    if (!this.isUnreachable) return;
    this.#connectFailures = 0;
    this.#unreachableSinceMillis = undefined;
    this.#reachedAgainAtMillis = nowMillis;
    this.#pausedUntilMillis = nowMillis;
  }

  isPaused(nowMillis: number): boolean {
    return this.isUnreachable || nowMillis < this.#pausedUntilMillis ||
      this.isPauseRequested(nowMillis);
  }

  /** End of the pause, on the clock of `nowMillis`; expected if the target is unreachable. */
  pauseEndMillis(nowMillis: number): number {
    const pauseEndMillis = Math.max(
      this.#pausedUntilMillis,
      this.#requestedPauseEndMillis,
    );
    return this.isUnreachable
      ? Math.max(pauseEndMillis, nowMillis + INITIAL_PAUSE_MILLIS)
      : pauseEndMillis;
  }

  /** Share of recent attempts that failed, 0 to 1; a refusal counts as half a failure. */
  get failureRate(): number {
    return this.#failureRate.read();
  }

  /** Work time on this target relative to the service's average. */
  get slowdownFactor(): number {
    return this.#slowdownFactor;
  }

  /** True while the target names a request limit. */
  get isLimited(): boolean {
    return this.requestLimit.perSecond !== undefined;
  }

  /**
   * Slots that requests can keep busy: fewer than the target has if its limit
   * admits fewer requests than the slots could run.
   */
  usableSlots(workMillis: number): number {
    const { perSecond } = this.requestLimit;
    if (perSecond === undefined) return this.record.slots;
    return Math.min(this.record.slots, perSecond * workMillis / 1000);
  }

  /**
   * Requests at the target from all entries. For those of other entries, the
   * higher of the target's last load report and the entries' own reports counts.
   */
  inFlight(nowMillis: number): number {
    const isReportFresh =
      nowMillis - this.#loadReportedAtMillis < LOAD_REPORT_LIFETIME_MILLIS;
    const others = isReportFresh
      ? Math.max(this.#reportedOthersInFlight, this.#peersInFlight)
      : this.#peersInFlight;
    return this.ownInFlight + others;
  }

  /** Records the number of requests that other entries report in flight here. */
  recordPeerInFlight(inFlight: number): void {
    this.#peersInFlight = inFlight;
  }

  recordLoad(report: LoadReport, nowMillis: number): void {
    this.#reportedOthersInFlight = Math.max(
      0,
      report.running + report.waiting - this.ownInFlight,
    );
    this.#loadReportedAtMillis = nowMillis;
  }

  /** Sets the time in which the next request is expected to be answered. */
  expectAnswerWithin(millis: number): void {
    this.#expectedAnswerMillis = millis;
  }

  recordSend(object: string | undefined, nowMillis: number): void {
    this.ownInFlight++;
    this.#unansweredSinceMillis ??= nowMillis;
    if (this.isCold(nowMillis)) this.warmupLimiter.take();
    if (this.isLimited) this.limitLimiter.take();
    if (object === undefined) return;
    this.#recentObjects.delete(object);
    this.#recentObjects.set(object, nowMillis);
    if (this.#recentObjects.size > MAX_RECENT_OBJECTS) {
      const oldest = this.#recentObjects.keys().next().value as string;
      this.#recentObjects.delete(oldest);
    }
  }

  recordEnd(): void {
    this.ownInFlight = Math.max(0, this.ownInFlight - 1);
    if (this.ownInFlight === 0) this.#unansweredSinceMillis = undefined;
  }

  /** True if this entry recently sent the target a request for the object. */
  isWarmFor(object: string | undefined, nowMillis: number): boolean {
    if (object === undefined) return false;
    const sentAtMillis = this.#recentObjects.get(object);
    return sentAtMillis !== undefined &&
      nowMillis - sentAtMillis < RECENT_OBJECT_MILLIS;
  }

  /** Records the ratio of an answer's work time to the expected work time. */
  recordWorkRatio(ratio: number): void {
    const bounded = Math.min(
      SLOWDOWN_FACTOR_BOUNDS.upper,
      Math.max(SLOWDOWN_FACTOR_BOUNDS.lower, ratio),
    );
    this.#slowdownFactor += (bounded - this.#slowdownFactor) *
      SLOWDOWN_SAMPLE_WEIGHT;
  }

  recordResult(
    result: AttemptResult,
    options: { nowMillis: number; warmupMillis: number },
  ): void {
    const { nowMillis } = options;
    switch (result) {
      case AttemptResult.answered:
        this.#failureRate.add(0);
        // Requests that were sent before a pause prove nothing about the time after it.
        if (!this.isPauseRequested(nowMillis)) {
          this.returnRamp.recordAnswer(this.record.slots);
        }
        if (this.#suspectedCrash) {
          // The target restarted after a crash: its caches are empty.
          this.#suspectedCrash = false;
          this.markCold(options.warmupMillis, nowMillis);
        }
        return;
      case AttemptResult.refused:
        this.#failureRate.add(0.5);
        this.#pausedUntilMillis = Math.max(
          this.#pausedUntilMillis,
          nowMillis + REFUSAL_PAUSE_MILLIS,
        );
        return;
      case AttemptResult.faulty:
      case AttemptResult.lost:
        this.#failureRate.add(1);
        return;
      case AttemptResult.unreachable:
        this.#failureRate.add(1);
        this.#suspectedCrash = true;
        this.#unreachableSinceMillis ??= nowMillis;
        this.#recentObjects.clear();
        this.markCold(options.warmupMillis, nowMillis);
        this.#pausedUntilMillis = nowMillis +
          Math.min(
            MAX_PAUSE_MILLIS,
            INITIAL_PAUSE_MILLIS * 2 ** Math.min(10, this.#connectFailures++),
          );
        return;
    }
  }
}
