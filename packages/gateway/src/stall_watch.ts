/**
 * Tells whether the process was late a moment ago: while it loads code, is
 * short of processor time or was paused. What it then reads may be long over.
 */

/** How often the watch looks. */
const tickMillis = 25;
/** A gap between two looks that is no ordinary delay: a tick was missed. */
const stallMillis = 2 * tickMillis;
/** How long after such a gap its backlog may still be read. */
const backlogMillis = 1000;

/** Watches the event loop. */
export class StallWatch {
  readonly #timer: NodeJS.Timeout;
  #lookedAtMillis = performance.now();
  /** A process that starts has stood still until now. */
  #stalledAtMillis = performance.now();

  constructor() {
    this.#timer = setInterval(() => this.#look(), tickMillis);
    this.#timer.unref();
  }

  /** True during the first moments after a stall. */
  stalledLately(): boolean {
    this.#look();
    return performance.now() - this.#stalledAtMillis < backlogMillis;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #look(): void {
    const nowMillis = performance.now();
    if (nowMillis - this.#lookedAtMillis > stallMillis) {
      this.#stalledAtMillis = nowMillis;
    }
    this.#lookedAtMillis = nowMillis;
  }
}

/** Lets the event loop read what arrived meanwhile, such as a caller's close. */
export async function catchUp(): Promise<void> {
  // The loop reads after a first turn, and its callbacks are done at the second.
  for (let turn = 0; turn < 2; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
