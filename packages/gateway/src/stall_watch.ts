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
/**
 * Time in which a late loop reads the close that follows a request: closes were
 * read up to 9 ms after their requests in the log of an entry short of time.
 */
const catchUpMillis = 10;

/** Watches the event loop. */
export class StallWatch {
  readonly #timer: NodeJS.Timeout;
  #lookedAtMillis = performance.now();
  /** A process that starts has stood still until now. */
  #stalledAtMillis = performance.now();

  constructor() {
    this.#timer = setInterval(() => {
      this.#look();
      this.#lookedAtMillis = performance.now();
    }, tickMillis);
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
  }
}

/** Lets the event loop read what arrived meanwhile, such as a caller's close. */
export async function catchUp(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, catchUpMillis));
  // A late loop runs timers before it reads; this comes after it has read.
  await new Promise((resolve) => setImmediate(resolve));
}
