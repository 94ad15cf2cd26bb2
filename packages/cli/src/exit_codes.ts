/**
 * Exit codes of the command line; the table is in docs/COMMANDS.md.
 */
import {
  ResultCode,
  type ResultCodeInfo,
} from "@bamboolane/errors/result_code";

/** Exit codes by meaning. */
export const ExitCode = {
  ok: 0,
  usage: 2,
  invalid: 3,
  unauthorized: 4,
  conflict: 5,
  unavailable: 6,
  inDoubt: 7,
  notFound: 8,
  internal: 70,
} as const;

/** Returns the exit code for a result code. */
export function exitCodeFor(info: ResultCodeInfo): number {
  switch (info) {
    case ResultCode.ok:
      return ExitCode.ok;
    case ResultCode.badRequest:
    case ResultCode.invalidConfiguration:
      return ExitCode.invalid;
    case ResultCode.unauthorized:
      return ExitCode.unauthorized;
    case ResultCode.conflict:
      return ExitCode.conflict;
    case ResultCode.publishInDoubt:
      return ExitCode.inDoubt;
    case ResultCode.notFound:
    case ResultCode.unknownMember:
    case ResultCode.unknownService:
      return ExitCode.notFound;
    case ResultCode.internal:
      return ExitCode.internal;
    default:
      return ExitCode.unavailable;
  }
}
