/**
 * Checks the state that another entry sends. It may run another build, and another
 * program may listen at an address that an entry had.
 */
import type { StateRow } from "@bamboolane/steering/steering_config";
import { isSocketAddress } from "./entry_record.ts";
import type { RowDelta, RowVersions } from "./latest_rows.ts";

type Fields = Record<string, unknown>;

/** Decodes an answer; throws an error that names what is wrong with it. */
export function decodeRowDelta(answer: unknown): RowDelta {
  const { rows, whole, versions, completeTo } = fieldsOf(answer);
  if (!Array.isArray(rows)) throw new Error("no rows");
  if (!isRowVersions(versions)) throw new Error("no versions");
  // Entries of an older build send no `completeTo`.
  const complete = completeTo ?? versions;
  if (!isRowVersions(complete)) throw new Error("no complete versions");
  for (const row of rows) {
    const problem = findProblem(fieldsOf(row));
    if (problem !== undefined) throw new Error(`row with ${problem}`);
  }
  return {
    rows: rows as StateRow[],
    whole: whole === true,
    versions,
    completeTo: complete,
  };
}

function fieldsOf(value: unknown): Fields {
  return typeof value === "object" && value !== null ? value as Fields : {};
}

function isRowVersions(value: unknown): value is RowVersions {
  return Array.isArray(value) && value.length === 2 &&
    value.every((version) => Number.isFinite(version));
}

function findProblem(row: Fields): string | undefined {
  if (!Number.isFinite(row.version)) return "no version";
  switch (row.kind) {
    case "config":
      return findConfigProblem(fieldsOf(row.config));
    case "evacuation":
      return typeof row.dataCentre === "string" ? undefined : "no data centre";
    case "target":
      if (typeof row.id !== "string") return "no id";
      return row.record === undefined
        ? undefined
        : findTargetProblem(fieldsOf(row.record));
    default:
      return "an unknown kind";
  }
}

function findConfigProblem(config: Fields): string | undefined {
  if (!Number.isInteger(config.revision)) return "no revision";
  if (!hasTexts(config.routes, ["name", "host", "prefix"])) return "no routes";
  if (!hasTexts(config.services, ["name"])) return "no services";
  const partsOf = (route: Fields) => hasTexts(route.parts, ["service"]);
  if (!(config.routes as Fields[]).every(partsOf)) return "no route parts";
  const limits = fieldsOf(config.limits);
  const names = [
    "headerBytes",
    "bodyBytes",
    "headerTimeoutMillis",
    "idleTimeoutMillis",
  ];
  return names.every((name) => Number.isFinite(limits[name]))
    ? undefined
    : "no limits";
}

function findTargetProblem(target: Fields): string | undefined {
  if (!hasTexts([target], ["id", "service", "dataCentre"])) return "no target";
  if (!isSocketAddress(target.address)) return "no address";
  return Number.isInteger(target.slots) ? undefined : "no slots";
}

/** True for a list of objects that all have texts of these names. */
function hasTexts(list: unknown, names: readonly string[]): boolean {
  return Array.isArray(list) &&
    list.map(fieldsOf).every((fields) =>
      names.every((name) => typeof fields[name] === "string")
    );
}
