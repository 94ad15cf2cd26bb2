/**
 * A caller's request while the gateway processes it.
 */
import type { WaitingRequest } from "@bamboolane/steering/wait_queue";
import type { SteeringRoute } from "@bamboolane/steering/steering_config";
import type { MemoryShare } from "./memory_budget.ts";

/**
 * Answer of the gateway itself, if no target's answer is forwarded. The kinds
 * are written into answers.
 */
export type LocalAnswer =
  /** The request did not run; the caller may retry. */
  | { kind: "refused"; reason: string; retryAfterMillis: number }
  /** The request may have run. */
  | { kind: "failed"; reason: string }
  /** The caller's deadline or the route's timeout passed; the request may have run. */
  | { kind: "expired" };

/** A complete answer of a target. */
export interface TargetAnswer {
  status: number;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer;
}

/** Statuses that tell callers that the request did not run and never will. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);

/** Writes the answer to the caller. */
export interface AnswerSink {
  answer(answer: TargetAnswer): void;
  /** Starts a streamed answer; its chunks follow. */
  start(status: number, headers: string[]): void;
  /** Returns false while the caller reads more slowly than the target sends. */
  write(chunk: Buffer): boolean;
  /** Calls `resume` once the caller has read what was written. */
  onDrain(resume: () => void): void;
  end(): void;
  /** Aborts a streamed answer, so that it can't look complete. */
  cut(): void;
  answerLocally(answer: LocalAnswer): void;
  /** Answers as failed if nothing was sent yet, and cuts an answer that isn't complete. */
  abandon(): void;
}

/** A request that is queued or at a target. */
export interface GatewayRequest extends WaitingRequest {
  /** The caller's id of the request; empty if it sent none. */
  id: string;
  route: SteeringRoute;
  service: string;
  /** Key of the object that the request is about, on routes with affinity. */
  object: string | undefined;
  method: string;
  path: string;
  /** Alternating names and values, without headers that apply to one connection only. */
  headers: string[];
  body: Buffer | undefined;
  /** When the gateway stops waiting: the caller's deadline or the route's timeout. */
  expiresAtMillis: number;
  /** Equal for repetitions of a request; crashes are recorded under it. */
  fingerprint: string;
  sink: AnswerSink;
  /** Memory that the request and its answer take. */
  memory: MemoryShare;
  /** True if another entry forwarded the request; it is not forwarded again. */
  isForwarded: boolean;
  /** Ids of the targets that the request was sent to. */
  triedTargets: Set<string>;
  /** Ids of the entries that the request was forwarded to. */
  triedEntries: Set<string>;
  /** Number of sends that may have reached a target. */
  arrivals: number;
  /** Number of sends that may have run the request: all but those known not to have run it. */
  possibleRuns: number;
  /** Number of all sends. */
  sends: number;
  /**
   * Reads the caller's connection if it was not read for some time, so that its close
   * is noticed before another send; undefined if it was.
   */
  readCaller: () => Promise<void> | undefined;
  /** True once the outcome is decided or the caller disconnected. */
  done: boolean;
  /** Aborts the attempt in progress, if any. */
  abort: ((reason: string) => void) | undefined;
  expiryTimer: NodeJS.Timeout | undefined;
}
