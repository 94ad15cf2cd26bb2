/**
 * Numbered result codes of every answer that the system itself makes.
 * The table in docs/RESULT-CODES.md is generated from this list.
 */
import { Outcome } from "@bamboolane/types/request";

/** One result code with its meaning. */
export interface ResultCodeInfo {
  code: number;
  name: string;
  /** HTTP status that carries the code towards callers. */
  status: number;
  outcome: Outcome;
  meaning: string;
  remedy: string;
}

function define(
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

const retryElsewhere = "Send it again, to the next entry of the look-up.";

/** All result codes by name. */
export const ResultCode = {
  ok: define(0, "ok", ran(200, "The request was answered by a target.", "")),
  badRequest: define(
    100,
    "bad-request",
    notRun(400, "The request is malformed.", "Correct the named field."),
  ),
  unknownMember: define(
    101,
    "unknown-member",
    notRun(
      404,
      "No such member in the configuration.",
      "Check the path and the configuration.",
    ),
  ),
  unknownService: define(
    102,
    "unknown-service",
    notRun(
      404,
      "No such service, or the member may not use it.",
      "Check the path and the configuration.",
    ),
  ),
  headerTooLarge: define(
    103,
    "header-too-large",
    notRun(431, "The headers exceed the limit.", "Send fewer header bytes."),
  ),
  bodyTooLarge: define(
    104,
    "body-too-large",
    notRun(413, "The body exceeds the limit.", "Send a smaller body."),
  ),
  keyRequired: define(
    110,
    "key-required",
    notRun(
      428,
      "A non-idempotent request came without an idempotency key.",
      "Fetch a ticket or send your own key.",
    ),
  ),
  keyMismatch: define(
    111,
    "key-mismatch",
    notRun(
      409,
      "The key was used for a different request.",
      "Use a new key for new work.",
    ),
  ),
  ticketExpired: define(
    112,
    "ticket-expired",
    unknown(
      410,
      "The ticket expired; this send was not run, an earlier one may have been.",
      "If the ticket was never sent before, fetch a new one.",
    ),
  ),
  ticketInvalid: define(
    113,
    "ticket-invalid",
    notRun(400, "The ticket was never issued.", "Fetch tickets from an entry."),
  ),
  claimStoreAway: define(
    114,
    "claim-store-away",
    notRun(
      503,
      "The platform's table is away, so the key can't be claimed.",
      "Use a ticket, or send it again later.",
    ),
  ),
  refusedKeyUnseen: define(
    115,
    "refused-key-unseen",
    unknown(
      503,
      "This send was refused before its key was looked up; an earlier send may have run.",
      "Send it again with the same key.",
    ),
  ),
  ticketVoid: define(
    116,
    "ticket-void",
    notRun(
      410,
      "The instance that issued the ticket has ended and never ran it.",
      "Fetch a new ticket.",
    ),
  ),
  noConfiguration: define(
    200,
    "no-configuration",
    notRun(503, "The instance holds no configuration yet.", retryElsewhere),
  ),
  stopping: define(
    201,
    "stopping",
    notRun(503, "The instance is stopping.", retryElsewhere),
  ),
  noTarget: define(
    202,
    "no-target",
    notRun(503, "No target of the service can take work.", retryElsewhere),
  ),
  overloaded: define(
    203,
    "overloaded",
    notRun(
      503,
      "All allowed data centres refused admission.",
      "Send it again after a pause.",
    ),
  ),
  queueTimeout: define(
    204,
    "queue-timeout",
    notRun(
      503,
      "The request waited too long for a slot.",
      "Send it again after a pause.",
    ),
  ),
  capReached: define(
    206,
    "cap-reached",
    notRun(
      503,
      "The data centre's cap leaves no room.",
      "Send it again after a pause.",
    ),
  ),
  notOwner: define(
    207,
    "not-owner",
    notRun(
      503,
      "The instance doesn't own the pool.",
      "None: entries handle it themselves.",
    ),
  ),
  peerUnreachable: define(
    208,
    "peer-unreachable",
    notRun(
      503,
      "The connection to another entry could not be opened.",
      retryElsewhere,
    ),
  ),
  targetRefused: define(
    210,
    "target-refused",
    notRun(
      503,
      "The target refused the request in the declared form.",
      "Send it again after a pause.",
    ),
  ),
  heldBack: define(
    211,
    "held-back",
    notRun(
      422,
      "This request was in flight on two targets that crashed; it is held back.",
      "Change the request, or ask the service's owner.",
    ),
  ),
  connectFailed: define(
    212,
    "connect-failed",
    notRun(503, "The target accepted no connection.", retryElsewhere),
  ),
  callerCancelledBeforeRun: define(
    213,
    "cancelled-before-run",
    notRun(499, "The caller went away before the request ran.", ""),
  ),
  deadlineWhileRunning: define(
    300,
    "deadline-while-running",
    unknown(
      504,
      "The deadline passed while a target ran the request.",
      "Resend with the same key to learn the outcome.",
    ),
  ),
  targetLost: define(
    301,
    "target-lost",
    unknown(
      502,
      "The target's connection broke while it ran the request.",
      "Resend with the same key to learn the outcome.",
    ),
  ),
  peerLost: define(
    302,
    "peer-lost",
    unknown(
      502,
      "The entry that ran the request went away.",
      "Resend with the same key to learn the outcome.",
    ),
  ),
  ticketHolderGone: define(
    303,
    "ticket-holder-gone",
    unknown(
      409,
      "The instance that issued the ticket is gone or out of reach.",
      "The outcome can't be told; check with the service before using a new ticket.",
    ),
  ),
  claimInDoubt: define(
    304,
    "claim-in-doubt",
    unknown(
      409,
      "Another attempt with this key may have run.",
      "Check with the service before using a new key.",
    ),
  ),
  callerCancelled: define(
    305,
    "cancelled",
    unknown(499, "The caller went away while the request ran.", ""),
  ),
  answerTooLarge: define(
    310,
    "answer-not-kept",
    ran(409, "The request ran; its answer was not kept.", "Ask the service."),
  ),
  answerCut: define(
    311,
    "answer-cut",
    unknown(
      502,
      "The target cut its answer short.",
      "Resend with the same key to learn the outcome.",
    ),
  ),
  unauthorized: define(
    400,
    "unauthorized",
    notRun(
      401,
      "The operator's credential is missing or wrong.",
      "Pass a valid token.",
    ),
  ),
  invalidConfiguration: define(
    401,
    "invalid-configuration",
    notRun(422, "The document breaks a rule.", "Correct the named lines."),
  ),
  conflict: define(
    402,
    "conflict",
    notRun(
      409,
      "Another change was accepted first.",
      "Look at it, then apply your change on top.",
    ),
  ),
  storeAway: define(
    403,
    "store-away",
    notRun(
      503,
      "The platform's store did not answer; nothing was changed.",
      "Try again when the store is back.",
    ),
  ),
  publishInDoubt: define(
    404,
    "publish-in-doubt",
    unknown(
      504,
      "The store's answer was lost and could not be settled in time.",
      "Run the same command with the same change id; it is applied at most once.",
    ),
  ),
  notFound: define(
    405,
    "not-found",
    notRun(404, "Nothing by that name.", "Check the name with `status`."),
  ),
  internal: define(
    500,
    "internal",
    unknown(500, "A fault in this program.", "Report it with the log line."),
  ),
} as const satisfies Record<string, ResultCodeInfo>;

/** Returns the code's description for its number, or the internal fault's. */
export function findResultCode(code: number): ResultCodeInfo {
  const all: ResultCodeInfo[] = Object.values(ResultCode);
  return all.find((info) => info.code === code) ?? ResultCode.internal;
}
