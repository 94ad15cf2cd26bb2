/**
 * Plans which peers this instance opens streams to: a full mesh inside its
 * data centre, and, as a relay, one relay of each other data centre.
 */
import type { InstanceRecord } from "@bamboolane/types/instance";
import type { MembershipTable, StreamScope } from "./membership_table.ts";

/** A stream that should be open. */
export interface PlannedLink {
  id: string;
  address: string;
  scope: StreamScope;
  /** This side opens it; the other side waits for it. */
  initiate: boolean;
}

function meshLinks(table: MembershipTable): PlannedLink[] {
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

/** What a plan depends on besides the table. */
export interface LinkOptions {
  /** Peers that refused connections lately. */
  isRefused: (id: string) => boolean;
}

function pairRelay(
  own: number,
  theirs: InstanceRecord[],
): InstanceRecord | undefined {
  return theirs[own % theirs.length];
}

function relayLinks(
  table: MembershipTable,
  options: LinkOptions,
): PlannedLink[] {
  const rank = table.ownRelayRank();
  if (rank < 0) return [];
  const self = table.self;
  const others = new Set(
    table.live().map((peer) => peer.dataCentre).filter((id) =>
      id !== self.dataCentre
    ),
  );
  const links: PlannedLink[] = [];
  for (const dataCentre of others) {
    const peer = pairRelay(rank, table.relaysOf(dataCentre, options));
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

/** Plans all streams of this instance. */
export function planLinks(
  table: MembershipTable,
  options: LinkOptions,
): PlannedLink[] {
  return [...meshLinks(table), ...relayLinks(table, options)];
}
