/**
 * Converts requests to and from the head of a forwarded request.
 */
import type { ForwardHead } from "@bamboolane/wire/generated/bamboolane/v1/peer";
import { ForwardRole } from "@bamboolane/wire/generated/bamboolane/v1/peer";
import type { IdempotencyKey, RequestInfo } from "@bamboolane/types/request";
import type { Lane } from "@bamboolane/types/fleet";
import type { HeaderPair } from "@bamboolane/idempotency/execution_table";
import type { Work } from "./answer.ts";

export { ForwardRole };

/** Builds the head, which is sent before the body. */
export function toForwardHead(
  work: Work,
  options: {
    role: ForwardRole;
    sender: string;
    revision: number;
    nowMillis: number;
  },
): ForwardHead {
  const { info } = work;
  return {
    requestId: info.id,
    member: info.member,
    service: info.service,
    method: info.method,
    path: info.path,
    client: info.client,
    lane: info.lane,
    idempotent: info.idempotent,
    keyKind: info.key.kind,
    key: info.key.kind === "none" ? "" : info.key.value,
    // The deadline is sent as the time left, as each instance has its own clock.
    timeoutMillis: Math.max(
      1,
      Math.floor(work.deadlineMillis - options.nowMillis),
    ),
    routeKey: info.routeKey,
    fingerprint: info.fingerprint,
    headers: work.headers.map(([name, value]) => ({ name, value })),
    role: options.role,
    revision: options.revision,
    sender: options.sender,
    move: work.move,
  };
}

function toKey(head: ForwardHead): IdempotencyKey {
  switch (head.keyKind) {
    case "ticket":
      return { kind: "ticket", value: head.key };
    case "claim":
      return { kind: "claim", value: head.key };
    default:
      return { kind: "none" };
  }
}

/** Reads the request's description from a head. */
export function fromForwardHead(head: ForwardHead): RequestInfo {
  return {
    id: head.requestId,
    member: head.member,
    service: head.service,
    method: head.method,
    path: head.path,
    client: head.client,
    lane: head.lane as Lane,
    laneReason: "forwarded",
    idempotent: head.idempotent,
    key: toKey(head),
    timeoutMillis: head.timeoutMillis,
    routeKey: head.routeKey,
    fingerprint: head.fingerprint,
  };
}

/** Reads header pairs from the wire. */
export function fromWireHeaders(
  headers: { name: string; value: string }[],
): HeaderPair[] {
  return headers.map(({ name, value }) => [name, value]);
}
