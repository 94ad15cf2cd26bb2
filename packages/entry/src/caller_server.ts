/**
 * The HTTP server for callers: look-ups, tickets and requests.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { ResultCode } from "@bamboolane/errors/result_code";
import {
  SteeringError,
  toSteeringError,
} from "@bamboolane/errors/steering_error";
import type { TicketIssuer } from "@bamboolane/idempotency/ticket_issuer";
import type { CrashTracker } from "@bamboolane/route/crash_tracker";
import type { LaneLearner } from "@bamboolane/route/lane_learner";
import { Outcome, type RequestInfo } from "@bamboolane/types/request";
import { Cancellation, type CancelSignal } from "./cancellation.ts";
import {
  type AnswerIds,
  writeAnswer,
  writeFailure,
  writeJson,
} from "./answer_writer.ts";
import {
  type Answer,
  checkNotRun,
  newAttemptRecord,
  readBody,
  type RequestBody,
  type Work,
  type WorkRunner,
} from "./answer.ts";
import type { EntryContext } from "./context.ts";
import { Invariant } from "./invariants.ts";
import type { LookupHandler } from "./lookup_handler.ts";
import type { MemberStats } from "./member_stats.ts";
import {
  isFirstSend,
  parseRequest,
  parseRunUrl,
  REQUEST_HEADERS,
  RUN_PATH_PREFIX,
} from "./parse_request.ts";
import type { SteeringState } from "./steering_state.ts";
import { withoutHopByHopHeaders } from "./target_client.ts";

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
  context: EntryContext;
  state: () => SteeringState | undefined;
  lookups: LookupHandler;
  tickets: TicketIssuer;
  learner: LaneLearner;
  crashes: CrashTracker;
  stats: MemberStats;
  run: WorkRunner;
  /** True once the instance is leaving and issues no more tickets. */
  isLeaving: () => boolean;
}

/** Request bodies up to this size are buffered, so that they can be resent. */
export const MAX_BUFFERED_BODY_BYTES = 65_536;
/** Headers for the entry itself; they are not copied to the target's request. */
const SYSTEM_REQUEST_HEADERS: ReadonlySet<string> = new Set(
  Object.values(REQUEST_HEADERS),
);
const EMPTY_BODY: RequestBody = { kind: "whole", bytes: new Uint8Array() };
const HEADER_OVERFLOW_CODE = "HPE_HEADER_OVERFLOW";

/** Serves look-ups, tickets and requests of callers. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  /** Number of answers under way, by connection. */
  readonly #unanswered = new WeakMap<Socket, number>();
  #inFlight = 0;
  #stopping = false;
  #onIdle: (() => void) | undefined;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    const { limits } = options.context.settings;
    this.#server = createServer({
      maxHeaderSize: limits.headerBytes,
      requestTimeout: limits.requestTimeoutMillis,
      headersTimeout: Math.min(limits.requestTimeoutMillis, 10_000),
      connectionsCheckingInterval: 1000,
    }, (request, response) => this.#handle(request, response));
    this.#server.maxConnections = limits.connections;
    this.#server.on(
      "clientError",
      (error, socket) => this.#rejectMalformed(error, socket as Socket),
    );
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  listen(address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), host, resolve);
    });
  }

  /** Stops accepting connections; resolves when the last request has ended. */
  async finish(): Promise<void> {
    this.#stopping = true;
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#inFlight > 0) {
      await new Promise<void>((resolve) => this.#onIdle = resolve);
    }
  }

  /** Stops accepting connections and closes all that are open. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const url = request.url ?? "/";
    this.#trackAnswer(request.socket, response);
    if (this.#stopping) response.setHeader("connection", "close");
    try {
      if (url.startsWith("/v1/lookup?")) {
        return this.#options.lookups.handle(url, response);
      }
      if (url === "/v1/health") {
        return this.#answerHealth(response);
      }
      if (url === "/v1/tickets" && request.method === "POST") {
        this.#issueTickets(request, response);
        return;
      }
      if (url.startsWith(RUN_PATH_PREFIX)) {
        this.#run(request, response, url);
        return;
      }
      throw new SteeringError(
        ResultCode.badRequest,
        `No such path: ${url.slice(0, 80)}.`,
      );
    } catch (error) {
      this.#refuse(response, error);
    }
  }

  #trackAnswer(socket: Socket, response: ServerResponse): void {
    const adjust = (change: number) =>
      this.#unanswered.set(
        socket,
        (this.#unanswered.get(socket) ?? 0) + change,
      );
    adjust(1);
    response.once("close", () => adjust(-1));
  }

  /**
   * Answers a request that the HTTP parser rejected. Behind a request that may have
   * been sent to a target, its caller would read the rejection as the answer to that
   * one: the connection is closed instead.
   */
  #rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    if ((this.#unanswered.get(socket) ?? 0) === 0) {
      return rejectMalformed(error, socket);
    }
    this.#options.context.log.info("malformed", { error: error.code });
    socket.destroy();
  }

  #answerHealth(response: ServerResponse): void {
    const state = this.#options.isLeaving() ? "leaving" : "serving";
    writeJson(response, 200, { state });
  }

  #refuse(response: ServerResponse, error: unknown): void {
    const failure = toSteeringError(error, ResultCode.internal);
    const entry = this.#options.context.settings.instance.id;
    writeFailure(response, failure, { request: "", entry });
  }

  async #issueTickets(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      if (this.#options.isLeaving()) {
        throw new SteeringError(ResultCode.stopping);
      }
      const state = this.#requireState();
      const body = await this.#readBody(request);
      const ticketRequest = readTicketRequest(body);
      state.service(ticketRequest.member, ticketRequest.service);
      const { limits, instance } = this.#options.context.settings;
      const count = Math.min(ticketRequest.count, limits.ticketsPerBatch);
      const issued = this.#options.tickets.issue(ticketRequest.member, count, {
        nowMillis: this.#options.context.clock.nowMillis(),
      });
      writeJson(response, 200, { ...issued, entry: instance.id });
    } catch (error) {
      this.#refuse(response, error);
    }
  }

  #requireState(): SteeringState {
    const state = this.#options.state();
    if (state === undefined) {
      throw new SteeringError(ResultCode.noConfiguration);
    }
    return state;
  }

  async #readBody(request: IncomingMessage): Promise<RequestBody> {
    const { bodyBytes } = this.#options.context.settings.limits;
    const hasBody = request.headers["content-length"] !== undefined ||
      request.headers["transfer-encoding"] !== undefined;
    if (!hasBody) return EMPTY_BODY;
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > bodyBytes) throw new SteeringError(ResultCode.bodyTooLarge);
    return await readBody(limitBody(request, bodyBytes), {
      maxBufferedBytes: MAX_BUFFERED_BODY_BYTES,
    });
  }

  async #run(
    request: IncomingMessage,
    response: ServerResponse,
    url: string,
  ): Promise<void> {
    const { context } = this.#options;
    const startedAtMillis = context.clock.nowMillis();
    this.#inFlight++;
    const abort = new Cancellation();
    response.once("close", () => {
      if (!response.writableFinished) abort.abort();
    });
    let work: Work | undefined;
    const ids: AnswerIds = {
      request: "",
      entry: context.settings.instance.id,
    };
    try {
      work = await this.#assembleWork(request, {
        url,
        startedAtMillis,
        signal: abort.signal,
      });
      ids.request = work.info.id;
      const answer = await this.#options.run(work);
      await this.#write(response, { answer, ids, work });
      this.#recordResult(work.info, {
        startedAtMillis,
        result: "ok",
        served: true,
      });
    } catch (error) {
      const failure = this.#correctOutcome(
        toSteeringError(error, ResultCode.internal),
        work,
        request,
      );
      writeFailure(response, failure, ids);
      this.#logFailure(failure, { work, url, startedAtMillis });
    } finally {
      this.#inFlight--;
      if (this.#inFlight === 0) this.#onIdle?.();
    }
  }

  async #assembleWork(
    request: IncomingMessage,
    options: { url: string; startedAtMillis: number; signal: CancelSignal },
  ): Promise<Work> {
    const { context, learner, crashes } = this.#options;
    if (this.#stopping) throw new SteeringError(ResultCode.stopping);
    const state = this.#requireState();
    const address = parseRunUrl(options.url);
    state.service(address.member, address.service);
    const body = await this.#readBody(request);
    const info = parseRequest(request, address, {
      state,
      learner,
      body,
      wallMillis: context.clock.wallMillis(),
      maxTimeoutMillis: context.settings.limits.requestTimeoutMillis,
    });
    if (crashes.isHeldBack(info.fingerprint, context.clock.nowMillis())) {
      throw new SteeringError(ResultCode.heldBack);
    }
    return {
      info,
      headers: withoutHopByHopHeaders(request.rawHeaders).filter(([name]) =>
        !SYSTEM_REQUEST_HEADERS.has(name)
      ),
      body,
      deadlineMillis: options.startedAtMillis + info.timeoutMillis,
      signal: options.signal,
      move: "",
      attempts: newAttemptRecord(),
    };
  }

  async #write(
    response: ServerResponse,
    parts: { answer: Answer; ids: AnswerIds; work: Work },
  ): Promise<void> {
    const { answer, ids, work } = parts;
    this.#options.context.invariants.check(
      Invariant.answerMatches,
      ids.request === work.info.id && !response.headersSent,
      () => `request=${work.info.id} marks=${ids.request}`,
    );
    await writeAnswer(response, answer, ids);
  }

  /**
   * Replaces a "not run" outcome by "unknown" if the request was refused before
   * its key was looked up and isn't marked as the first send: an earlier send
   * with the same key may have run.
   */
  #correctOutcome(
    failure: SteeringError,
    work: Work | undefined,
    request: IncomingMessage,
  ): SteeringError {
    if (work) {
      checkNotRun(work, failure.outcome, this.#options.context.invariants);
    }
    const keyed = request.headers[REQUEST_HEADERS.key] !== undefined;
    const certain = work?.attempts.keySeen || isFirstSend(request);
    if (failure.outcome !== Outcome.notRun || !keyed || certain) return failure;
    return new SteeringError(ResultCode.refusedKeyUnseen, failure.message);
  }

  #recordResult(
    info: RequestInfo,
    options: { startedAtMillis: number; result: string; served: boolean },
  ): void {
    const { context, stats } = this.#options;
    const durationMillis = context.clock.nowMillis() - options.startedAtMillis;
    stats.count(info, { ...options, durationMillis });
    context.metrics.count("bamboolane_requests", 1, {
      member: info.member,
      service: info.service,
      lane: info.lane,
      result: options.result,
    });
    context.metrics.record(
      "bamboolane_request_duration_millis",
      durationMillis,
      {
        member: info.member,
        service: info.service,
        lane: info.lane,
      },
    );
  }

  #logFailure(
    failure: SteeringError,
    options: { work: Work | undefined; url: string; startedAtMillis: number },
  ): void {
    const { work } = options;
    this.#options.context.log.info("refuse", {
      request: work?.info.id,
      url: options.url.slice(0, 200),
      code: failure.info.code,
      result: failure.info.name,
      outcome: failure.outcome,
      detail: failure.detail,
    });
    if (work === undefined) return;
    this.#recordResult(work.info, {
      ...options,
      result: failure.info.name,
      served: false,
    });
  }
}

/** Yields a body's chunks; throws `bodyTooLarge` once it exceeds the limit. */
async function* limitBody(
  request: IncomingMessage,
  limitBytes: number,
): AsyncGenerator<Uint8Array> {
  let size = 0;
  for await (const chunk of request) {
    size += chunk.byteLength;
    if (size > limitBytes) throw new SteeringError(ResultCode.bodyTooLarge);
    yield chunk;
  }
}

interface TicketRequest {
  member: string;
  service: string;
  count: number;
}

function readTicketRequest(body: RequestBody): TicketRequest {
  if (body.kind !== "whole") throw new SteeringError(ResultCode.bodyTooLarge);
  let value: Partial<TicketRequest>;
  try {
    value = JSON.parse(new TextDecoder().decode(body.bytes));
  } catch {
    throw new SteeringError(ResultCode.badRequest, "Expected a JSON body.");
  }
  const { member, service, count = 1 } = value ?? {};
  if (typeof member !== "string" || typeof service !== "string") {
    throw new SteeringError(
      ResultCode.badRequest,
      'Expected "member" and "service".',
    );
  }
  if (!Number.isInteger(count) || count < 1) {
    throw new SteeringError(
      ResultCode.badRequest,
      '"count": expected 1 or more.',
    );
  }
  return { member, service, count };
}

/** Answers requests that the HTTP parser rejected. */
function rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const info = error.code === HEADER_OVERFLOW_CODE
    ? ResultCode.headerTooLarge
    : ResultCode.badRequest;
  const body = JSON.stringify(new SteeringError(info).toBody());
  socket.end(
    `HTTP/1.1 ${info.status} ${info.name}\r\ncontent-type: application/json\r\n` +
      `content-length: ${body.length}\r\nbamboolane-code: ${info.code}\r\n` +
      `bamboolane-outcome: ${info.outcome}\r\nconnection: close\r\n\r\n${body}`,
  );
}
