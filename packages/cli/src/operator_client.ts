/**
 * Client of an entry's operator interface.
 */
import process from "node:process";
import { readFile } from "node:fs/promises";
import { request } from "undici";
import { findResultCode, ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";

/** Address and credentials for an entry's operator interface. */
export interface OperatorOptions {
  /** Base URL of the operator interface. */
  operator: string;
  token?: string;
  tokenFile?: string;
}

/** Environment variable that holds the token. */
const TOKEN_VARIABLE = "BAMBOOLANE_TOKEN";

async function readToken(options: OperatorOptions): Promise<string> {
  if (options.token !== undefined) return options.token;
  if (options.tokenFile !== undefined) {
    return (await readFile(options.tokenFile, "utf8")).trim();
  }
  return process.env[TOKEN_VARIABLE] ?? "";
}

interface ErrorBody {
  code?: number;
  error?: string;
}

/** Sends one call; rejects with a {@link SteeringError} unless it succeeds. */
export async function callOperator<T>(
  options: OperatorOptions,
  call: { method: "GET" | "POST"; path: string; body?: unknown },
): Promise<T> {
  const token = await readToken(options);
  const response = await request(new URL(call.path, options.operator), {
    method: call.method,
    headers: { authorization: `Bearer ${token}` },
    body: call.body === undefined ? undefined : JSON.stringify(call.body),
  }).catch((error) => {
    throw new SteeringError(
      ResultCode.peerUnreachable,
      `${options.operator}: ${error.message}. Check --operator.`,
    );
  });
  const value = await response.body.json();
  if (response.statusCode === 200) return value as T;
  const { code = ResultCode.internal.code, error = "" } = value as ErrorBody;
  const info = findResultCode(code);
  throw new SteeringError(info, error.replace(info.meaning, "").trim());
}
