/**
 * A fake clock: runs events in the order of their times, ties in the order in
 * which they were added.
 */

interface Event {
  atMillis: number;
  order: number;
  run: () => void;
}

/** Events to come, as a binary heap. */
export class EventQueue {
  readonly #heap: Event[] = [];
  #order = 0;
  #nowMillis = 0;

  get nowMillis(): number {
    return this.#nowMillis;
  }

  /** Runs `run` after `delayMillis` of fake time. */
  after(delayMillis: number, run: () => void): void {
    const atMillis = this.#nowMillis + Math.max(0, delayMillis);
    this.#heap.push({ atMillis, order: this.#order++, run });
    this.#rise(this.#heap.length - 1);
  }

  /** Runs events until none is left before `endMillis`. */
  runUntil(endMillis: number): void {
    while (this.#heap.length > 0 && this.#heap[0].atMillis <= endMillis) {
      const event = this.#takeFirst();
      this.#nowMillis = event.atMillis;
      event.run();
    }
    this.#nowMillis = endMillis;
  }

  #takeFirst(): Event {
    const first = this.#heap[0];
    const last = this.#heap.pop() as Event;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#sink(0);
    }
    return first;
  }

  #rise(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #sink(start: number): void {
    let index = start;
    while (true) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.#heap.length && this.#isBefore(child, least)) {
          least = child;
        }
      }
      if (least === index) return;
      this.#swap(index, least);
      index = least;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const [x, y] = [this.#heap[a], this.#heap[b]];
    return x.atMillis < y.atMillis ||
      x.atMillis === y.atMillis && x.order < y.order;
  }

  #swap(a: number, b: number): void {
    [this.#heap[a], this.#heap[b]] = [this.#heap[b], this.#heap[a]];
  }
}
