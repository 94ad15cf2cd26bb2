/**
 * Detects stalls of the event loop: while the process loads code, is short of
 * processor time or was paused. Events that are read right after a stall may be
 * out of date, and callers that left meanwhile are known only once all sockets
 * have been polled.
 */

/** How often the event loop is checked. */
const CHECK_INTERVAL_MILLIS = 25;
/** Minimum time between two checks that counts as a stall: at least one check was missed. */
const STALL_THRESHOLD_MILLIS = 2 * CHECK_INTERVAL_MILLIS;
/** How long after a stall its backlog may still be read. */
const BACKLOG_MILLIS = 1000;
/**
 * Time in which a late loop reads the close that follows a request: closes were
 * read up to 9 ms after their requests on an entry short of processor time.
 */
const CATCH_UP_MILLIS = 10;

/** Monitors the event loop. */
export class StallMonitor {
  readonly #timer: NodeJS.Timeout;
  #checkedAtMillis = performance.now();
  /** The start of the process counts as a stall. */
  #stalledAtMillis = performance.now();
  #catchingUp = false;
  /** Called once all sockets have been polled after a stall. */
  onCaughtUp: () => void = () => {};

  constructor() {
    this.#timer = setInterval(() => {
      this.#check();
      this.#checkedAtMillis = performance.now();
    }, CHECK_INTERVAL_MILLIS);
    this.#timer.unref();
  }

  /** True shortly after a stall. */
  stalledRecently(): boolean {
    this.#check();
    return performance.now() - this.#stalledAtMillis < BACKLOG_MILLIS;
  }

  /** True from a stall until all sockets have been polled. */
  isCatchingUp(): boolean {
    this.#check();
    return this.#catchingUp;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const nowMillis = performance.now();
    if (nowMillis - this.#checkedAtMillis <= STALL_THRESHOLD_MILLIS) return;
    this.#stalledAtMillis = nowMillis;
    if (this.#catchingUp) return;
    this.#catchingUp = true;
    pollSockets().then(() => this.#endCatchUp());
  }

  #endCatchUp(): void {
    this.#catchingUp = false;
    // A poll that took long itself is no reason to wait for another one.
    this.#checkedAtMillis = performance.now();
    this.onCaughtUp();
  }
}

/** Lets the event loop read what arrived meanwhile, such as a caller's close. */
export async function catchUp(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, CATCH_UP_MILLIS));
  // A late loop runs due timers before it reads sockets, and immediates after.
  await new Promise((resolve) => setImmediate(resolve));
}

/**
 * Lets the event loop poll all sockets once more. A caller's close that arrived
 * together with its request is read after it.
 */
export async function pollSockets(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
  await new Promise((resolve) => setImmediate(resolve));
}
