/**
 * Reads the Retry-After header of a target that turns a request away: how long the
 * target wants nothing from this entry (RFC 9110, section 10.2.3, and fractions of a
 * second).
 */

/** Longest pause; a target that stays away longer is asked once after it. */
export const MAX_PAUSE_MILLIS = 3_600_000;

/** A non-negative decimal number of seconds. */
const SECONDS_PATTERN = /^\d+(?:\.\d*)?$/;
/** The three forms of a date that HTTP knows begin with the name of a day. */
const DATE_PATTERN = /^(?:Mon|Tue|Wed|Thu|Fri|Sat|Sun)/;

/**
 * Returns the length of the pause in milliseconds: 0 for a time that has passed, at
 * most {@link MAX_PAUSE_MILLIS}; undefined for a value that can't be read, a negative
 * number among them.
 */
export function parseRetryAfter(
  header: string,
  wallClockMillis: number,
): number | undefined {
  const text = header.trim();
  if (SECONDS_PATTERN.test(text)) return bound(Number(text) * 1000);
  if (!DATE_PATTERN.test(text)) return undefined;
  const atMillis = Date.parse(text);
  return Number.isNaN(atMillis) ? undefined : bound(atMillis - wallClockMillis);
}

function bound(millis: number): number {
  return Math.min(MAX_PAUSE_MILLIS, Math.max(0, millis));
}
