/**
 * Headers that entries add when one forwards a request to another. A forwarded
 * request is never forwarded again.
 */
import type { LocalAnswer } from "./gateway_request.ts";

/** State of a forwarded request, in the request. */
export const FORWARDED_HEADER = "bamboolane-forwarded";
/**
 * Kind of an answer that the receiving entry itself generated; a target's answer has
 * none. Such an answer names its request, unless that was not read.
 */
export const RESULT_HEADER = "bamboolane-result";

/** What the first entry tells about a request that it forwards. */
export interface ForwardedState {
  /** Sends that used up attempts of the route. */
  sends: number;
  /** Time since the request arrived at the first entry. */
  elapsedMillis: number;
}

/** Formats the value of {@link FORWARDED_HEADER}. */
export function formatForwarded(state: ForwardedState): string {
  return `${state.sends}, ${Math.max(0, Math.round(state.elapsedMillis))}`;
}

/** Parses the value of {@link FORWARDED_HEADER}; undefined if it is invalid. */
export function parseForwarded(
  header: string | undefined,
): ForwardedState | undefined {
  const match = /^(\d{1,9}), (\d{1,9})$/.exec(header ?? "");
  if (match === null) return undefined;
  return { sends: Number(match[1]), elapsedMillis: Number(match[2]) };
}

/** Headers of an answer of the receiving entry itself. */
export function resultHeaders(
  kind: LocalAnswer["kind"],
  request: { idHeader: string; id: string },
): Record<string, string> {
  return { [RESULT_HEADER]: kind, [request.idHeader]: request.id };
}
