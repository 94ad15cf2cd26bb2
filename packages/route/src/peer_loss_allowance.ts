/**
 * Retries of requests that were under way at another entry when it was lost.
 * Their number is known and they can't become a storm, so they are allowed
 * besides the {@link AttemptBudget}: as many as were under way, once for each
 * incarnation of that entry.
 */

/** An entry that runs requests for this one. */
export interface LossyPeer {
  id: string;
  /** Higher for each later run of the entry. */
  incarnation: number;
}

interface PeerRequests {
  incarnation: number;
  underWay: number;
  /** Retries that are left; undefined until the entry is lost. */
  retriesLeft: number | undefined;
}

/** Counts the requests at other entries. */
export class PeerLossAllowance {
  readonly #peers = new Map<string, PeerRequests>();

  /** Records a request that is sent to a peer. */
  begin(peer: LossyPeer): void {
    const known = this.#peers.get(peer.id);
    if (known?.incarnation === peer.incarnation) known.underWay++;
    else {
      this.#peers.set(peer.id, {
        incarnation: peer.incarnation,
        underWay: 1,
        retriesLeft: undefined,
      });
    }
  }

  /** Records that a request at a peer has ended. */
  end(peer: LossyPeer): void {
    const known = this.#peers.get(peer.id);
    if (known?.incarnation === peer.incarnation) known.underWay--;
  }

  /** Takes one retry of a request that was lost with its peer, before its end is recorded. */
  spend(peer: LossyPeer): boolean {
    const known = this.#peers.get(peer.id);
    if (known?.incarnation !== peer.incarnation) return false;
    known.retriesLeft ??= known.underWay;
    if (known.retriesLeft < 1) return false;
    known.retriesLeft--;
    return true;
  }
}
