/**
 * Runs requests that carry an idempotency key at most once: tickets from
 * this incarnation's memory, callers' own keys under a claim in the table.
 * Resends wait for, or are given, the key's one answer.
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
import { type Answer, holdBody, type Runner, type Work } from "./answer.ts";
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
  /** Runs a request that is not dispatched yet. */
  run: Runner;
}

/** How long a claim's answer is kept in memory. */
const claimMemoryMillis = 600_000;
/** A holder that frees a key takes a moment; so often it is looked at again. */
const maxClaimTries = 3;
const claimPauseMillis = 100;

/** Runs keyed requests. */
export class KeyedRequests {
  readonly #options: KeyedRequestsOptions;

  constructor(options: KeyedRequestsOptions) {
    this.#options = options;
  }

  /** Runs a request according to its key. */
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

  /** Runs or answers a ticket, here or at the instance that issued it. */
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
        return await this.#answerKnown(work, known);
      }
      case "elsewhere":
        return await this.#runTicketElsewhere(work, ticket, verdict);
      case "own": {
        const { expiresAtMillis } = verdict;
        const started = executions.start(ticket, work.info.fingerprint, {
          expiresAtMillis,
          nowMillis,
        });
        work.attempts.keySeen = true;
        return await this.#proceed(
          work,
          started,
          (end) =>
            this.#execute(work, (answer) => {
              end.complete(answer);
              this.#options.outcomes.enqueue(ticket, answer);
            }),
        );
      }
    }
  }

  /** Answers another entry that found this instance's claim on a key. */
  async answerClaim(work: Work): Promise<Answer> {
    const key = work.info.key.kind === "none" ? "" : work.info.key.value;
    const known = this.#options.executions.get(
      claimRowKey(work.info.member, key),
    );
    if (known === undefined) throw new SteeringError(ResultCode.claimInDoubt);
    return await this.#answerKnown(work, known);
  }

  #proceed(
    work: Work,
    started: StartResult,
    execute: (end: ExecutionHandle) => Promise<Answer>,
  ): Promise<Answer> {
    switch (started.kind) {
      case "mismatch":
        work.attempts.keySeen = true;
        return Promise.reject(new SteeringError(ResultCode.keyMismatch));
      case "full":
        return Promise.reject(
          new SteeringError(ResultCode.overloaded, "Too many keys are held."),
        );
      case "known":
        return this.#answerKnown(work, started.execution);
      case "started":
        return execute(started.handle);
    }
  }

  async #runTicketElsewhere(
    work: Work,
    ticket: string,
    issuer: { instance: string; incarnation: number },
  ): Promise<Answer> {
    const record = this.#liveHolder(issuer);
    if (record === undefined) {
      return await this.#readOutcome(work, ticket, issuer);
    }
    const failure = await this.#tryForward(
      work,
      record,
      ForwardRole.FORWARD_ROLE_TICKET,
    );
    if (!(failure instanceof SteeringError)) return failure;
    // What the issuer itself said stands; what was lost on the way is in doubt.
    if (
      failure.info !== ResultCode.peerUnreachable &&
      failure.info !== ResultCode.peerLost
    ) {
      work.attempts.keySeen = true;
      throw failure;
    }
    return await this.#readOutcome(work, ticket, issuer);
  }

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

  async #readOutcome(
    work: Work,
    ticket: string,
    issuer: { instance: string; incarnation: number },
  ): Promise<Answer> {
    const outcome = await this.#options.outcomes.read(ticket, issuer);
    switch (outcome.kind) {
      case "answered":
        return toAnswer(outcome.answer);
      case "never-run":
        work.attempts.keySeen = true;
        throw new SteeringError(ResultCode.ticketVoid);
      case "unknown":
        throw new SteeringError(ResultCode.ticketHolderGone);
    }
  }

  /** The claiming or issuing incarnation, if it is believed to live. */
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
        expiresAtMillis: nowMillis + claimMemoryMillis,
        nowMillis,
      },
    );
    return await this.#proceed(
      work,
      started,
      (end) => this.#claimAndRun(work, rowKey, end),
    );
  }

  async #claimAndRun(
    work: Work,
    rowKey: string,
    end: ExecutionHandle,
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
            end.complete(answer);
            this.#settleClaim(claim, answer);
          });
        }
        case "away":
          return this.#release(
            end,
            new SteeringError(ResultCode.claimStoreAway),
          );
        case "taken": {
          const answer = await this.#answerTaken(work, result.value)
            .catch((error) => toSteeringError(error, ResultCode.internal));
          if (!(answer instanceof SteeringError)) {
            return await this.#keep(answer, (kept) => end.release(kept));
          }
          const settling = answer.info === ResultCode.claimInDoubt &&
            attempt < maxClaimTries;
          if (!settling) return this.#release(end, answer);
          await new Promise((resolve) => setTimeout(resolve, claimPauseMillis));
        }
      }
    }
  }

  #release(end: ExecutionHandle, failure: SteeringError): never {
    end.release(toFailure(failure));
    throw failure;
  }

  #settleClaim(claim: HeldClaim, answer: KeptAnswer): void {
    this.#options.claims.complete(claim, answer).catch((error) => {
      this.#options.context.log.warn("claim_settle_failed", {
        claim: claim.rowKey,
        error: String(error),
      });
    });
  }

  async #answerTaken(work: Work, value: ClaimValue): Promise<Answer> {
    if (value.fingerprint !== work.info.fingerprint) {
      work.attempts.keySeen = true;
      throw new SteeringError(ResultCode.keyMismatch);
    }
    if (value.answer !== undefined) return toAnswer(value.answer);
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
   * Dispatches the request, apart from its caller: it runs to its end even
   * where the caller goes away, so that a resend can be told the answer.
   */
  async #execute(
    work: Work,
    settle: (answer: KeptAnswer) => void,
  ): Promise<Answer> {
    const detached: Work = { ...work, signal: new Cancellation().signal };
    try {
      const answer = await this.#options.run(detached);
      return await this.#keep(answer, settle);
    } catch (error) {
      const failure = toSteeringError(error, ResultCode.internal);
      settle(toFailure(failure));
      throw failure;
    }
  }

  /** Keeps a small answer whole; a larger one is passed on and not kept. */
  async #keep(
    answer: Answer,
    settle: (kept: KeptAnswer) => void,
  ): Promise<Answer> {
    const limit = this.#options.context.settings.limits.keptAnswerBytes;
    const { status, headers } = answer;
    const body = await holdBody(answer.body, limit);
    const kept = body.kind === "whole" && body.bytes.byteLength <= limit;
    settle({
      kind: "answered",
      status,
      headers,
      body: kept ? body.bytes : undefined,
    });
    return { ...answer, body };
  }

  async #answerKnown(work: Work, execution: Execution): Promise<Answer> {
    if (execution.fingerprint !== work.info.fingerprint) {
      work.attempts.keySeen = true;
      throw new SteeringError(ResultCode.keyMismatch);
    }
    const kept = execution.finalAnswer ?? await this.#waitFor(work, execution);
    const unseen = kept.kind === "failed" &&
      kept.code === ResultCode.claimStoreAway.code;
    work.attempts.keySeen = !unseen;
    switch (kept.kind) {
      case "failed":
        throw errorFromCode(kept.code, kept.detail);
      case "answered":
        return keptToAnswer(kept);
    }
  }

  #waitFor(work: Work, execution: Execution): Promise<KeptAnswer> {
    const left = Math.max(1, work.deadlineMillis - this.#now());
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<never>((_, reject) => {
      timer = setTimeout(
        () => reject(new SteeringError(ResultCode.deadlineWhileRunning)),
        left,
      );
    });
    return Promise.race([execution.done, late]).finally(() =>
      clearTimeout(timer)
    );
  }

  #now(): number {
    return this.#options.context.clock.nowMillis();
  }
}

function toFailure(failure: SteeringError): KeptAnswer {
  const { code, outcome } = failure.info;
  return { kind: "failed", code, detail: failure.detail, outcome };
}

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

function toAnswer(stored: StoredAnswer): Answer {
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
