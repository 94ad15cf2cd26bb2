/**
 * Objects of the configuration are named by the hash of their content, so a
 * stale or damaged object can't pass for another.
 */
import { hash } from "node:crypto";
import type { ConfigBody } from "@bamboolane/types/fleet";

/** Content hash of an object, as hexadecimal text. */
export function contentHash(content: Uint8Array): string {
  return hash("sha256", content, "hex");
}

/** Serializes a revision. */
export function encodeBody(body: ConfigBody): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(body));
}

/** Reads a revision; undefined where the content doesn't match its name. */
export function decodeBody(
  content: Uint8Array,
  expected: string,
): ConfigBody | undefined {
  if (contentHash(content) !== expected) return undefined;
  return JSON.parse(new TextDecoder().decode(content)) as ConfigBody;
}
