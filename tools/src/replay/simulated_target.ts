/**
 * A target on the simulated clock, with slots, a short queue and a cache of
 * objects.
 */
import type { EventQueue } from "./event_queue.ts";
import type { LoadPattern } from "./load_pattern.ts";

/** A request at a target. */
export interface TargetWork {
  object: string;
  /** When the target stops working on it. */
  deadlineAtMillis: number;
  onEnd: (end: TargetEnd) => void;
}

/** How a request ended at the target. */
export type TargetEnd =
  | { kind: "done"; slotMillis: number }
  | { kind: "refused" }
  /** The deadline passed; `slotMillis` were wasted. */
  | { kind: "expired"; slotMillis: number };

/** A simulated target. */
export class SimulatedTarget {
  readonly id: string;
  readonly region: string;
  readonly #clock: EventQueue;
  readonly #pattern: LoadPattern;
  readonly #random: () => number;
  readonly #cachedObjects = new Map<string, true>();
  #running = 0;
  #waiting: TargetWork[] = [];
  /** Multiplies the work time. */
  slowdownFactor = 1;
  /** Refuses all requests. */
  isDown = false;
  /** Time for which slots were occupied, over all slots. */
  busySlotMillis = 0;
  /** Part of it spent on requests whose deadline passed before they were done. */
  wastedSlotMillis = 0;
  /** Runs whose object was cached. */
  warmRuns = 0;
  runs = 0;

  constructor(
    id: string,
    options: {
      region: string;
      clock: EventQueue;
      pattern: LoadPattern;
      random: () => number;
    },
  ) {
    this.id = id;
    this.region = options.region;
    this.#clock = options.clock;
    this.#pattern = options.pattern;
    this.#random = options.random;
  }

  /** The load that the target reports. */
  get load(): { running: number; waiting: number; slots: number } {
    return {
      running: this.#running,
      waiting: this.#waiting.length,
      slots: this.#pattern.slots,
    };
  }

  /**
   * Runs, queues or refuses a request. A queued one is refused if its deadline
   * has passed when a slot becomes free.
   */
  submit(work: TargetWork): void {
    const { slots, queueLimit } = this.#pattern;
    if (this.isDown || this.#waiting.length >= queueLimit) {
      return work.onEnd({ kind: "refused" });
    }
    if (this.#running < slots) return this.#run(work);
    this.#waiting.push(work);
  }

  /** Empties the cache, as a restart does. */
  clearCache(): void {
    this.#cachedObjects.clear();
  }

  #run(work: TargetWork): void {
    const { nowMillis } = this.#clock;
    this.#running++;
    this.runs++;
    const requiredMillis = this.#workMillis(work.object);
    const remainingMillis = Math.max(0, work.deadlineAtMillis - nowMillis);
    const slotMillis = Math.min(requiredMillis, remainingMillis);
    this.#clock.after(slotMillis, () => {
      this.#running--;
      this.busySlotMillis += slotMillis;
      const isDone = requiredMillis <= remainingMillis;
      if (!isDone) this.wastedSlotMillis += slotMillis;
      work.onEnd({ kind: isDone ? "done" : "expired", slotMillis });
      this.#startNext();
    });
  }

  #startNext(): void {
    const { nowMillis } = this.#clock;
    while (this.#waiting.length > 0 && this.#running < this.#pattern.slots) {
      const next = this.#waiting.shift() as TargetWork;
      if (next.deadlineAtMillis <= nowMillis) next.onEnd({ kind: "refused" });
      else this.#run(next);
    }
  }

  /**
   * Draws the work time of a request and puts its object into the cache, from
   * which the least recently used object is evicted.
   */
  #workMillis(object: string): number {
    const { workMillis, warmWorkShare, spread, tail, cacheCapacity } =
      this.#pattern;
    const warm = this.#cachedObjects.delete(object);
    if (warm) this.warmRuns++;
    this.#cachedObjects.set(object, true);
    if (this.#cachedObjects.size > cacheCapacity) {
      this.#cachedObjects.delete(
        this.#cachedObjects.keys().next().value as string,
      );
    }
    const spreadFactor = 1 + spread * (2 * this.#random() - 1);
    const tailFactor = this.#random() < tail.share ? tail.factor : 1;
    const mean = workMillis * (warm ? warmWorkShare : 1);
    return mean * spreadFactor * tailFactor * this.slowdownFactor;
  }
}
