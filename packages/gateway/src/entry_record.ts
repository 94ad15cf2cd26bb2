/**
 * Reads what other processes say of their addresses. A record may come from an entry of
 * another build, and an address that can't be used would fail the timers that send to it.
 */
import type { EntryRecord } from "@bamboolane/steering/steering_config";

const ADDRESS_PATTERN = /^[\w.-]+:(\d{1,5})$/;
const MAX_PORT = 65_535;

/** True for `host:port` with a port that can be connected to. */
export function isSocketAddress(value: unknown): value is string {
  if (typeof value !== "string") return false;
  const port = Number(ADDRESS_PATTERN.exec(value)?.[1]);
  return port > 0 && port <= MAX_PORT && URL.canParse(`http://${value}`);
}

/** Checks the record of an entry; throws an error that names an invalid field. */
export function parseEntryRecord(value: unknown): EntryRecord {
  const record = (value ?? {}) as Record<keyof EntryRecord, unknown>;
  for (const field of ["id", "dataCentre", "region"] as const) {
    if (typeof record[field] !== "string") throw new Error(`no ${field}`);
  }
  if (!Number.isFinite(record.incarnation)) throw new Error("no incarnation");
  const addresses = ["callerAddress", "peerAddress", "stateAddress"] as const;
  for (const field of addresses) {
    if (!isSocketAddress(record[field])) throw new Error(`no ${field}`);
  }
  return value as EntryRecord;
}
