/**
 * Target stand-in with slots, service times by path, cold start, load shedding,
 * drain, crash, slowness and false load reports. It records the requests that
 * it ran, so that tests can compare them with the callers' results.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";

/** Behaviour of a target; may be changed while it runs. */
export interface TargetBehaviour {
  slots: number;
  /**
   * Service time by path prefix, first match wins. Unit: milliseconds. `bytes` is
   * added to the length of the response.
   */
  serviceMillis: { prefix: string; millis: number; bytes?: number }[];
  /** Multiplies all service times. */
  slowFactor: number;
  /** Added to the first `coldRequests` requests. Unit: milliseconds. */
  coldMillis: number;
  coldRequests: number;
  draining: boolean;
  /** Load to report instead of the actual one; negative reports the actual load. */
  reportedLoad: number;
  /** The target crashes on requests whose path contains this; empty for none. */
  crashOn: string;
  /** Responses are truncated after half of their bytes. */
  cutAnswers: boolean;
  /** Requests are accepted and never answered. */
  frozen: boolean;
  /** Health requests get no response; other requests do. */
  silentHealth: boolean;
  /** Answers don't repeat the attempt that the request names. */
  hidesAttempts: boolean;
}

/** One request that the target completed or began to run. */
export interface ExecutedRequest {
  path: string;
  /** Start of the request body, by which tests identify the request. */
  mark: string;
  startedAtMillis: number;
  /** False while it runs, and if it crashed the target or was cancelled. */
  finished: boolean;
}

/** Options of {@link serveTarget}. */
export interface TargetOptions {
  address: string;
  behaviour: Partial<TargetBehaviour>;
  /** Standard deviation of the logarithm of the service time; 0 for exact times. */
  spread?: number;
  random?: () => number;
  /** Called when the target crashes. */
  onCrash?: () => void;
}

/** A running target stand-in. */
export interface TargetStandin {
  address: string;
  behaviour: TargetBehaviour;
  ran: ExecutedRequest[];
  /** Number of requests whose connection closed while they ran. */
  cancelled: number;
  /** Number of requests refused as not run, because of load or draining. */
  shed: number;
  /** Maximum number of requests that ran concurrently. */
  peak: number;
  /** Simulates a crash: closes the server and breaks all connections. */
  crash(): void;
  close(): Promise<void>;
}

const DEFAULT_BEHAVIOUR: TargetBehaviour = {
  slots: 3,
  serviceMillis: [{ prefix: "/", millis: 5 }],
  slowFactor: 1,
  coldMillis: 0,
  coldRequests: 0,
  draining: false,
  reportedLoad: -1,
  crashOn: "",
  cutAnswers: false,
  frozen: false,
  silentHealth: false,
  hidesAttempts: false,
};

/** Header that names an attempt, which targets should repeat in their answers. */
const ATTEMPT_HEADER = "bamboolane-attempt";

/** Requests per slot that wait inside the target before it sheds load. */
const MAX_QUEUED_PER_SLOT = 1;
/** Further requests run without being recorded. */
const MAX_RECORDED_REQUESTS = 200_000;

async function readBody(request: IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of request) text += chunk.toString("latin1");
  return text;
}

/** Log-normal factor with median 1. */
function logNormalFactor(spread: number, random: () => number): number {
  if (spread === 0) return 1;
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return Math.exp(spread * normal);
}

/** Starts a target stand-in; rejects if it can't listen at the address. */
export function serveTarget(options: TargetOptions): Promise<TargetStandin> {
  const behaviour: TargetBehaviour = {
    ...DEFAULT_BEHAVIOUR,
    ...options.behaviour,
  };
  const random = options.random ?? Math.random;
  const waiting: (() => void)[] = [];
  let inUse = 0;
  let served = 0;
  const standin: TargetStandin = {
    address: options.address,
    behaviour,
    ran: [],
    cancelled: 0,
    shed: 0,
    peak: 0,
    crash,
    close,
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });

  function close(): Promise<void> {
    return new Promise((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  }

  function crash(): void {
    server.close();
    server.closeAllConnections();
    options.onCrash?.();
  }

  function refuse(response: ServerResponse): void {
    standin.shed++;
    const headers: Record<string, string> = { "x-not-run": "1" };
    if (behaviour.draining) headers["x-draining"] = "1";
    response.writeHead(503, headers).end();
  }

  function chooseWork(path: string): { millis: number; bytes: number } {
    const rule = behaviour.serviceMillis.find((r) => path.startsWith(r.prefix));
    const cold = served < behaviour.coldRequests ? behaviour.coldMillis : 0;
    const factor = behaviour.slowFactor *
      logNormalFactor(options.spread ?? 0, random);
    return {
      millis: (rule?.millis ?? 5) * factor + cold,
      bytes: rule?.bytes ?? 0,
    };
  }

  async function acquireSlot(): Promise<void> {
    if (inUse < behaviour.slots) {
      inUse++;
    } else {
      await new Promise<void>((resolve) => waiting.push(resolve));
    }
    standin.peak = Math.max(standin.peak, inUse);
  }

  function releaseSlot(): void {
    const next = waiting.shift();
    if (next) next();
    else inUse--;
  }

  async function simulateWork(
    response: ServerResponse,
    millis: number,
  ): Promise<boolean> {
    const end = Date.now() + millis;
    while (Date.now() < end || behaviour.frozen) {
      if (response.destroyed) return false;
      await new Promise((resolve) =>
        setTimeout(resolve, Math.min(20, Math.max(1, end - Date.now())))
      );
    }
    return !response.destroyed;
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? "/";
    if ((behaviour.frozen || behaviour.silentHealth) && path === "/health") {
      return;
    }
    if (path === "/health") {
      response.end(
        JSON.stringify({ state: behaviour.draining ? "draining" : "serving" }),
      );
      return;
    }
    if (path === "/load") {
      const load = behaviour.reportedLoad < 0 ? inUse : behaviour.reportedLoad;
      response.end(JSON.stringify({ inUse: load, slots: behaviour.slots }));
      return;
    }
    const attempt = request.headers[ATTEMPT_HEADER];
    if (attempt !== undefined && !behaviour.hidesAttempts) {
      response.setHeader(ATTEMPT_HEADER, attempt);
    }
    const body = await readBody(request);
    if (
      behaviour.draining ||
      waiting.length >= behaviour.slots * MAX_QUEUED_PER_SLOT
    ) {
      return refuse(response);
    }
    await runRequest(path, body, response);
  }

  async function runRequest(
    path: string,
    body: string,
    response: ServerResponse,
  ): Promise<void> {
    await acquireSlot();
    const executed: ExecutedRequest = {
      path,
      mark: body.slice(0, 200),
      startedAtMillis: Date.now(),
      finished: false,
    };
    if (standin.ran.length < MAX_RECORDED_REQUESTS) standin.ran.push(executed);
    try {
      if (behaviour.crashOn !== "" && path.includes(behaviour.crashOn)) {
        crash();
        return;
      }
      const { millis, bytes } = chooseWork(path);
      served++;
      if (!await simulateWork(response, millis)) {
        standin.cancelled++;
        return;
      }
      executed.finished = true;
      sendResponse(path, { body, bytes, response });
    } finally {
      releaseSlot();
    }
  }

  function sendResponse(
    path: string,
    parts: { body: string; bytes: number; response: ServerResponse },
  ): void {
    const { response } = parts;
    const text =
      JSON.stringify({ path, echo: parts.body, target: options.address }) +
      "x".repeat(parts.bytes);
    const headers: Record<string, string> = {
      "content-length": String(text.length),
    };
    if (behaviour.draining) headers["x-draining"] = "1";
    response.writeHead(200, headers);
    if (!behaviour.cutAnswers) return void response.end(text);
    response.write(text.slice(0, Math.floor(text.length / 2)));
    setTimeout(() => response.destroy(), 5);
  }

  const [host, port] = options.address.split(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(port), host, () => {
      standin.address = `${host}:${
        (server.address() as { port: number }).port
      }`;
      resolve(standin);
    });
  });
}
