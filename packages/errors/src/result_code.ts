/**
 * Numbered result codes of all answers that the system itself generates.
 * The table in docs/RESULT-CODES.md is generated from this list.
 */
import { Outcome } from "@bamboolane/types/request";

/** One result code with its meaning. */
export interface ResultCodeInfo {
  code: number;
  name: string;
  /** HTTP status with which the code is sent to callers. */
  status: number;
  outcome: Outcome;
  meaning: string;
  /** What the receiver can do; empty if nothing. */
  remedy: string;
}

function defineCode(
  code: number,
  name: string,
  rest: Omit<ResultCodeInfo, "code" | "name">,
): ResultCodeInfo {
  return { code, name, ...rest };
}

function notRun(status: number, meaning: string, remedy: string) {
  return { status, outcome: Outcome.notRun, meaning, remedy };
}

function unknown(status: number, meaning: string, remedy: string) {
  return { status, outcome: Outcome.unknown, meaning, remedy };
}

function ran(status: number, meaning: string, remedy: string) {
  return { status, outcome: Outcome.ran, meaning, remedy };
}

const RETRY_ELSEWHERE = "Send it again, to the next entry of the look-up.";

/** All result codes by name. */
export const ResultCode = {
  ok: defineCode(
    0,
    "ok",
    ran(200, "The request was answered by a target.", ""),
  ),
  badRequest: defineCode(
    100,
    "bad-request",
    notRun(400, "The request is malformed.", "Correct the named field."),
  ),
  unknownMember: defineCode(
    101,
    "unknown-member",
    notRun(
      404,
      "No such member in the configuration.",
      "Check the path and the configuration.",
    ),
  ),
  unknownService: defineCode(
    102,
    "unknown-service",
    notRun(
      404,
      "No such service, or the member may not use it.",
      "Check the path and the configuration.",
    ),
  ),
  headerTooLarge: defineCode(
    103,
    "header-too-large",
    notRun(431, "The headers exceed the limit.", "Send fewer header bytes."),
  ),
  bodyTooLarge: defineCode(
    104,
    "body-too-large",
    notRun(413, "The body exceeds the limit.", "Send a smaller body."),
  ),
  keyRequired: defineCode(
    110,
    "key-required",
    notRun(
      428,
      "A non-idempotent request came without an idempotency key.",
      "Fetch a ticket or send your own key.",
    ),
  ),
  keyMismatch: defineCode(
    111,
    "key-mismatch",
    notRun(
      409,
      "The key was used for a different request.",
      "Use a new key for new work.",
    ),
  ),
  ticketExpired: defineCode(
    112,
    "ticket-expired",
    unknown(
      410,
      "The ticket expired; this send was not run, an earlier one may have been.",
      "If the ticket was never sent before, fetch a new one.",
    ),
  ),
  ticketInvalid: defineCode(
    113,
    "ticket-invalid",
    notRun(400, "The ticket was never issued.", "Fetch tickets from an entry."),
  ),
  claimStoreAway: defineCode(
    114,
    "claim-store-away",
    notRun(
      503,
      "The platform's table is unavailable, so the key can't be claimed.",
      "Use a ticket, or send it again later.",
    ),
  ),
  refusedKeyUnseen: defineCode(
    115,
    "refused-key-unseen",
    unknown(
      503,
      "This send was refused before its key was looked up; an earlier send may have run.",
      "Send it again with the same key.",
    ),
  ),
  ticketVoid: defineCode(
    116,
    "ticket-void",
    notRun(
      410,
      "The instance that issued the ticket has ended and never ran it.",
      "Fetch a new ticket.",
    ),
  ),
  noConfiguration: defineCode(
    200,
    "no-configuration",
    notRun(503, "The instance holds no configuration yet.", RETRY_ELSEWHERE),
  ),
  stopping: defineCode(
    201,
    "stopping",
    notRun(503, "The instance is stopping.", RETRY_ELSEWHERE),
  ),
  noTarget: defineCode(
    202,
    "no-target",
    notRun(503, "No target of the service can take work.", RETRY_ELSEWHERE),
  ),
  overloaded: defineCode(
    203,
    "overloaded",
    notRun(
      503,
      "All allowed data centres refused admission.",
      "Send it again after a pause.",
    ),
  ),
  queueTimeout: defineCode(
    204,
    "queue-timeout",
    notRun(
      503,
      "The request waited too long for a slot.",
      "Send it again after a pause.",
    ),
  ),
  capReached: defineCode(
    206,
    "cap-reached",
    notRun(
      503,
      "The data centre's cap leaves no room.",
      "Send it again after a pause.",
    ),
  ),
  notOwner: defineCode(
    207,
    "not-owner",
    notRun(
      503,
      "The instance doesn't own the pool.",
      "None: entries handle it themselves.",
    ),
  ),
  peerUnreachable: defineCode(
    208,
    "peer-unreachable",
    notRun(
      503,
      "The connection to another entry could not be opened.",
      RETRY_ELSEWHERE,
    ),
  ),
  targetRefused: defineCode(
    210,
    "target-refused",
    notRun(
      503,
      "The target refused the request in the declared form.",
      "Send it again after a pause.",
    ),
  ),
  heldBack: defineCode(
    211,
    "held-back",
    notRun(
      422,
      "This request was in flight on two targets that crashed; it is held back.",
      "Change the request, or ask the service's owner.",
    ),
  ),
  connectFailed: defineCode(
    212,
    "connect-failed",
    notRun(503, "The target accepted no connection.", RETRY_ELSEWHERE),
  ),
  callerCancelledBeforeRun: defineCode(
    213,
    "cancelled-before-run",
    notRun(499, "The caller disconnected before the request ran.", ""),
  ),
  deadlineWhileRunning: defineCode(
    300,
    "deadline-while-running",
    unknown(
      504,
      "The deadline passed while a target ran the request.",
      "Resend with the same key to learn the outcome.",
    ),
  ),
  targetLost: defineCode(
    301,
    "target-lost",
    unknown(
      502,
      "The target's connection broke while it ran the request.",
      "Resend with the same key to learn the outcome.",
    ),
  ),
  peerLost: defineCode(
    302,
    "peer-lost",
    unknown(
      502,
      "The connection to the entry that ran the request was lost.",
      "Resend with the same key to learn the outcome.",
    ),
  ),
  ticketHolderGone: defineCode(
    303,
    "ticket-holder-gone",
    unknown(
      409,
      "The instance that issued the ticket is gone or out of reach.",
      "The outcome can't be determined; check with the service before using a new ticket.",
    ),
  ),
  claimInDoubt: defineCode(
    304,
    "claim-in-doubt",
    unknown(
      409,
      "Another attempt with this key may have run.",
      "Check with the service before using a new key.",
    ),
  ),
  callerCancelled: defineCode(
    305,
    "cancelled",
    unknown(499, "The caller disconnected while the request ran.", ""),
  ),
  answerTooLarge: defineCode(
    310,
    "answer-not-kept",
    ran(409, "The request ran; its answer was not kept.", "Ask the service."),
  ),
  answerCut: defineCode(
    311,
    "answer-cut",
    unknown(
      502,
      "The target cut its answer short.",
      "Resend with the same key to learn the outcome.",
    ),
  ),
  unauthorized: defineCode(
    400,
    "unauthorized",
    notRun(
      401,
      "The operator's credential is missing or wrong.",
      "Pass a valid token.",
    ),
  ),
  invalidConfiguration: defineCode(
    401,
    "invalid-configuration",
    notRun(422, "The document breaks a rule.", "Correct the named lines."),
  ),
  conflict: defineCode(
    402,
    "conflict",
    notRun(
      409,
      "Another change was accepted first.",
      "Look at it, then apply your change on top.",
    ),
  ),
  storeAway: defineCode(
    403,
    "store-away",
    notRun(
      503,
      "The platform's store did not answer; nothing was changed.",
      "Try again when the store is back.",
    ),
  ),
  publishInDoubt: defineCode(
    404,
    "publish-in-doubt",
    unknown(
      504,
      "The store's answer was lost and the outcome could not be determined in time.",
      "Run the same command with the same change id; it is applied at most once.",
    ),
  ),
  notFound: defineCode(
    405,
    "not-found",
    notRun(404, "Nothing by that name.", "Check the name with `status`."),
  ),
  internal: defineCode(
    500,
    "internal",
    unknown(500, "A fault in this program.", "Report it with the log line."),
  ),
} as const satisfies Record<string, ResultCodeInfo>;

/** Returns the result code with the given number, or `internal` if there is none. */
export function findResultCode(code: number): ResultCodeInfo {
  const all: ResultCodeInfo[] = Object.values(ResultCode);
  return all.find((info) => info.code === code) ?? ResultCode.internal;
}
