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

/** Bodies up to this size are read before the head is sent. Unit: bytes. */
const holdBytes = 65_536;

function declaredLength(answer: Answer): number | undefined {
  const found = answer.headers.find(([name]) => name === "content-length");
  return found === undefined ? undefined : Number(found[1]);
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

async function collect(answer: Answer): Promise<Uint8Array[]> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of answer.body) chunks.push(chunk);
  return chunks;
}

/** Writes an answer; rejects where its body was cut before the head was sent. */
export async function writeAnswer(
  response: ServerResponse,
  answer: Answer,
  marks: AnswerMarks,
): Promise<void> {
  const length = declaredLength(answer);
  if (length !== undefined && length <= holdBytes) {
    const chunks = await collect(answer);
    writeHead(response, answer, marks);
    for (const chunk of chunks) response.write(chunk);
    response.end();
    return;
  }
  writeHead(response, answer, marks);
  response.flushHeaders();
  try {
    for await (const chunk of answer.body) {
      if (response.destroyed) return answer.cancel();
      if (!response.write(chunk)) {
        await Promise.race([once(response, "drain"), once(response, "close")]);
      }
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
