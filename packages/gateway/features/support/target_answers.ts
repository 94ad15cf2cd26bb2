/**
 * Valid answers of targets in the dialect of the tests.
 */
import type { Socket } from "node:net";
import {
  formatResponse,
  type ReceivedRequest,
} from "@bamboolane/standins/scripted_target";

/** Body of the valid answer to a request. */
export function bodyOf(received: ReceivedRequest): string {
  return `body of ${received.headers["test-request"]}`;
}

/** Headers of the valid answer to a request. */
export function signedHeaders(
  received: ReceivedRequest,
): Record<string, string> {
  return {
    "Test-Request": received.headers["test-request"],
    "Test-Signature": "valid",
    "Test-Load": "1,0,3",
  };
}

/** Writes the valid answer to a request. */
export function answerValidly(
  received: ReceivedRequest,
  socket: Socket,
): void {
  socket.write(formatResponse(200, signedHeaders(received), bodyOf(received)));
}
