/**
 * Writes answers and refusals to callers. If a body was cut short, the
 * connection is destroyed, so that the caller can't mistake the body for a
 * complete one.
 */
import type { ServerResponse } from "node:http";
import { once } from "node:events";
import type { SteeringError } from "@bamboolane/errors/steering_error";
import type { Answer } from "./answer.ts";

/** Response headers that the entry adds. */
export const ANSWER_HEADERS = {
  /** Number of the result code; 0 for an answer. */
  code: "bamboolane-code",
  outcome: "bamboolane-outcome",
  request: "bamboolane-request",
  target: "bamboolane-target",
  entry: "bamboolane-entry",
} as const;

/** Identifiers that are written with every answer. */
export interface AnswerIds {
  request: string;
  entry: string;
}

function buildHeaders(
  answer: Answer,
  ids: AnswerIds,
): [string, string | string[]][] {
  const headers = new Map<string, string | string[]>();
  for (const [name, value] of answer.headers) {
    const known = headers.get(name);
    if (known === undefined) headers.set(name, value);
    else {headers.set(
        name,
        Array.isArray(known) ? [...known, value] : [known, value],
      );}
  }
  headers.set(ANSWER_HEADERS.code, "0");
  headers.set(ANSWER_HEADERS.outcome, "ran");
  headers.set(ANSWER_HEADERS.request, ids.request);
  headers.set(ANSWER_HEADERS.entry, ids.entry);
  if (answer.target !== "") headers.set(ANSWER_HEADERS.target, answer.target);
  return [...headers];
}

function writeHead(
  response: ServerResponse,
  answer: Answer,
  ids: AnswerIds,
): void {
  response.statusCode = answer.status;
  for (const [name, value] of buildHeaders(answer, ids)) {
    response.setHeader(name, value);
  }
}

/** Writes an answer; rejects if its body was cut short. */
export async function writeAnswer(
  response: ServerResponse,
  answer: Answer,
  ids: AnswerIds,
): Promise<void> {
  writeHead(response, answer, ids);
  switch (answer.body.kind) {
    case "whole":
      response.end(answer.body.bytes);
      return;
    case "stream":
      response.flushHeaders();
      return await writeStream(response, answer, answer.body.chunks);
  }
}

async function writeStream(
  response: ServerResponse,
  answer: Answer,
  chunks: AsyncIterable<Uint8Array>,
): Promise<void> {
  try {
    for await (const chunk of chunks) {
      if (response.destroyed) return answer.cancel();
      if (response.write(chunk)) continue;
      await Promise.race([once(response, "drain"), once(response, "close")]);
    }
    response.end();
  } catch (error) {
    cutAnswer(response);
    throw error;
  }
}

/** Ends an answer that was begun, so that it can't look complete. */
function cutAnswer(response: ServerResponse): void {
  const { socket } = response;
  // Without chunks, the end of the connection is the end of the answer.
  if (socket && !response.chunkedEncoding) socket.resetAndDestroy();
  else response.destroy();
}

/**
 * Writes a refusal or failure that the entry itself produced. If an answer was
 * already begun, the connection is destroyed instead.
 */
export function writeFailure(
  response: ServerResponse,
  failure: SteeringError,
  ids: AnswerIds,
): void {
  if (response.headersSent || response.destroyed) return cutAnswer(response);
  const body = JSON.stringify({ ...failure.toBody(), request: ids.request });
  response.writeHead(failure.info.status, {
    "content-type": "application/json",
    "content-length": String(new TextEncoder().encode(body).byteLength),
    [ANSWER_HEADERS.code]: String(failure.info.code),
    [ANSWER_HEADERS.outcome]: failure.outcome,
    [ANSWER_HEADERS.request]: ids.request,
    [ANSWER_HEADERS.entry]: ids.entry,
  });
  response.end(body);
}

/** Writes a JSON document that the entry itself produced. */
export function writeJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(new TextEncoder().encode(body).byteLength),
  });
  response.end(body);
}
