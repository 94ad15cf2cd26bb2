/**
 * A target on the fake clock: slots, a short queue, objects that it knows.
 */
import type { EventQueue } from "./event_queue.ts";
import type { LoadPattern } from "./load_pattern.ts";

/** A request as a target takes it. */
export interface TargetWork {
  object: string;
  /** The target stops work then. */
  deadlineAtMillis: number;
  onEnd: (end: TargetEnd) => void;
}

/** How the work ended. */
export type TargetEnd =
  | { kind: "done"; slotMillis: number }
  | { kind: "refused" }
  /** The deadline passed; `slotMillis` were spent for nothing. */
  | { kind: "expired"; slotMillis: number };

/** One target. */
export class SimulatedTarget {
  readonly id: string;
  readonly region: string;
  readonly #clock: EventQueue;
  readonly #pattern: LoadPattern;
  readonly #random: () => number;
  readonly #known = new Map<string, true>();
  #running = 0;
  #waiting: TargetWork[] = [];
  factor = 1;
  lost = false;
  busySlotMillis = 0;
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

  /** Running, waiting and slots, as the target reports them. */
  get load(): { running: number; waiting: number; slots: number } {
    return {
      running: this.#running,
      waiting: this.#waiting.length,
      slots: this.#pattern.slots,
    };
  }

  take(work: TargetWork): void {
    const { slots, queue } = this.#pattern;
    if (this.lost || this.#waiting.length >= queue) {
      return work.onEnd({ kind: "refused" });
    }
    if (this.#running < slots) return this.#run(work);
    this.#waiting.push(work);
  }

  /** The target starts anew. */
  forget(): void {
    this.#known.clear();
  }

  #run(work: TargetWork): void {
    const { nowMillis } = this.#clock;
    this.#running++;
    this.runs++;
    const needed = this.#workMillis(work.object);
    const left = Math.max(0, work.deadlineAtMillis - nowMillis);
    const slotMillis = Math.min(needed, left);
    this.#clock.after(slotMillis, () => {
      this.#running--;
      this.busySlotMillis += slotMillis;
      work.onEnd({ kind: needed <= left ? "done" : "expired", slotMillis });
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

  #workMillis(object: string): number {
    const { workMillis, warmShare, spread, tail, objectsKept } = this.#pattern;
    const warm = this.#known.delete(object);
    if (warm) this.warmRuns++;
    this.#known.set(object, true);
    if (this.#known.size > objectsKept) {
      this.#known.delete(this.#known.keys().next().value as string);
    }
    const spreadFactor = 1 + spread * (2 * this.#random() - 1);
    const tailFactor = this.#random() < tail.share ? tail.factor : 1;
    const mean = workMillis * (warm ? warmShare : 1);
    return mean * spreadFactor * tailFactor * this.factor;
  }
}
