/**
 * Runs single attempts on targets: sends the request, enforces the deadline,
 * classifies how the attempt ended, and releases the slot.
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
  fitsBuffer,
  recordDispatch,
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

/** A slot granted on a target. */
export interface SlotGrant {
  slotId: string;
  target: string;
  startedAtMillis: number;
}

/** The parts of a pool that its attempts use. */
export interface AttemptHost {
  context: EntryContext;
  crashes: CrashTracker;
  /** Called after a crash is recorded, to report it to peers. */
  onCrash: () => void;
  client(target: string): TargetClient | undefined;
  isDraining(target: string): boolean;
  dataCentre(): string;
  /** Called when the target signals that it is draining. */
  onDraining(target: string): void;
  /** Called when the target refuses connections. */
  onDown(target: string): void;
  onAttemptEnd(work: Work, grant: SlotGrant, finishKind: FinishKind): void;
}

/** Runs attempts for one pool. */
export class AttemptRunner {
  readonly #host: AttemptHost;

  constructor(host: AttemptHost) {
    this.#host = host;
  }

  /** Starts one attempt; the slot is released when the attempt ends. */
  start(work: Work, grant: SlotGrant, values: FleetDefaults): Attempt {
    const abort = new Cancellation();
    const stop = () => abort.abort();
    work.signal.addEventListener("abort", stop, { once: true });
    const timeLeftMillis = work.deadlineMillis -
      this.#host.context.clock.nowMillis();
    let deadlinePassed = false;
    const timer = setTimeout(() => {
      deadlinePassed = true;
      abort.abort();
    }, Math.max(1, timeLeftMillis));
    const cleanUp = () => {
      clearTimeout(timer);
      work.signal.removeEventListener("abort", stop);
    };
    const answer = this.#send(work, {
      grant,
      values,
      signal: abort.signal,
      timeLeftMillis,
    })
      .then((response) =>
        this.#toAnswer(work, { grant, response, abort, cleanUp })
      )
      .catch(async (error) => {
        cleanUp();
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
      grant: SlotGrant;
      values: FleetDefaults;
      signal: CancelSignal;
      timeLeftMillis: number;
    },
  ): Promise<TargetResponse> {
    const { grant, values } = options;
    const client = this.#host.client(grant.target);
    if (client === undefined) {
      // Counted as a dispatch, since `#onFailure` counts every failed connection
      // as proven not run.
      work.attempts.dispatches++;
      return Promise.reject(
        new SteeringError(ResultCode.connectFailed, "The target was removed."),
      );
    }
    this.#host.context.invariants.check(
      Invariant.noWorkToLeaving,
      !this.#host.isDraining(grant.target),
      () => `target=${grant.target} request=${work.info.id}`,
    );
    recordDispatch(work, this.#host.context.invariants);
    return client.send(work, {
      signal: options.signal,
      remainingMillis: options.timeLeftMillis,
      refusal: values.notRunRefusal,
      drainHeader: values.drainHeader,
    });
  }

  async #toAnswer(
    work: Work,
    parts: {
      grant: SlotGrant;
      response: TargetResponse;
      abort: Cancellation;
      cleanUp: () => void;
    },
  ): Promise<Answer> {
    const { grant, response, abort, cleanUp } = parts;
    if (response.draining) this.#host.onDraining(grant.target);
    const failed = response.status >= 500;
    let ended = false;
    const finish = (finishKind: "success" | "failure" | "cancelled") => {
      if (ended) return;
      ended = true;
      cleanUp();
      this.#host.onAttemptEnd(
        work,
        grant,
        finishKind === "success" && failed ? "failure" : finishKind,
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
    if (fitsBuffer(headers)) {
      const bytes = await readBuffered(response);
      finish("success");
      return { ...answer, dataCentre, body: { kind: "whole", bytes } };
    }
    const chunks = readStream(response.body, finish);
    return { ...answer, dataCentre, body: { kind: "stream", chunks } };
  }

  async #onFailure(
    work: Work,
    grant: SlotGrant,
    failure: SteeringError,
  ): Promise<void> {
    switch (failure.info) {
      case ResultCode.targetRefused:
        if (failure instanceof TargetRefusal && failure.draining) {
          this.#host.onDraining(grant.target);
        }
        work.attempts.provenNotRun++;
        return this.#host.onAttemptEnd(work, grant, "refused");
      case ResultCode.connectFailed:
        work.attempts.provenNotRun++;
        this.#host.onDown(grant.target);
        return this.#host.onAttemptEnd(work, grant, "failure");
      case ResultCode.targetLost:
      case ResultCode.answerCut:
        await this.#detectCrash(work, grant);
        return this.#host.onAttemptEnd(work, grant, "failure");
      default:
        return this.#host.onAttemptEnd(work, grant, "cancelled");
    }
  }

  async #detectCrash(work: Work, grant: SlotGrant): Promise<void> {
    const client = this.#host.client(grant.target);
    if (client === undefined || !await client.isPortClosed()) return;
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

/**
 * Reads a small answer into memory; rejects with `answerCut` if it is cut
 * short.
 */
async function readBuffered(response: TargetResponse): Promise<Uint8Array> {
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

/**
 * Passes chunks on, and reports whether the body was complete, cut short, or
 * abandoned by the reader.
 */
async function* readStream(
  body: AsyncIterable<Uint8Array>,
  finish: (finishKind: "success" | "failure" | "cancelled") => void,
): AsyncGenerator<Uint8Array> {
  let finishKind: "success" | "failure" | "cancelled" = "cancelled";
  try {
    yield* body;
    finishKind = "success";
  } catch (error) {
    finishKind = "failure";
    throw new SteeringError(ResultCode.answerCut, (error as Error).message);
  } finally {
    finish(finishKind);
  }
}
