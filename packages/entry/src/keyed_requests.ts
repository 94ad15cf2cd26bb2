/**
 * Runs requests that carry an idempotency key at most once. Tickets are tracked
 * in the memory of the incarnation that issued them; caller-chosen keys are
 * protected by a claim in the platform's table. Resends wait for the first
 * send's answer, or get it from memory or the table.
 */
import { Buffer } from "node:buffer";
import { findResultCode, ResultCode } from "@bamboolane/errors/result_code";
import {
  errorFromCode,
  SteeringError,
  toSteeringError,
} from "@bamboolane/errors/steering_error";
import {
  claimRowKey,
  type ClaimStore,
  type ClaimValue,
  type HeldClaim,
  type StoredAnswer,
} from "@bamboolane/idempotency/claim_store";
import type {
  Execution,
  ExecutionHandle,
  ExecutionTable,
  KeptAnswer,
  StartResult,
} from "@bamboolane/idempotency/execution_table";
import type { OutcomeLog } from "@bamboolane/idempotency/outcome_log";
import type { TicketIssuer } from "@bamboolane/idempotency/ticket_issuer";
import type { MembershipTable } from "@bamboolane/membership/membership_table";
import { type InstanceRecord, InstanceState } from "@bamboolane/types/instance";
import { Cancellation } from "./cancellation.ts";
import {
  type Answer,
  bufferBody,
  type Work,
  type WorkRunner,
} from "./answer.ts";
import type { EntryContext } from "./context.ts";
import { ForwardRole } from "./forward_codec.ts";
import type { ForwardClient } from "./forward_client.ts";

/** Options of {@link KeyedRequests}. */
export interface KeyedRequestsOptions {
  context: EntryContext;
  tickets: TicketIssuer;
  claims: ClaimStore;
  outcomes: OutcomeLog;
  executions: ExecutionTable;
  table: MembershipTable;
  forward: ForwardClient;
  /** Routes a request to a target. */
  run: WorkRunner;
}

/** How long the answer to a claimed key is kept in memory. */
const CLAIM_ANSWER_RETENTION_MILLIS = 600_000;
/**
 * Attempts to claim a key while its claim is in doubt; the holder may be about
 * to release it.
 */
const MAX_CLAIM_ATTEMPTS = 3;
const CLAIM_RETRY_DELAY_MILLIS = 100;

/** Runs keyed requests. */
export class KeyedRequests {
  readonly #options: KeyedRequestsOptions;

  constructor(options: KeyedRequestsOptions) {
    this.#options = options;
  }

  /**
   * Runs a request according to its key. Rejects with a {@link SteeringError}.
   */
  run(work: Work): Promise<Answer> {
    const { key } = work.info;
    switch (key.kind) {
      case "none":
        if (work.info.idempotent) return this.#options.run(work);
        return Promise.reject(new SteeringError(ResultCode.keyRequired));
      case "ticket":
        return this.runTicket(work);
      case "claim":
        return this.#runClaim(work, key.value);
    }
  }

  /**
   * Runs a request with a ticket or replays its answer, here or at the instance
   * that issued the ticket. Rejects with a {@link SteeringError}.
   */
  async runTicket(work: Work): Promise<Answer> {
    const { tickets, executions } = this.#options;
    const ticket = work.info.key.kind === "none" ? "" : work.info.key.value;
    const nowMillis = this.#now();
    const verdict = tickets.check(ticket, work.info.member, { nowMillis });
    switch (verdict.kind) {
      case "invalid":
        work.attempts.keySeen = true;
        throw new SteeringError(ResultCode.ticketInvalid);
      case "expired": {
        const known = executions.get(ticket);
        if (known === undefined) {
          throw new SteeringError(ResultCode.ticketExpired);
        }
        return await this.#answerFromExecution(work, known);
      }
      case "elsewhere":
        return await this.#runTicketAtIssuer(work, ticket, verdict);
      case "own": {
        const { expiresAtMillis } = verdict;
        const started = executions.start(ticket, work.info.fingerprint, {
          expiresAtMillis,
          nowMillis,
        });
        work.attempts.keySeen = true;
        return await this.#executeOrReplay(
          work,
          started,
          (handle) =>
            this.#execute(work, (answer) => {
              handle.complete(answer);
              this.#options.outcomes.enqueue(ticket, answer);
            }),
        );
      }
    }
  }

  /**
   * Answers another entry that found this instance's claim on a key. Rejects
   * with `claimInDoubt` if this instance has no record of the key.
   */
  async answerClaim(work: Work): Promise<Answer> {
    const key = work.info.key.kind === "none" ? "" : work.info.key.value;
    const known = this.#options.executions.get(
      claimRowKey(work.info.member, key),
    );
    if (known === undefined) throw new SteeringError(ResultCode.claimInDoubt);
    return await this.#answerFromExecution(work, known);
  }

  #executeOrReplay(
    work: Work,
    started: StartResult,
    execute: (handle: ExecutionHandle) => Promise<Answer>,
  ): Promise<Answer> {
    switch (started.kind) {
      case "mismatch":
        work.attempts.keySeen = true;
        return Promise.reject(new SteeringError(ResultCode.keyMismatch));
      case "full":
        return Promise.reject(
          new SteeringError(
            ResultCode.overloaded,
            "Too many idempotency keys are in use.",
          ),
        );
      case "known":
        return this.#answerFromExecution(work, started.execution);
      case "started":
        return execute(started.handle);
    }
  }

  async #runTicketAtIssuer(
    work: Work,
    ticket: string,
    issuer: { instance: string; incarnation: number },
  ): Promise<Answer> {
    const record = this.#liveHolder(issuer);
    if (record === undefined) {
      return await this.#answerFromOutcome(work, ticket, issuer);
    }
    const answerOrFailure = await this.#tryForward(
      work,
      record,
      ForwardRole.FORWARD_ROLE_TICKET,
    );
    if (!(answerOrFailure instanceof SteeringError)) return answerOrFailure;
    // A refusal by the issuer is definitive; if the connection failed, the
    // outcome may be in the table.
    if (
      answerOrFailure.info !== ResultCode.peerUnreachable &&
      answerOrFailure.info !== ResultCode.peerLost
    ) {
      work.attempts.keySeen = true;
      throw answerOrFailure;
    }
    return await this.#answerFromOutcome(work, ticket, issuer);
  }

  /** Forwards a request; resolves with the failure instead of rejecting. */
  async #tryForward(
    work: Work,
    peer: InstanceRecord,
    role: ForwardRole,
  ): Promise<Answer | SteeringError> {
    try {
      return await this.#options.forward.run(work, peer, { role });
    } catch (error) {
      return toSteeringError(error, ResultCode.internal);
    }
  }

  async #answerFromOutcome(
    work: Work,
    ticket: string,
    issuer: { instance: string; incarnation: number },
  ): Promise<Answer> {
    const outcome = await this.#options.outcomes.read(ticket, issuer);
    switch (outcome.kind) {
      case "answered":
        return storedToAnswer(outcome.answer);
      case "never-run":
        work.attempts.keySeen = true;
        throw new SteeringError(ResultCode.ticketVoid);
      case "unknown":
        throw new SteeringError(ResultCode.ticketHolderGone);
    }
  }

  /**
   * The record of the claiming or issuing incarnation, unless it is considered
   * dead.
   */
  #liveHolder(
    holder: { instance: string; incarnation: number },
  ): InstanceRecord | undefined {
    const record = this.#options.table.get(holder.instance);
    if (record === undefined || record.state === InstanceState.dead) {
      return undefined;
    }
    return record.incarnation === holder.incarnation ? record : undefined;
  }

  async #runClaim(work: Work, key: string): Promise<Answer> {
    const rowKey = claimRowKey(work.info.member, key);
    const nowMillis = this.#now();
    const started = this.#options.executions.start(
      rowKey,
      work.info.fingerprint,
      {
        expiresAtMillis: nowMillis + CLAIM_ANSWER_RETENTION_MILLIS,
        nowMillis,
      },
    );
    return await this.#executeOrReplay(
      work,
      started,
      (handle) => this.#claimAndRun(work, rowKey, handle),
    );
  }

  async #claimAndRun(
    work: Work,
    rowKey: string,
    handle: ExecutionHandle,
  ): Promise<Answer> {
    for (let attempt = 1;; attempt++) {
      const result = await this.#options.claims.claim(
        rowKey,
        work.info.fingerprint,
      );
      switch (result.kind) {
        case "claimed": {
          const { claim } = result;
          work.attempts.keySeen = true;
          return await this.#execute(work, (answer) => {
            handle.complete(answer);
            this.#completeClaim(claim, answer);
          });
        }
        case "away":
          return this.#releaseAndThrow(
            handle,
            new SteeringError(ResultCode.claimStoreAway),
          );
        case "taken": {
          const answer = await this.#answerFromClaim(work, result.value)
            .catch((error) => toSteeringError(error, ResultCode.internal));
          if (!(answer instanceof SteeringError)) {
            return await this.#keepAnswer(
              answer,
              (kept) => handle.release(kept),
            );
          }
          const shouldRetry = answer.info === ResultCode.claimInDoubt &&
            attempt < MAX_CLAIM_ATTEMPTS;
          if (!shouldRetry) return this.#releaseAndThrow(handle, answer);
          await new Promise((resolve) =>
            setTimeout(resolve, CLAIM_RETRY_DELAY_MILLIS)
          );
        }
      }
    }
  }

  #releaseAndThrow(handle: ExecutionHandle, failure: SteeringError): never {
    handle.release(toKeptFailure(failure));
    throw failure;
  }

  #completeClaim(claim: HeldClaim, answer: KeptAnswer): void {
    this.#options.claims.complete(claim, answer).catch((error) => {
      this.#options.context.log.warn("claim_settle_failed", {
        claim: claim.rowKey,
        error: String(error),
      });
    });
  }

  async #answerFromClaim(work: Work, value: ClaimValue): Promise<Answer> {
    if (value.fingerprint !== work.info.fingerprint) {
      work.attempts.keySeen = true;
      throw new SteeringError(ResultCode.keyMismatch);
    }
    if (value.answer !== undefined) return storedToAnswer(value.answer);
    const holder = this.#liveHolder(value);
    if (
      holder === undefined ||
      holder.id === this.#options.context.settings.instance.id
    ) {
      throw new SteeringError(ResultCode.claimInDoubt);
    }
    const answer = await this.#tryForward(
      work,
      holder,
      ForwardRole.FORWARD_ROLE_CLAIM,
    );
    if (!(answer instanceof SteeringError)) return answer;
    if (answer.info === ResultCode.peerUnreachable) {
      throw new SteeringError(ResultCode.claimInDoubt);
    }
    work.attempts.keySeen = true;
    throw answer;
  }

  /**
   * Dispatches the request detached from its caller: it runs to completion even
   * if the caller disconnects, so that a resend can get the answer.
   */
  async #execute(
    work: Work,
    complete: (answer: KeptAnswer) => void,
  ): Promise<Answer> {
    const detached: Work = { ...work, signal: new Cancellation().signal };
    try {
      const answer = await this.#options.run(detached);
      return await this.#keepAnswer(answer, complete);
    } catch (error) {
      const failure = toSteeringError(error, ResultCode.internal);
      complete(toKeptFailure(failure));
      throw failure;
    }
  }

  /**
   * Keeps a small answer for resends; a larger one is passed on without keeping
   * its body.
   */
  async #keepAnswer(
    answer: Answer,
    complete: (kept: KeptAnswer) => void,
  ): Promise<Answer> {
    const limit = this.#options.context.settings.limits.keptAnswerBytes;
    const { status, headers } = answer;
    const body = await bufferBody(answer.body, limit);
    const kept = body.kind === "whole" && body.bytes.byteLength <= limit;
    complete({
      kind: "answered",
      status,
      headers,
      body: kept ? body.bytes : undefined,
    });
    return { ...answer, body };
  }

  async #answerFromExecution(
    work: Work,
    execution: Execution,
  ): Promise<Answer> {
    if (execution.fingerprint !== work.info.fingerprint) {
      work.attempts.keySeen = true;
      throw new SteeringError(ResultCode.keyMismatch);
    }
    const kept = execution.finalAnswer ?? await this.#waitFor(work, execution);
    // Without the store, it is unknown whether the key was used before.
    const claimStoreFailed = kept.kind === "failed" &&
      kept.code === ResultCode.claimStoreAway.code;
    work.attempts.keySeen = !claimStoreFailed;
    switch (kept.kind) {
      case "failed":
        throw errorFromCode(kept.code, kept.detail);
      case "answered":
        return keptToAnswer(kept);
    }
  }

  #waitFor(work: Work, execution: Execution): Promise<KeptAnswer> {
    const remainingMillis = Math.max(1, work.deadlineMillis - this.#now());
    let timer: NodeJS.Timeout | undefined;
    const deadlineExceeded = new Promise<never>((_, reject) => {
      timer = setTimeout(
        () => reject(new SteeringError(ResultCode.deadlineWhileRunning)),
        remainingMillis,
      );
    });
    return Promise.race([execution.done, deadlineExceeded]).finally(() =>
      clearTimeout(timer)
    );
  }

  #now(): number {
    return this.#options.context.clock.nowMillis();
  }
}

function toKeptFailure(failure: SteeringError): KeptAnswer {
  const { code, outcome } = failure.info;
  return { kind: "failed", code, detail: failure.detail, outcome };
}

/** Throws `answerTooLarge` if the body was not kept. */
function keptToAnswer(kept: KeptAnswer & { kind: "answered" }): Answer {
  if (kept.body === undefined) {
    throw new SteeringError(ResultCode.answerTooLarge);
  }
  return {
    status: kept.status,
    headers: kept.headers,
    body: { kind: "whole", bytes: kept.body },
    target: "",
    dataCentre: "",
    cancel: () => {},
  };
}

/** Throws the failure if one was stored. */
function storedToAnswer(stored: StoredAnswer): Answer {
  switch (stored.kind) {
    case "failed":
      throw new SteeringError(findResultCode(stored.code), stored.detail);
    case "answered": {
      const { status, headers, body } = stored;
      const bytes = body === undefined
        ? undefined
        : Buffer.from(body, "base64");
      return keptToAnswer({ kind: "answered", status, headers, body: bytes });
    }
  }
}
