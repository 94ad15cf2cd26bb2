/**
 * Writes answers and refusals to callers. A body that was cut short breaks
 * the connection, so that it can't pass for a whole one.
 */
import type { ServerResponse } from "node:http";
import { once } from "node:events";
import type { SteeringError } from "@bamboolane/errors/steering_error";
import type { Answer } from "./answer.ts";

/** Response headers that the system adds. */
export const answerHeaders = {
  code: "bamboolane-code",
  outcome: "bamboolane-outcome",
  request: "bamboolane-request",
  target: "bamboolane-target",
  entry: "bamboolane-entry",
} as const;

/** Names that mark a written answer. */
export interface AnswerMarks {
  request: string;
  entry: string;
}

function headOf(
  answer: Answer,
  marks: AnswerMarks,
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
  headers.set(answerHeaders.code, "0");
  headers.set(answerHeaders.outcome, "ran");
  headers.set(answerHeaders.request, marks.request);
  headers.set(answerHeaders.entry, marks.entry);
  if (answer.target !== "") headers.set(answerHeaders.target, answer.target);
  return [...headers];
}

function writeHead(
  response: ServerResponse,
  answer: Answer,
  marks: AnswerMarks,
): void {
  response.statusCode = answer.status;
  for (const [name, value] of headOf(answer, marks)) {
    response.setHeader(name, value);
  }
}

/** Writes an answer; rejects where its body was cut. */
export async function writeAnswer(
  response: ServerResponse,
  answer: Answer,
  marks: AnswerMarks,
): Promise<void> {
  writeHead(response, answer, marks);
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
    response.destroy();
    throw error;
  }
}

/** Writes a refusal or failure of the system's own. */
export function writeFailure(
  response: ServerResponse,
  failure: SteeringError,
  marks: AnswerMarks,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = JSON.stringify({ ...failure.toBody(), request: marks.request });
  response.writeHead(failure.info.status, {
    "content-type": "application/json",
    "content-length": String(new TextEncoder().encode(body).byteLength),
    [answerHeaders.code]: String(failure.info.code),
    [answerHeaders.outcome]: failure.outcome,
    [answerHeaders.request]: marks.request,
    [answerHeaders.entry]: marks.entry,
  });
  response.end(body);
}

/** Writes a JSON document of the system's own. */
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
