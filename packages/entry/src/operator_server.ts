/**
 * The HTTP server for operators, on its own address. Every call requires a
 * bearer token from the settings; without one nothing is disclosed.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { ResultCode } from "@bamboolane/errors/result_code";
import {
  SteeringError,
  toSteeringError,
} from "@bamboolane/errors/steering_error";
import { secretsMatch } from "@bamboolane/wire/peer_channel";
import { writeFailure, writeJson } from "./answer_writer.ts";
import type { EntryContext } from "./context.ts";
import type {
  DocumentRequest,
  EditRequest,
  OperatorActions,
} from "./operator_actions.ts";

const MAX_BODY_BYTES = 64 * 1024 * 1024;
const DEFAULT_HISTORY_LIMIT = 20;

/** Options of {@link OperatorServer}. */
export interface OperatorServerOptions {
  context: EntryContext;
  actions: OperatorActions;
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += chunk.byteLength;
    if (size > MAX_BODY_BYTES) throw new SteeringError(ResultCode.bodyTooLarge);
    chunks.push(chunk);
  }
  try {
    const text = chunks.map((chunk) => new TextDecoder().decode(chunk)).join(
      "",
    );
    return JSON.parse(text);
  } catch {
    throw new SteeringError(ResultCode.badRequest, "Expected a JSON body.");
  }
}

/** Serves operators. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #server: Server;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#handle(request, response);
    });
  }

  listen(address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), host, resolve);
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { context } = this.#options;
    const entry = context.settings.instance.id;
    try {
      const operator = this.#authenticate(request);
      const result = await this.#dispatch(request, operator);
      writeJson(response, 200, result);
      context.log.info("operator_call", {
        operator,
        method: request.method,
        path: request.url?.slice(0, 120),
      });
    } catch (error) {
      const failure = toSteeringError(error, ResultCode.internal);
      context.log.warn("operator_refused", {
        path: request.url?.slice(0, 120),
        result: failure.info.name,
      });
      writeFailure(response, failure, { request: "", entry });
    }
  }

  /**
   * Returns the operator's name; throws `unauthorized` if the token is unknown.
   * Compares it with every token, so that the response time reveals nothing
   * about them.
   */
  #authenticate(request: IncomingMessage): string {
    const given = request.headers.authorization ?? "";
    const token = given.startsWith("Bearer ") ? given.slice(7) : "";
    let name: string | undefined;
    for (
      const credential of this.#options.context.settings.credentials.operators
    ) {
      if (secretsMatch(token, credential.token)) name = credential.name;
    }
    if (name === undefined) throw new SteeringError(ResultCode.unauthorized);
    return name;
  }

  async #dispatch(
    request: IncomingMessage,
    operator: string,
  ): Promise<unknown> {
    const { actions } = this.#options;
    const url = new URL(request.url ?? "/", "http://operator");
    switch (`${request.method} ${url.pathname}`) {
      case "GET /v1/status":
        return actions.status();
      case "GET /v1/config":
        return actions.current();
      case "GET /v1/history":
        return await actions.history(
          Number(url.searchParams.get("limit") ?? DEFAULT_HISTORY_LIMIT),
        );
      case "GET /v1/explain":
        return actions.explain(url.searchParams);
      case "GET /v1/report":
        return await actions.report(url.searchParams.get("member") ?? "");
      case "POST /v1/check":
        actions.check(await readJson(request) as DocumentRequest);
        return { valid: true };
      case "POST /v1/publish":
        return await actions.publish(
          await readJson(request) as DocumentRequest,
          operator,
        );
      case "POST /v1/edit":
        return await actions.edit(
          await readJson(request) as EditRequest,
          operator,
        );
      default:
        throw new SteeringError(
          ResultCode.notFound,
          `${request.method} ${url.pathname}`,
        );
    }
  }
}
