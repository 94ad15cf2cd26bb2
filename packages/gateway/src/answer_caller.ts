/**
 * Writes one answer to one caller, once.
 */
import type { ServerResponse } from "node:http";
import type { AnswerSink, OwnAnswer, TargetAnswer } from "./gateway_request.ts";

/** Status of each kind of answer that the gateway makes itself. */
const ownStatus = {
  refused: 503,
  failed: 502,
  expired: 504,
} as const satisfies Record<OwnAnswer["kind"], number>;

/** Retry-After in seconds with a fraction. */
export function formatRetryAfter(millis: number): string {
  return (Math.ceil(millis) / 1000).toFixed(3);
}

/** Answers with a short text of the gateway's own. */
export function writeOwn(
  response: ServerResponse,
  status: number,
  options: { text: string; retryAfterMillis?: number },
): void {
  if (response.headersSent || response.destroyed) return;
  const headers: Record<string, string | number> = {
    "content-type": "text/plain",
    "content-length": Buffer.byteLength(options.text),
  };
  if (options.retryAfterMillis !== undefined) {
    headers["retry-after"] = formatRetryAfter(options.retryAfterMillis);
  }
  response.writeHead(status, headers);
  response.end(options.text);
}

/** The sink of one HTTP response. `onEnd` runs once the answer is complete or broken off. */
export class CallerSink implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #onEnd: () => void;

  constructor(response: ServerResponse, onEnd: () => void) {
    this.#response = response;
    this.#onEnd = onEnd;
  }

  answer(answer: TargetAnswer): void {
    this.#onEnd();
    const headers = [...answer.headers];
    if (answer.status !== 204 && answer.status !== 304) {
      headers.push("Content-Length", String(answer.body.byteLength));
    }
    this.#response.writeHead(answer.status, headers);
    this.#response.end(answer.body);
  }

  start(status: number, headers: string[]): void {
    this.#onEnd();
    this.#response.writeHead(status, headers);
  }

  write(chunk: Buffer): boolean {
    return this.#response.write(chunk);
  }

  onDrain(resume: () => void): void {
    this.#response.once("drain", resume);
  }

  end(): void {
    this.#response.end();
  }

  cut(): void {
    this.#response.destroy();
  }

  refuse(answer: OwnAnswer): void {
    this.#onEnd();
    writeOwn(this.#response, ownStatus[answer.kind], {
      text: `${answer.kind}\n`,
      retryAfterMillis: answer.kind === "refused"
        ? answer.retryAfterMillis
        : undefined,
    });
  }
}
