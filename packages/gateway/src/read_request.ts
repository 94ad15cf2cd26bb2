/**
 * Reads callers' HTTP requests: headers, body and fingerprint.
 */
import type { IncomingMessage } from "node:http";
import { hash } from "node:crypto";
import type {
  CallerLimits,
  SteeringRoute,
} from "@bamboolane/steering/steering_config";
import { ByteCollector } from "./byte_collector.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { FORWARDED_HEADER } from "./forwarding_headers.ts";
import type { MemoryShare } from "./memory_budget.ts";

/** Bodies above this size are large: they may take only a part of the memory. */
const LARGE_BODY_BYTES = 65_536;
/** Share of the memory that may be taken for other bodies; requests without one go on. */
const BODIES_SHARE = 0.8;

/** Parsed headers of a request. */
export interface RequestHead {
  /** The caller's id of the request; empty if it sent none. */
  id: string;
  /** Alternating names and values to forward. */
  headers: string[];
  /** Key of the object that the request is about; undefined on routes without affinity. */
  object: string | undefined;
  /** How long the caller waits; Infinity without a deadline header. */
  deadlineMillis: number;
}

/** Size of the request line and the headers in bytes, with their separators. */
export function headerBytes(request: IncomingMessage): number {
  let size = (request.url?.length ?? 0) + (request.method?.length ?? 0) + 12;
  for (const text of request.rawHeaders) size += text.length + 2;
  return size;
}

/** Why no target may be sent a request with such Host lines; undefined if it may. */
export function findHostFault(
  { rawHeaders, headers, httpVersion }: IncomingMessage,
): string | undefined {
  if (headers.host === undefined) {
    return httpVersion === "1.1" ? "no Host line" : undefined;
  }
  const isHost = (text: string, i: number) =>
    i % 2 === 0 && text.length === 4 && text.toLowerCase() === "host";
  return rawHeaders.filter(isHost).length > 1
    ? "several Host lines"
    : undefined;
}

/** Reads the headers of a request. */
export function readHead(
  request: IncomingMessage,
  route: SteeringRoute,
  dialect: CallerDialect,
): RequestHead {
  const { headers } = request;
  const deadline = Number(headers[dialect.deadlineHeader]);
  return {
    id: String(headers[dialect.requestIdHeader] ?? ""),
    headers: endToEndHeaders(
      request.rawHeaders,
      new Set([
        dialect.deadlineHeader,
        dialect.expectedTargetHeader,
        FORWARDED_HEADER,
      ]),
    ),
    object: route.affinity ? dialect.parseObject(headers.cookie) : undefined,
    deadlineMillis: Number.isFinite(deadline) && deadline > 0
      ? deadline
      : Infinity,
  };
}

/** Identifies repetitions of a request: same method, host, path, cookies and body. */
export function fingerprintOf(
  request: IncomingMessage,
  body: Buffer | undefined,
): string {
  const { method, url, headers } = request;
  const text = `${method} ${headers.host} ${url} ${headers.cookie ?? ""} `;
  const content = body ? hash("sha256", body, "hex") : "";
  return hash("sha256", text + content, "hex").slice(0, 16);
}

/** Result of {@link readBody}. */
export type BodyResult =
  | { kind: "whole"; body: Buffer | undefined }
  | { kind: "too-large" }
  /** Other bodies take the memory that there is. */
  | { kind: "no-memory" }
  /** The caller disconnected before the body was complete. */
  | { kind: "broken" };

/** True if the request declares a body. */
export function hasBody(request: IncomingMessage): boolean {
  return request.headers["transfer-encoding"] !== undefined ||
    Number(request.headers["content-length"] ?? 0) > 0;
}

/** Reads the complete body, so that the request can be retried. */
export function readBody(
  request: IncomingMessage,
  options: {
    limits: CallerLimits;
    memory: MemoryShare;
    /** Called after each piece. */
    onPiece?: () => void;
  },
): Promise<BodyResult> {
  const { limits, memory, onPiece } = options;
  if (!hasBody(request)) {
    return Promise.resolve({ kind: "whole", body: undefined });
  }
  const announcedBytes = Number(request.headers["content-length"] ?? 0);
  if (announcedBytes > limits.bodyBytes) {
    return Promise.resolve({ kind: "too-large" });
  }
  const reserve = (bytes: number) => reserveBody(bytes, memory);
  if (announcedBytes > 0 && !reserve(announcedBytes)) {
    return Promise.resolve({ kind: "no-memory" });
  }
  return new Promise((resolve) => {
    const collector = new ByteCollector({
      announcedBytes,
      reserve: announcedBytes > 0 ? () => true : reserve,
    });
    request.on("data", (piece: Buffer) => {
      const size = collector.byteLength + piece.byteLength;
      if (size > limits.bodyBytes) return resolve({ kind: "too-large" });
      if (!collector.add(piece)) resolve({ kind: "no-memory" });
      onPiece?.();
    });
    request.once(
      "end",
      () => resolve({ kind: "whole", body: collector.contents() }),
    );
    request.once("error", () => resolve({ kind: "broken" }));
    request.once("close", () => resolve({ kind: "broken" }));
  });
}

function reserveBody(bytes: number, memory: MemoryShare): boolean {
  return bytes > LARGE_BODY_BYTES
    ? memory.reserveLargeBody(bytes)
    : memory.reserve({ heapBytes: 0, bufferBytes: bytes }, BODIES_SHARE);
}
