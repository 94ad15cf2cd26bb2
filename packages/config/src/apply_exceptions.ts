/**
 * Computes the values in force for a request: the fleet's defaults, changed
 * by every exception that matches and has not expired.
 */
import type {
  ExceptionMatch,
  FleetConfig,
  FleetDefaults,
  FleetException,
} from "@bamboolane/types/fleet";

/** Member, service and data centre of a request, for matching exceptions. */
export type ExceptionScope = Required<ExceptionMatch>;

/** The values in force and the exceptions that changed them. */
export interface EffectiveDefaults {
  values: FleetDefaults;
  exceptionIds: string[];
}

function isActive(exception: FleetException, wallMillis: number): boolean {
  if (exception.until === undefined) return true;
  const endOfDay = Date.parse(`${exception.until}T23:59:59.999Z`);
  return wallMillis <= endOfDay;
}

function matches(match: ExceptionMatch, scope: ExceptionScope): boolean {
  if (match.member !== undefined && match.member !== scope.member) return false;
  if (match.service !== undefined && match.service !== scope.service) {
    return false;
  }
  return match.dataCentre === undefined ||
    match.dataCentre === scope.dataCentre;
}

/** Applies the matching exceptions in their listed order; later ones win. */
export function applyExceptions(
  fleet: FleetConfig,
  scope: ExceptionScope,
  options: { wallMillis: number },
): EffectiveDefaults {
  let values = fleet.defaults;
  const exceptionIds: string[] = [];
  for (const exception of fleet.exceptions) {
    if (!matches(exception.match, scope)) continue;
    if (!isActive(exception, options.wallMillis)) continue;
    values = { ...values, ...exception.change };
    exceptionIds.push(exception.id);
  }
  return { values, exceptionIds };
}
