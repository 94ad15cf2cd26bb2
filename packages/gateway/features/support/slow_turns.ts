/**
 * Makes turns of the event loop long, as they are in a process that is short of
 * processor time.
 */

/** Keeps the event loop busy. */
export function spin(millis: number): void {
  const endMillis = performance.now() + millis;
  while (performance.now() < endMillis);
}

/** Makes turns of the event loop take longer. */
export function slowDownTurns(turnMillis: number): { stop: () => void } {
  let isOver = turnMillis === 0;
  const slowDown = () => {
    if (isOver) return;
    spin(turnMillis);
    setImmediate(slowDown);
  };
  slowDown();
  return { stop: () => isOver = true };
}
