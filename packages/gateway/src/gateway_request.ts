/**
 * One caller's request while the gateway holds it.
 */
import type { WaitingRequest } from "@bamboolane/steering/wait_queue";
import type { SteeringRoute } from "@bamboolane/steering/steering_config";

/** What the gateway itself answers where no target's answer is passed on. */
export type OwnAnswer =
  /** Proven not run; the caller may come back. */
  | { kind: "refused"; reason: string; retryAfterMillis: number }
  /** May have run. */
  | { kind: "failed"; reason: string }
  /** The caller's deadline or the route's timeout passed; may have run. */
  | { kind: "expired" };

/** A target's answer, complete. */
export interface TargetAnswer {
  status: number;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer;
}

/** How the caller gets the answer. */
export interface AnswerSink {
  answer(answer: TargetAnswer): void;
  /** A long answer: its head first, then its parts. */
  start(status: number, headers: string[]): void;
  /** Returns false while the caller reads more slowly than the target sends. */
  write(chunk: Buffer): boolean;
  onDrain(resume: () => void): void;
  end(): void;
  /** Breaks the answer off, so that it can't look complete. */
  cut(): void;
  refuse(answer: OwnAnswer): void;
}

/** A request on its way. */
export interface GatewayRequest extends WaitingRequest {
  id: string;
  route: SteeringRoute;
  service: string;
  object: string | undefined;
  method: string;
  path: string;
  /** Names and values in turn, without those of one connection. */
  headers: string[];
  body: Buffer | undefined;
  /** When the gateway stops waiting: the caller's deadline or the route's timeout. */
  expiresAtMillis: number;
  fingerprint: string;
  sink: AnswerSink;
  /** Targets that it was sent to. */
  triedTargets: Set<string>;
  /** Sends that were not proven to have left the request unrun. */
  possibleRuns: number;
  sends: number;
  done: boolean;
  /** Ends the attempt under way, if any. */
  abort: ((reason: string) => void) | undefined;
  expiryTimer: NodeJS.Timeout | undefined;
}
