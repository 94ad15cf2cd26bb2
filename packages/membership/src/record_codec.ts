/**
 * Converts records between the wire's messages and plain types.
 */
import type { InstanceRecord, InstanceState } from "@bamboolane/types/instance";
import type { InstanceRecord as WireRecord } from "@bamboolane/wire/generated/bamboolane/v1/peer";

/** To the wire. */
export function toWireRecord(record: InstanceRecord): WireRecord {
  return {
    ...record,
    pools: record.pools.map((pool) => ({
      ...pool,
      typicalMillis: Math.round(pool.typicalMillis),
    })),
  };
}

/** From the wire. */
export function fromWireRecord(record: WireRecord): InstanceRecord {
  return { ...record, state: record.state as InstanceState };
}
