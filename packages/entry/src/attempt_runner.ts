/**
 * Runs single attempts on targets: sends, watches the deadline, classifies
 * how the attempt ended, and gives the slot back.
 */
import type { FinishKind } from "@bamboolane/admit/slot_pool";
import { ResultCode } from "@bamboolane/errors/result_code";
import {
  SteeringError,
  toSteeringError,
} from "@bamboolane/errors/steering_error";
import type { CrashTracker } from "@bamboolane/route/crash_tracker";
import type { FleetDefaults } from "@bamboolane/types/fleet";
import { Cancellation, type CancelSignal } from "./cancellation.ts";
import {
  type Answer,
  concatBytes,
  isHeld,
  noteDispatch,
  type Work,
} from "./answer.ts";
import type { EntryContext } from "./context.ts";
import type { Attempt } from "./hedge_race.ts";
import { Invariant } from "./invariants.ts";
import {
  type TargetClient,
  TargetRefusal,
  type TargetResponse,
} from "./target_client.ts";

/** A slot on a target. */
export interface Grant {
  slotId: string;
  target: string;
  startedAtMillis: number;
}

/** What attempts need from the pool that granted their slots. */
export interface AttemptHost {
  context: EntryContext;
  crashes: CrashTracker;
  /** Called when a crash was recorded, so that peers hear of it. */
  onCrash: () => void;
  client(target: string): TargetClient | undefined;
  isLeaving(target: string): boolean;
  dataCentre(): string;
  /** The target said that it leaves. */
  onLeaving(target: string): void;
  /** The target accepts no connection. */
  onDown(target: string): void;
  onEnd(work: Work, grant: Grant, how: FinishKind): void;
}

/** Runs attempts for one pool. */
export class AttemptRunner {
  readonly #host: AttemptHost;

  constructor(host: AttemptHost) {
    this.#host = host;
  }

  /** Starts one attempt; the slot is given back when it ends. */
  start(work: Work, grant: Grant, values: FleetDefaults): Attempt {
    const abort = new Cancellation();
    const stop = () => abort.abort();
    work.signal.addEventListener("abort", stop, { once: true });
    const remaining = work.deadlineMillis -
      this.#host.context.clock.nowMillis();
    let deadlinePassed = false;
    const timer = setTimeout(() => {
      deadlinePassed = true;
      abort.abort();
    }, Math.max(1, remaining));
    const end = () => {
      clearTimeout(timer);
      work.signal.removeEventListener("abort", stop);
    };
    const answer = this.#send(work, {
      grant,
      values,
      signal: abort.signal,
      remaining,
    })
      .then((response) => this.#toAnswer(work, { grant, response, abort, end }))
      .catch(async (error) => {
        end();
        const failure = deadlinePassed
          ? new SteeringError(ResultCode.deadlineWhileRunning)
          : toSteeringError(error, ResultCode.internal);
        await this.#onFailure(work, grant, failure);
        throw failure;
      });
    answer.catch(() => {});
    return { answer, cancel: stop };
  }

  #send(
    work: Work,
    options: {
      grant: Grant;
      values: FleetDefaults;
      signal: CancelSignal;
      remaining: number;
    },
  ): Promise<TargetResponse> {
    const { grant, values } = options;
    const client = this.#host.client(grant.target);
    if (client === undefined) {
      work.attempts.dispatches++;
      return Promise.reject(
        new SteeringError(ResultCode.connectFailed, "Target was removed."),
      );
    }
    this.#host.context.invariants.check(
      Invariant.noWorkToLeaving,
      !this.#host.isLeaving(grant.target),
      () => `target=${grant.target} request=${work.info.id}`,
    );
    noteDispatch(work, this.#host.context.invariants);
    return client.send(work, {
      signal: options.signal,
      remainingMillis: options.remaining,
      refusal: values.notRunRefusal,
      drainHeader: values.drainHeader,
    });
  }

  async #toAnswer(
    work: Work,
    parts: {
      grant: Grant;
      response: TargetResponse;
      abort: Cancellation;
      end: () => void;
    },
  ): Promise<Answer> {
    const { grant, response, abort, end } = parts;
    if (response.draining) this.#host.onLeaving(grant.target);
    const failed = response.status >= 500;
    let ended = false;
    const finish = (how: "success" | "failure" | "cancelled") => {
      if (ended) return;
      ended = true;
      end();
      this.#host.onEnd(
        work,
        grant,
        how === "success" && failed ? "failure" : how,
      );
    };
    const cancel = () => {
      if (ended) return;
      finish("cancelled");
      abort.abort();
      response.destroy();
    };
    const { status, headers } = response;
    const answer = { status, headers, target: grant.target, cancel };
    const dataCentre = this.#host.dataCentre();
    if (isHeld(headers)) {
      const bytes = await readHeld(response);
      finish("success");
      return { ...answer, dataCentre, body: { kind: "whole", bytes } };
    }
    const chunks = readStream(response.body, finish);
    return { ...answer, dataCentre, body: { kind: "stream", chunks } };
  }

  async #onFailure(
    work: Work,
    grant: Grant,
    failure: SteeringError,
  ): Promise<void> {
    switch (failure.info) {
      case ResultCode.targetRefused:
        if (failure instanceof TargetRefusal && failure.draining) {
          this.#host.onLeaving(grant.target);
        }
        work.attempts.provenNotRun++;
        return this.#host.onEnd(work, grant, "refused");
      case ResultCode.connectFailed:
        work.attempts.provenNotRun++;
        this.#host.onDown(grant.target);
        return this.#host.onEnd(work, grant, "failure");
      case ResultCode.targetLost:
      case ResultCode.answerCut:
        await this.#checkCrash(work, grant);
        return this.#host.onEnd(work, grant, "failure");
      default:
        return this.#host.onEnd(work, grant, "cancelled");
    }
  }

  async #checkCrash(work: Work, grant: Grant): Promise<void> {
    const client = this.#host.client(grant.target);
    if (client === undefined || !await client.isGone()) return;
    this.#host.onDown(grant.target);
    const { fingerprint } = work.info;
    if (
      !this.#host.crashes.recordCrash(
        fingerprint,
        grant.target,
        this.#host.context.clock.nowMillis(),
      )
    ) return;
    const held = this.#host.crashes.isHeldBack(
      fingerprint,
      this.#host.context.clock.nowMillis(),
    );
    this.#host.context.log.info("crash_suspect", {
      request: work.info.id,
      service: work.info.service,
      target: grant.target,
      fingerprint,
      held,
    });
    this.#host.onCrash();
  }
}

/** Reads a small answer to its end. */
async function readHeld(response: TargetResponse): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const chunk of response.body) {
      chunks.push(chunk);
      size += chunk.byteLength;
    }
  } catch (error) {
    throw new SteeringError(ResultCode.answerCut, (error as Error).message);
  }
  return concatBytes(chunks, size);
}

/** Passes chunks on; a cut or an early end by the reader is told apart. */
async function* readStream(
  body: AsyncIterable<Uint8Array>,
  finish: (how: "success" | "failure" | "cancelled") => void,
): AsyncGenerator<Uint8Array> {
  let how: "success" | "failure" | "cancelled" = "cancelled";
  try {
    yield* body;
    how = "success";
  } catch (error) {
    how = "failure";
    throw new SteeringError(ResultCode.answerCut, (error as Error).message);
  } finally {
    finish(how);
  }
}
