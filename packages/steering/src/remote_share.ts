/**
 * The share of a region's objects that other regions run for one service. It
 * answers a region short of room: with a sixth of the slots and a third of the
 * callers, most objects have to live elsewhere for good, not be pushed out
 * request by request. The share follows the load slowly, so that no window
 * sees a large shift. The entries of a region keep to a common share; one that
 * starts takes over theirs, and where all start together they begin with what
 * the places of entries and slots suggest.
 */

/** Load of one side: requests at its targets, and their slots. */
export interface RegionLoad {
  inFlight: number;
  slots: number;
}

/** Load, in parts of the slots, above which objects move away. */
const fullLoad = 0.85;
/** Load below which objects move back. */
const easyLoad = 0.55;
/** Lead that the home region's load must have before objects move away. */
const leastLead = 0.15;
/** Change of the share per second: two seconds stay far below common caps on shifts. */
const shareStepPerSecond = 0.04;
/** Weight of one look at the load; looks come several times a second. */
const loadWeight = 0.1;

/** Time in which an entry comes close to the others' share: ten heartbeats. */
const agreementMillis = 2000;

/** What the share depends on besides the load. */
export interface ShareContext {
  nowMillis: number;
  /** Mean share of the region's other entries; undefined where none told it. */
  peerMeanShare: number | undefined;
  /** Share to begin with where nobody told one; undefined until it is known. */
  initialShare: number | undefined;
}

/**
 * Share to begin with: callers are taken to be spread as the entries are, so a
 * region with a larger part of the entries than of the slots is short of room.
 */
export function initialRemoteShare(
  entries: { local: number; all: number },
  slots: { local: number; all: number },
): number {
  if (slots.local === 0 || entries.local === 0) return 0;
  const callers = entries.local / entries.all;
  return Math.max(0, 1 - slots.local / slots.all / callers);
}

/** Share of objects that leave the region. */
export class RemoteShare {
  #share = 0;
  #begun = false;
  #nearLoad = 0;
  #farLoad = 0;
  #load = 0;
  #updatedAtMillis: number | undefined;

  /** Part of the objects that other regions run, 0 to 1. */
  get share(): number {
    return this.#share;
  }

  /** Smoothed load of all regions together, in parts of the slots. */
  get load(): number {
    return this.#load;
  }

  /** Looks at the load of both sides. */
  update(near: RegionLoad, far: RegionLoad, context: ShareContext): void {
    const { nowMillis, peerMeanShare: agreed } = context;
    if (!this.#begun) {
      this.#share = agreed ?? context.initialShare ?? 0;
      this.#begun = agreed !== undefined || context.initialShare !== undefined;
    }
    const elapsedMillis = nowMillis - (this.#updatedAtMillis ?? nowMillis);
    this.#updatedAtMillis = nowMillis;
    this.#nearLoad += (loadOf(near) - this.#nearLoad) * loadWeight;
    this.#farLoad += (loadOf(far) - this.#farLoad) * loadWeight;
    const all = loadOf({
      inFlight: near.inFlight + far.inFlight,
      slots: near.slots + far.slots,
    });
    this.#load += (all - this.#load) * loadWeight;
    if (agreed !== undefined) {
      const part = Math.min(1, elapsedMillis / agreementMillis);
      this.#share += (agreed - this.#share) * part;
    }
    const step = shareStepPerSecond * Math.min(1000, elapsedMillis) / 1000;
    const lead = this.#nearLoad - this.#farLoad;
    if (this.#nearLoad > fullLoad && lead > leastLead) this.#share += step;
    else if (this.#nearLoad < easyLoad || lead < -leastLead) {
      this.#share -= step;
    }
    const slots = near.slots + far.slots;
    // In proportion to the slots at most: more would turn the shortage round.
    const most = slots > 0 ? far.slots / slots : 0;
    this.#share = Math.min(most, Math.max(0, this.#share));
  }

  /** Weight of a slot elsewhere, where one in the region weighs 1. */
  remoteWeight(near: RegionLoad, far: RegionLoad): number {
    if (near.slots === 0) return 1;
    if (far.slots === 0 || this.#share === 0) return 0;
    return this.#share * near.slots / ((1 - this.#share) * far.slots);
  }
}

function loadOf(load: RegionLoad): number {
  return load.slots > 0 ? load.inFlight / load.slots : 0;
}
