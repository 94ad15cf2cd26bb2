/**
 * Decides which requests a stopping entry still takes on. A request that is not
 * answered when the process ends is lost to its caller, while one that is refused in
 * time can be served by another entry.
 */

/** Factor on the expected time, as work times vary and estimates are rough. */
const EXPECTED_TIME_FACTOR = 1.25;

/**
 * True if a request is expected to be answered before the stop ends.
 *
 * @param expectedMillis expected time to the answer
 */
export function isAnsweredBeforeStop(
  expectedMillis: number,
  options: { nowMillis: number; stopAtMillis: number },
): boolean {
  return options.nowMillis + expectedMillis * EXPECTED_TIME_FACTOR <=
    options.stopAtMillis;
}
