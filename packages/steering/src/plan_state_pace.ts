/**
 * Plans how often an entry makes sure that its state is current, from the time within
 * which a change of the store must be in force. A change that was acknowledged right
 * after the last answer is known after the maximum age, one call on a new connection,
 * and one more if the first got no answer.
 */

/** How often an entry asks the store. */
export interface StatePace {
  /** Maximum wait of one watch of an entry that follows the store. */
  watchMillis: number;
  /** Age of the state from which an entry asks the store itself. */
  maxAgeMillis: number;
  /** Time after which it asks again while there is no answer. */
  retryMillis: number;
}

/** Shares of the time within which a change must be in force. */
const WATCH_SHARE = 0.36;
/** Exceeds a watch by several heartbeats, so that followers' answers reach the others in time. */
const MAX_AGE_SHARE = 0.56;
const RETRY_SHARE = 0.16;

/** Plans the pace for changes that must be in force within `applyWithinMillis`. */
export function planStatePace(applyWithinMillis: number): StatePace {
  return {
    watchMillis: applyWithinMillis * WATCH_SHARE,
    maxAgeMillis: applyWithinMillis * MAX_AGE_SHARE,
    retryMillis: applyWithinMillis * RETRY_SHARE,
  };
}

/** Maximum factor by which repeated failures stretch the time until the next try. */
const MAX_RETRY_FACTOR = 4;

/** When an entry asked the store itself, and what came of it. */
export interface AskedState {
  /** Age of the state; Infinity if it was never known. */
  ageMillis: number;
  /** Time since the entry last asked; Infinity if it never did. */
  sinceAskedMillis: number;
  /** Calls in a row without an answer. */
  failures: number;
  /** Uniform in [0, 1): spreads the calls of many entries. */
  random: number;
}

/** Share of the maximum age by which entries differ. */
const AGE_SPREAD = 0.1;

/** True if an entry has to ask the store itself, whoever else may be about to tell it. */
export function mustAskStore(pace: StatePace, asked: AskedState): boolean {
  const maxAgeMillis = pace.maxAgeMillis * (1 - AGE_SPREAD * asked.random);
  if (asked.ageMillis < maxAgeMillis) return false;
  const factor = Math.min(
    MAX_RETRY_FACTOR,
    2 ** Math.max(0, asked.failures - 1),
  );
  return asked.sinceAskedMillis >= pace.retryMillis * factor;
}
