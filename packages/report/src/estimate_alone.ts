/**
 * Estimates how the same work would do alone on fewer slots: an M/M/c queue
 * (Erlang C) for the wait, on top of the measured service time.
 */

/** Work of one member over a span of time. */
export interface AloneQuestion {
  /** Slots of the member's own share; may be a fraction. */
  slots: number;
  spanSeconds: number;
  /** Slot time that the work took. */
  slotSeconds: number;
  served: number;
  /** Measured 99th percentile on the shared fleet. */
  p99Millis: number;
}

/** How the work would do alone. */
export interface AloneEstimate {
  /** Infinite where the share can't carry the work. */
  p99Millis: number;
  /** Offered load divided by slots; 1 and more means overload. */
  utilisation: number;
}

/** Probability that an arrival has to wait, by the Erlang C formula. */
export function waitProbability(servers: number, offeredLoad: number): number {
  if (offeredLoad >= servers) return 1;
  let blocking = 1;
  for (let n = 1; n <= servers; n++) {
    blocking = offeredLoad * blocking / (n + offeredLoad * blocking);
  }
  const idle = 1 - offeredLoad / servers;
  return blocking / (idle + (1 - idle) * blocking);
}

const tail = 0.01;

/** Estimates the 99th percentile and the utilisation alone. */
export function estimateAlone(question: AloneQuestion): AloneEstimate {
  const servers = Math.max(1, Math.floor(question.slots));
  const offered = question.slotSeconds / question.spanSeconds;
  const utilisation = offered / servers;
  if (question.served === 0) return { p99Millis: 0, utilisation: 0 };
  if (utilisation >= 1) return { p99Millis: Infinity, utilisation };
  const meanMillis = 1000 * question.slotSeconds / question.served;
  const waits = waitProbability(servers, offered);
  const drainMillis = meanMillis / (servers * (1 - utilisation));
  const waitP99Millis = waits <= tail
    ? 0
    : drainMillis * Math.log(waits / tail);
  return { p99Millis: question.p99Millis + waitP99Millis, utilisation };
}
