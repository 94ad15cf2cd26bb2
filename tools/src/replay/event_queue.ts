/**
 * Event queue of a simulation and its clock. Runs events in order of time;
 * events of the same time run in the order in which they were added.
 */

interface ScheduledEvent {
  atMillis: number;
  sequence: number;
  run: () => void;
}

/** Pending events in a binary heap. */
export class EventQueue {
  readonly #heap: ScheduledEvent[] = [];
  #nextSequence = 0;
  #nowMillis = 0;

  get nowMillis(): number {
    return this.#nowMillis;
  }

  /** Schedules `run` after `delayMillis` of simulated time; below 0 counts as 0. */
  after(delayMillis: number, run: () => void): void {
    const atMillis = this.#nowMillis + Math.max(0, delayMillis);
    this.#heap.push({ atMillis, sequence: this.#nextSequence++, run });
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs all events up to and including `endMillis`. */
  runUntil(endMillis: number): void {
    while (this.#heap.length > 0 && this.#heap[0].atMillis <= endMillis) {
      const event = this.#removeFirst();
      this.#nowMillis = event.atMillis;
      event.run();
    }
    this.#nowMillis = endMillis;
  }

  #removeFirst(): ScheduledEvent {
    const first = this.#heap[0];
    const last = this.#heap.pop() as ScheduledEvent;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown(0);
    }
    return first;
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(start: number): void {
    let index = start;
    while (true) {
      let smallest = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.#heap.length && this.#isBefore(child, smallest)) {
          smallest = child;
        }
      }
      if (smallest === index) return;
      this.#swap(index, smallest);
      index = smallest;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const [x, y] = [this.#heap[a], this.#heap[b]];
    return x.atMillis < y.atMillis ||
      x.atMillis === y.atMillis && x.sequence < y.sequence;
  }

  #swap(a: number, b: number): void {
    [this.#heap[a], this.#heap[b]] = [this.#heap[b], this.#heap[a]];
  }
}
