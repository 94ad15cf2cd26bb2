/**
 * Plans which streams this instance keeps: a full mesh inside its
 * data centre and, as a relay, one stream to each other data centre.
 */
import type { InstanceRecord } from "@bamboolane/types/instance";
import type { MembershipTable, StreamScope } from "./membership_table.ts";

/** A stream that should be open. */
export interface PlannedLink {
  /** Id of the peer. */
  id: string;
  /** Peer address, `host:port`. */
  address: string;
  scope: StreamScope;
  /** True if this side opens the stream; otherwise the peer does. */
  initiate: boolean;
}

function planMeshLinks(table: MembershipTable): PlannedLink[] {
  const self = table.self;
  return table.live()
    .filter((peer) =>
      peer.dataCentre === self.dataCentre && peer.id !== self.id
    )
    .map((peer) => ({
      id: peer.id,
      address: peer.peerAddress,
      scope: { kind: "mesh" },
      initiate: self.id < peer.id,
    }));
}

/** Inputs of a plan besides the membership table. */
export interface LinkOptions {
  /** True for peers that recently refused connections. */
  isRefused: (id: string) => boolean;
}

/**
 * Selects the relay with the same rank, so that relays of equal rank are paired.
 * Ranks wrap around if there are fewer relays; undefined if there are none.
 */
function selectRelay(
  ownRank: number,
  relays: InstanceRecord[],
): InstanceRecord | undefined {
  return relays[ownRank % relays.length];
}

function planRelayLinks(
  table: MembershipTable,
  options: LinkOptions,
): PlannedLink[] {
  const rank = table.ownRelayRank();
  if (rank < 0) return [];
  const self = table.self;
  const otherDataCentres = new Set(
    table.live().map((peer) => peer.dataCentre).filter((id) =>
      id !== self.dataCentre
    ),
  );
  const links: PlannedLink[] = [];
  for (const dataCentre of otherDataCentres) {
    const peer = selectRelay(rank, table.relaysOf(dataCentre, options));
    if (peer === undefined) continue;
    links.push({
      id: peer.id,
      address: peer.peerAddress,
      scope: { kind: "relay", dataCentre },
      initiate: self.dataCentre < dataCentre,
    });
  }
  return links;
}

/** Returns all streams that this instance should keep. */
export function planLinks(
  table: MembershipTable,
  options: LinkOptions,
): PlannedLink[] {
  return [...planMeshLinks(table), ...planRelayLinks(table, options)];
}
