/**
 * Converts instance records between wire messages and domain types.
 */
import type { InstanceRecord, InstanceState } from "@bamboolane/types/instance";
import type { InstanceRecord as WireRecord } from "@bamboolane/wire/generated/bamboolane/v1/peer";

/** Converts a record to its wire message; `typicalMillis` is an integer there. */
export function toWireRecord(record: InstanceRecord): WireRecord {
  return {
    ...record,
    pools: record.pools.map((pool) => ({
      ...pool,
      typicalMillis: Math.round(pool.typicalMillis),
    })),
  };
}

/** Converts a wire message to a record. */
export function fromWireRecord(record: WireRecord): InstanceRecord {
  return { ...record, state: record.state as InstanceState };
}
