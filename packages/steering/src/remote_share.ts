/**
 * Remote share: the share of a region's objects that other regions serve, for
 * one service. A region short of capacity, such as one with a sixth of the
 * slots and a third of the callers, needs permanent homes elsewhere for many
 * of its objects instead of overflowing request by request. The share follows
 * the load slowly, so that no window sees a large shift of traffic. The entries
 * of a region converge to a common share: an entry that starts takes over the
 * mean of its peers, and entries that start together begin with an estimate
 * from the distribution of entries and slots.
 */

/** Load of this entry's region or of all other regions together. */
export interface RegionLoad {
  /** Requests at the targets. */
  inFlight: number;
  /** Slots of the targets. */
  slots: number;
}

/** Local load, in requests per slot, above which objects move to other regions. */
const HIGH_LOAD = 0.85;
/** Local load, in requests per slot, below which objects move back. */
const LOW_LOAD = 0.55;
/**
 * Excess of the local over the remote load, or the reverse, in requests per
 * slot, above which objects move to the side with the lower load.
 */
const MIN_EXCESS = 0.15;
/** Change of the share; over two seconds it stays far below common caps on traffic shifts. */
const SHARE_CHANGE_PER_SECOND = 0.04;
/** Weight of one load sample; there are several a second. */
const LOAD_SAMPLE_WEIGHT = 0.1;

/** Time constant with which an entry's share approaches its peers' mean: ten heartbeats. */
const CONVERGENCE_MILLIS = 2000;

/** Inputs of {@link RemoteShare.update} besides the load. */
export interface ShareContext {
  nowMillis: number;
  /** Mean share of the region's other entries; undefined if none reported one. */
  peerMeanShare: number | undefined;
  /** Initial share if no peer reported one; undefined while it can't be estimated. */
  initialShare: number | undefined;
}

/**
 * Estimates the initial share. Callers are assumed to be distributed like the
 * entries, so a region with a larger part of the entries than of the slots is
 * short of capacity.
 */
export function initialRemoteShare(
  entries: { local: number; all: number },
  slots: { local: number; all: number },
): number {
  if (slots.local === 0 || entries.local === 0) return 0;
  const callerShare = entries.local / entries.all;
  return Math.max(0, 1 - slots.local / slots.all / callerShare);
}

/** Tracks the remote share of one service. */
export class RemoteShare {
  #share = 0;
  #isInitialised = false;
  #localLoad = 0;
  #remoteLoad = 0;
  #load = 0;
  #updatedAtMillis: number | undefined;

  /** Share of the objects that other regions serve, 0 to 1. */
  get share(): number {
    return this.#share;
  }

  /** Smoothed load of all regions together, in requests per slot. */
  get load(): number {
    return this.#load;
  }

  /** Updates the share from a sample of the local and the remote load. */
  update(local: RegionLoad, remote: RegionLoad, context: ShareContext): void {
    const { nowMillis, peerMeanShare } = context;
    if (!this.#isInitialised) {
      this.#share = peerMeanShare ?? context.initialShare ?? 0;
      this.#isInitialised = peerMeanShare !== undefined ||
        context.initialShare !== undefined;
    }
    const elapsedMillis = nowMillis - (this.#updatedAtMillis ?? nowMillis);
    this.#updatedAtMillis = nowMillis;
    this.#localLoad += (loadOf(local) - this.#localLoad) * LOAD_SAMPLE_WEIGHT;
    this.#remoteLoad += (loadOf(remote) - this.#remoteLoad) *
      LOAD_SAMPLE_WEIGHT;
    const all = loadOf({
      inFlight: local.inFlight + remote.inFlight,
      slots: local.slots + remote.slots,
    });
    this.#load += (all - this.#load) * LOAD_SAMPLE_WEIGHT;
    if (peerMeanShare !== undefined) {
      const fraction = Math.min(1, elapsedMillis / CONVERGENCE_MILLIS);
      this.#share += (peerMeanShare - this.#share) * fraction;
    }
    const step = SHARE_CHANGE_PER_SECOND * Math.min(1000, elapsedMillis) / 1000;
    const excess = this.#localLoad - this.#remoteLoad;
    if (this.#localLoad > HIGH_LOAD && excess > MIN_EXCESS) this.#share += step;
    else if (
      this.#localLoad < LOW_LOAD || excess < -MIN_EXCESS
    ) {
      this.#share -= step;
    }
    const slots = local.slots + remote.slots;
    // At most in proportion to the slots: a larger share would overload the other regions.
    const maxShare = slots > 0 ? remote.slots / slots : 0;
    this.#share = Math.min(maxShare, Math.max(0, this.#share));
  }

  /**
   * Hashing weight of a remote slot relative to a local slot, which weighs 1.
   * With this weight the remote slots get the remote share of the objects.
   */
  remoteWeight(local: RegionLoad, remote: RegionLoad): number {
    if (local.slots === 0) return 1;
    if (remote.slots === 0 || this.#share === 0) return 0;
    return this.#share * local.slots / ((1 - this.#share) * remote.slots);
  }
}

function loadOf(load: RegionLoad): number {
  return load.slots > 0 ? load.inFlight / load.slots : 0;
}
