/**
 * Configuration objects are content-addressed: an object's name is the hash of
 * its content, so a stale or corrupt object is never taken for another.
 */
import { hash } from "node:crypto";
import type { ConfigBody } from "@bamboolane/types/fleet";

/** SHA-256 of an object's content, in hexadecimal. */
export function contentHash(content: Uint8Array): string {
  return hash("sha256", content, "hex");
}

/** Serializes the body of a revision. */
export function encodeBody(body: ConfigBody): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(body));
}

/** Parses the body of a revision; undefined if its hash isn't `expectedHash`. */
export function decodeBody(
  content: Uint8Array,
  expectedHash: string,
): ConfigBody | undefined {
  if (contentHash(content) !== expectedHash) return undefined;
  return JSON.parse(new TextDecoder().decode(content)) as ConfigBody;
}
