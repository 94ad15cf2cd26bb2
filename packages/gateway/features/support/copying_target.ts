/**
 * Targets that refuse each request once and send copies of their refusals.
 */
import type { Socket } from "node:net";
import {
  formatResponse,
  type Script,
} from "@bamboolane/standins/scripted_target";
import { pause, world } from "./scenario.ts";
import { answerValidly } from "./target_answers.ts";

/** Time that the target works on a request whose answer follows a copy. */
const WORK_MILLIS = 30;

/** When a copy is sent. */
export type CopyMoment =
  | "before the next answer"
  | "with the next request"
  | "in pieces before the next answer"
  | "before the next request's body was read"
  | "half behind the refusal, half later"
  | "right behind the refusal"
  | "40 ms behind the refusal";

/** Number of runs, by the id of the request. */
export const runs = new Map<string, number>();

/** A refusal that was sent, and the connection that carried it. */
interface Refusal {
  text: string;
  connection: number;
}

/** What is refused, and how. */
export interface CopyingOptions {
  status: number;
  moment: CopyMoment;
  headers?: Record<string, string>;
}

/** Adds a target that sends its refusals again. */
export function addCopyingTarget(
  id: string,
  options: CopyingOptions,
): Promise<void> {
  return world.system.addTarget(id, createCopyingScript(options), {
    respondOnHead: options.moment === "before the next request's body was read",
  });
}

/** Script that refuses each request once, and sends the refusal again. */
export function createCopyingScript(options: CopyingOptions): Script {
  const { status, moment, headers } = options;
  const refusals = new Map<string, Refusal>();
  /** Refusals that are sent again with the next request, by connection. */
  const pendingCopies = new Map<number, string>();
  return async (received, socket) => {
    const requestId = received.headers["test-request"];
    const refusal = refusals.get(requestId);
    const { connection } = received;
    socket.write(pendingCopies.get(connection) ?? "");
    pendingCopies.delete(connection);
    if (refusal === undefined) {
      const text = formatResponse(status, {
        "Test-Request": requestId,
        "Test-Not-Run": "1",
        ...headers,
      }, "refused");
      refusals.set(requestId, { text, connection });
      if (moment === "with the next request") {
        pendingCopies.set(connection, text);
      }
      await sendRefusal(text, { moment, socket });
      return;
    }
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    if (refusal.connection === connection) {
      await sendCopy(refusal.text, { moment, socket });
    }
    await pause(WORK_MILLIS);
    answerValidly(received, socket);
  };
}

async function sendRefusal(
  text: string,
  options: { moment: CopyMoment; socket: Socket },
): Promise<void> {
  const { moment, socket } = options;
  switch (moment) {
    case "right behind the refusal":
      socket.write(text + text);
      return;
    case "half behind the refusal, half later":
      socket.write(text + text.slice(0, text.length / 2));
      return;
    case "40 ms behind the refusal":
      socket.write(text);
      await pause(40);
      socket.write(text);
      return;
    case "before the next answer":
    case "with the next request":
    case "in pieces before the next answer":
    case "before the next request's body was read":
      socket.write(text);
  }
}

async function sendCopy(
  text: string,
  options: { moment: CopyMoment; socket: Socket },
): Promise<void> {
  const { moment, socket } = options;
  switch (moment) {
    case "before the next answer":
    case "before the next request's body was read":
      socket.write(text);
      return;
    case "in pieces before the next answer":
      for (const part of text.split(/(?<=\r\n)/)) {
        socket.write(part);
        await pause(2);
      }
      return;
    case "half behind the refusal, half later":
      socket.write(text.slice(text.length / 2));
      return;
    case "with the next request":
    case "right behind the refusal":
    case "40 ms behind the refusal":
  }
}
