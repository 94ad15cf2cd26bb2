/**
 * Parses a caller's request into the data that routing decisions use.
 */
import { hash, randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import { looksLikeTicket } from "@bamboolane/idempotency/ticket_issuer";
import { classifyRequest } from "@bamboolane/route/classify_request";
import type { LaneLearner } from "@bamboolane/route/lane_learner";
import type { IdempotencyKey, RequestInfo } from "@bamboolane/types/request";
import type { RequestBody } from "./answer.ts";
import type { SteeringState } from "./steering_state.ts";
import { TIMEOUT_HEADER } from "./target_client.ts";

/** Path prefix of requests to services: `/v1/run/MEMBER/SERVICE/PATH`. */
export const RUN_PATH_PREFIX = "/v1/run/";
/** Request headers that the system interprets. */
export const REQUEST_HEADERS = {
  /** A ticket or a key that the caller chose. */
  key: "idempotency-key",
  timeout: TIMEOUT_HEADER,
  /** Client address, if it differs from the address of the connection. */
  client: "bamboolane-client",
  /** `true` if the key was never sent before. */
  firstSend: "bamboolane-first-send",
} as const;

const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** The parts of a request's URL. */
export interface RunAddress {
  member: string;
  service: string;
  path: string;
}

/**
 * Splits `/v1/run/MEMBER/SERVICE/PATH`. Throws `badRequest` for other forms.
 */
export function parseRunUrl(url: string): RunAddress {
  const rest = url.slice(RUN_PATH_PREFIX.length);
  const first = rest.indexOf("/");
  const second = rest.indexOf("/", first + 1);
  if (first <= 0 || second <= first + 1) {
    throw new SteeringError(
      ResultCode.badRequest,
      `Expected ${RUN_PATH_PREFIX}MEMBER/SERVICE/PATH.`,
    );
  }
  return {
    member: rest.slice(0, first),
    service: rest.slice(first + 1, second),
    path: rest.slice(second),
  };
}

function readKey(request: IncomingMessage): IdempotencyKey {
  const value = request.headers[REQUEST_HEADERS.key];
  if (value === undefined) return { kind: "none" };
  if (Array.isArray(value) || !KEY_PATTERN.test(value)) {
    throw new SteeringError(
      ResultCode.badRequest,
      "Idempotency-Key: expected 1 to 200 visible characters.",
    );
  }
  return looksLikeTicket(value)
    ? { kind: "ticket", value }
    : { kind: "claim", value };
}

function readTimeout(request: IncomingMessage, fallbackMillis: number): number {
  const value = request.headers[REQUEST_HEADERS.timeout];
  if (value === undefined) return fallbackMillis;
  const millis = Number(value);
  if (!Number.isFinite(millis) || millis <= 0) {
    throw new SteeringError(
      ResultCode.badRequest,
      `${REQUEST_HEADERS.timeout}: expected a positive number of milliseconds.`,
    );
  }
  return millis;
}

/**
 * The declared client address, or else the address of the connection; an IPv4
 * address is read from its IPv6-mapped form.
 */
function readClient(request: IncomingMessage): string {
  const value = request.headers[REQUEST_HEADERS.client];
  if (typeof value === "string") return value;
  return (request.socket.remoteAddress ?? "").replace("::ffff:", "");
}

/** True if the caller declares that it never sent the key before. */
export function isFirstSend(request: IncomingMessage): boolean {
  return request.headers[REQUEST_HEADERS.firstSend] === "true";
}

/**
 * Identifies a request by its content, so that the same request is recognised
 * when it is sent again. A body that is not buffered whole is left out.
 */
function fingerprintOf(
  address: RunAddress,
  request: { method: string; body: RequestBody },
): string {
  const content =
    request.body.kind === "whole" && request.body.bytes.byteLength > 0
      ? hash("sha1", request.body.bytes, "hex")
      : "";
  return `${request.method} ${address.member}/${address.service}${address.path} ${content}`;
}

/** Options of {@link parseRequest}. */
export interface ParseOptions {
  state: SteeringState;
  learner: LaneLearner;
  body: RequestBody;
  wallMillis: number;
  /** A longer timeout is reduced to this. */
  maxTimeoutMillis: number;
}

/** Parses and classifies a request. Throws a {@link SteeringError}. */
export function parseRequest(
  request: IncomingMessage,
  address: RunAddress,
  options: ParseOptions,
): RequestInfo {
  const { state, learner, body } = options;
  const service = state.service(address.member, address.service);
  const method = request.method ?? "GET";
  const requestClass = classifyRequest(
    service,
    { method, path: address.path },
    {
      isLong: (routeKey) => learner.isLong(routeKey),
    },
  );
  const { values } = state.defaultsFor(address.member, service.id, options);
  const timeout = readTimeout(request, values.timeoutMillis);
  return {
    id: randomUUID(),
    ...address,
    method,
    client: readClient(request),
    lane: requestClass.lane,
    laneReason: requestClass.reason,
    idempotent: requestClass.idempotent,
    key: readKey(request),
    timeoutMillis: Math.min(timeout, options.maxTimeoutMillis),
    routeKey: requestClass.routeKey,
    fingerprint: fingerprintOf(address, { method, body }),
  };
}
