/**
 * Reads what other processes say of their addresses. A record may come from an entry of
 * another build, and an address that can't be used would fail the timers that send to it.
 */
import type { EntryRecord } from "@bamboolane/steering/steering_config";

const ADDRESS_PATTERN = /^[\w.-]+:(\d{1,5})$/;
const MAX_PORT = 65_535;
/** Maximum length of the names in a record; the platform's are shorter. */
const MAX_NAME_CHARACTERS = 200;

/** True for a text that may name an entry, a target or a service. */
export function isName(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_NAME_CHARACTERS;
}

/** True for `host:port` with a port that can be connected to. */
export function isSocketAddress(value: unknown): value is string {
  if (!isName(value)) return false;
  const port = Number(ADDRESS_PATTERN.exec(value)?.[1]);
  return port > 0 && port <= MAX_PORT && URL.canParse(`http://${value}`);
}

/**
 * Reads the known fields of an entry's record; throws an error that names an invalid one.
 */
export function parseEntryRecord(value: unknown): EntryRecord {
  const record = (value ?? {}) as Record<keyof EntryRecord, unknown>;
  for (const field of ["id", "dataCentre", "region"] as const) {
    if (!isName(record[field])) throw new Error(`no ${field}`);
  }
  if (!Number.isFinite(record.incarnation)) throw new Error("no incarnation");
  const addresses = ["callerAddress", "peerAddress", "stateAddress"] as const;
  for (const field of addresses) {
    if (!isSocketAddress(record[field])) throw new Error(`no ${field}`);
  }
  const { id, incarnation, dataCentre, region } = value as EntryRecord;
  const { callerAddress, peerAddress, stateAddress } = value as EntryRecord;
  return {
    id,
    incarnation,
    dataCentre,
    region,
    callerAddress,
    peerAddress,
    stateAddress,
  };
}
