/**
 * The error type used throughout the system: a result code with detail.
 */
import type { Outcome } from "@bamboolane/types/request";
import { findResultCode, type ResultCodeInfo } from "./result_code.ts";

/** A refusal or failure, with its numbered code. */
export class SteeringError extends Error {
  readonly info: ResultCodeInfo;
  readonly detail: string;

  constructor(info: ResultCodeInfo, detail = "") {
    super(detail === "" ? info.meaning : `${info.meaning} ${detail}`);
    this.name = "SteeringError";
    this.info = info;
    this.detail = detail;
  }

  get outcome(): Outcome {
    return this.info.outcome;
  }

  /** The body that callers and operators receive. */
  toBody(): {
    code: number;
    result: string;
    outcome: Outcome;
    error: string;
    remedy: string;
  } {
    return {
      code: this.info.code,
      result: this.info.name,
      outcome: this.info.outcome,
      error: this.message,
      remedy: this.info.remedy,
    };
  }
}

/** Restores an error that was sent or stored as code number and detail. */
export function errorFromCode(code: number, detail: string): SteeringError {
  return new SteeringError(findResultCode(code), detail);
}

/** Converts any thrown value to a {@link SteeringError}; `fallback` is its code. */
export function toSteeringError(
  error: unknown,
  fallback: ResultCodeInfo,
): SteeringError {
  if (error instanceof SteeringError) return error;
  const detail = error instanceof Error ? error.message : String(error);
  return new SteeringError(fallback, detail);
}
