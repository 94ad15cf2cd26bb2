/**
 * Writes the answer to a caller.
 */
import type { ServerResponse } from "node:http";
import type {
  AnswerSink,
  LocalAnswer,
  TargetAnswer,
} from "./gateway_request.ts";

/** HTTP status of each kind of answer that the gateway itself generates. */
const LOCAL_ANSWER_STATUS = {
  refused: 503,
  failed: 502,
  expired: 504,
} as const satisfies Record<LocalAnswer["kind"], number>;

/** Formats a Retry-After header: seconds with three decimals. */
export function formatRetryAfter(millis: number): string {
  return (Math.ceil(millis) / 1000).toFixed(3);
}

/** Sends a short text as an answer of the gateway itself, unless an answer was started. */
export function writeLocalAnswer(
  response: ServerResponse,
  status: number,
  options: {
    text: string;
    retryAfterMillis?: number;
    headers?: Readonly<Record<string, string>>;
  },
): void {
  if (response.headersSent || response.destroyed) return;
  const headers: Record<string, string | number> = {
    ...options.headers,
    "content-type": "text/plain",
    "content-length": Buffer.byteLength(options.text),
  };
  if (options.retryAfterMillis !== undefined) {
    headers["retry-after"] = formatRetryAfter(options.retryAfterMillis);
  }
  response.writeHead(status, headers);
  response.end(options.text);
}

/** Options of {@link CallerSink}. */
export interface CallerSinkOptions {
  /** Runs before the status and headers are written. */
  beforeHead: () => void;
  /** Further headers of answers of the gateway itself. */
  ownHeaders: (kind: LocalAnswer["kind"]) => Record<string, string>;
  /** Name and value of a header that is added to targets' answers without it, if any. */
  requiredHeader: readonly [string, string] | undefined;
}

/** Answer sink of one HTTP response. */
export class CallerSink implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #options: CallerSinkOptions;

  constructor(response: ServerResponse, options: CallerSinkOptions) {
    this.#response = response;
    this.#options = options;
  }

  answer(answer: TargetAnswer): void {
    this.#options.beforeHead();
    const headers = this.#complete(answer.headers);
    if (answer.status !== 204 && answer.status !== 304) {
      headers.push("Content-Length", String(answer.body.byteLength));
    }
    this.#response.writeHead(answer.status, headers);
    this.#response.end(answer.body);
  }

  start(status: number, headers: string[]): void {
    this.#options.beforeHead();
    this.#response.writeHead(status, this.#complete(headers));
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
    const { socket } = this.#response;
    // Without chunks, the end of the connection is the end of the answer.
    if (socket && !this.#response.chunkedEncoding) socket.resetAndDestroy();
    else this.#response.destroy();
  }

  abandon(): void {
    const response = this.#response;
    if (!response.headersSent) {
      this.answerLocally({ kind: "failed", reason: "internal" });
    } else if (!response.writableEnded) this.cut();
  }

  answerLocally(answer: LocalAnswer): void {
    if (this.#response.headersSent) return;
    this.#options.beforeHead();
    writeLocalAnswer(this.#response, LOCAL_ANSWER_STATUS[answer.kind], {
      text: `${answer.kind}\n`,
      headers: this.#options.ownHeaders(answer.kind),
      retryAfterMillis: answer.kind === "refused"
        ? answer.retryAfterMillis
        : undefined,
    });
  }

  #complete(headers: readonly string[]): string[] {
    const { requiredHeader } = this.#options;
    const isPresent = requiredHeader === undefined ||
      headers.some((text, i) =>
        i % 2 === 0 && text.toLowerCase() === requiredHeader[0]
      );
    return isPresent ? [...headers] : [...headers, ...requiredHeader];
  }
}
