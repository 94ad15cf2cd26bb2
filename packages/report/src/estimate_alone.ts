/**
 * Estimates latency and utilisation of a member's work alone on its own share
 * of the slots: the wait of an M/M/c queue (Erlang C) on top of the measured
 * latency.
 */

/** Work of one member over a period. */
export interface AloneWorkload {
  /** Number of slots in the member's own share; may be a fraction. */
  slots: number;
  spanSeconds: number;
  /** Total slot time used by the work. */
  slotSeconds: number;
  served: number;
  /** Measured 99th percentile on the shared fleet. */
  p99Millis: number;
}

/** Estimated latency and utilisation of the work alone. */
export interface AloneEstimate {
  /** Infinite if the share can't serve the work. */
  p99Millis: number;
  /** Offered load divided by whole slots, at least one; 1 or more means overload. */
  utilisation: number;
}

/**
 * Probability that an arrival has to wait, by the Erlang C formula. The offered
 * load is the mean number of busy servers. The loop computes the blocking
 * probability of Erlang B.
 */
export function waitProbability(servers: number, offeredLoad: number): number {
  if (offeredLoad >= servers) return 1;
  let blocking = 1;
  for (let n = 1; n <= servers; n++) {
    blocking = offeredLoad * blocking / (n + offeredLoad * blocking);
  }
  const idleShare = 1 - offeredLoad / servers;
  return blocking / (idleShare + (1 - idleShare) * blocking);
}

/** Share of requests above the 99th percentile. */
const TAIL_PROBABILITY = 0.01;

/** Estimates the 99th percentile latency and the utilisation of the work alone. */
export function estimateAlone(workload: AloneWorkload): AloneEstimate {
  const servers = Math.max(1, Math.floor(workload.slots));
  const offeredSlots = workload.slotSeconds / workload.spanSeconds;
  const utilisation = offeredSlots / servers;
  if (workload.served === 0) return { p99Millis: 0, utilisation: 0 };
  if (utilisation >= 1) return { p99Millis: Infinity, utilisation };
  const meanMillis = 1000 * workload.slotSeconds / workload.served;
  const waitChance = waitProbability(servers, offeredSlots);
  const meanWaitIfQueuedMillis = meanMillis / (servers * (1 - utilisation));
  const waitP99Millis = waitChance <= TAIL_PROBABILITY
    ? 0
    : meanWaitIfQueuedMillis * Math.log(waitChance / TAIL_PROBABILITY);
  return { p99Millis: workload.p99Millis + waitP99Millis, utilisation };
}
