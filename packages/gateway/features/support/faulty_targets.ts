/**
 * Scripts of targets whose answers come late, twice, without end, or broken off.
 */
import type { Socket } from "node:net";
import { RESULT_HEADER } from "@bamboolane/gateway/forwarding_headers";
import {
  formatResponse,
  type ReceivedRequest,
  type Script,
} from "@bamboolane/standins/scripted_target";
import { pause } from "./scenario.ts";
import { answerValidly, bodyOf, signedHeaders } from "./target_answers.ts";

/** Time that the target works on a request whose answer follows a late copy. */
const WORK_MILLIS = 50;
/** More than an entry buffers. */
const LONG_ANSWER_BYTES = 400_000;
const ENDLESS_LENGTH = "Content-Length: 9000000000";

/** Bytes that targets wrote in answers without end, since the start of the scenario. */
export const endless = { bytes: 0 };

let previousAnswer = "";

/** Forgets what targets of earlier scenarios sent. */
export function resetFaultyTargets(): void {
  previousAnswer = "";
  endless.bytes = 0;
}

function refusalHeaders(received: ReceivedRequest): Record<string, string> {
  return {
    "Test-Request": received.headers["test-request"],
    "Test-Not-Run": "1",
  };
}

/** Sends the first answer again when the second request arrives, before its answer. */
function answerWithLateCopies(
  formatAnswer: (received: ReceivedRequest) => string,
): Script {
  return async (received, socket) => {
    if (previousAnswer === "") {
      previousAnswer = formatAnswer(received);
      socket.write(previousAnswer);
      return;
    }
    socket.write(previousAnswer);
    await pause(WORK_MILLIS);
    answerValidly(received, socket);
  };
}

/** Writes until the other side closes the connection. */
async function sendEndlessly(
  socket: Socket,
  parts: { start: string; repeated: string },
): Promise<void> {
  socket.write(parts.start);
  while (!socket.destroyed) {
    endless.bytes += parts.repeated.length;
    if (!socket.write(parts.repeated)) {
      await new Promise<void>((resolve) => {
        socket.once("drain", resolve);
        socket.once("close", () => resolve());
      });
    }
    await pause(1);
  }
}

function sendBodyEndlessly(
  socket: Socket,
  head: { status: number; headers: Record<string, string> },
): Promise<void> {
  return sendEndlessly(socket, {
    start: formatResponse(head.status, head.headers, "").replace(
      "Content-Length: 0",
      ENDLESS_LENGTH,
    ),
    repeated: "x".repeat(65_536),
  });
}

/** Sends an answer without its end; chunks are sent as one of 8 bytes. */
function sendHalf(
  received: ReceivedRequest,
  socket: Socket,
  options: { framing: string; resets?: boolean },
): void {
  const head = formatResponse(200, signedHeaders(received), "")
    .replace("Content-Length: 0", options.framing);
  const body = options.framing.endsWith("chunked")
    ? "8\r\n12345678\r\n"
    : "12345678";
  socket.write(head + body, () => {
    if (options.resets) socket.resetAndDestroy();
    else socket.end();
  });
}

/** Answers whose status line or status is no valid one, by the status. */
function answerWithStatus(status: string, body = ""): Script {
  return (received, socket) => {
    const answer = formatResponse(200, signedHeaders(received), body);
    socket.write(answer.replace("HTTP/1.1 200 ", `HTTP/1.1 ${status} `));
  };
}

/** Scripts by the phrase that features use for them. */
export const FAULTY_SCRIPTS: Record<string, Script> = {
  "answers with the status 000": answerWithStatus("000"),
  "answers with the status 099": answerWithStatus("099"),
  "answers with the status 600": answerWithStatus("600"),
  "answers with the status 999": answerWithStatus("999"),
  "answers with the status 600 at length": answerWithStatus(
    "600",
    "x".repeat(LONG_ANSWER_BYTES),
  ),
  "answers that it did not run, with the status 600": (received, socket) => {
    socket.write(formatResponse(600, refusalHeaders(received), ""));
  },
  "answers the request p1 with the status 600": (received, socket) =>
    received.headers["test-request"] === "p1"
      ? answerWithStatus("600")(received, socket)
      : answerValidly(received, socket),
  "sends a late copy of each refusal before the next answer":
    answerWithLateCopies((received) =>
      formatResponse(503, refusalHeaders(received), "")
    ),
  "sends a late copy of each unnamed refusal before the next answer":
    answerWithLateCopies(() =>
      formatResponse(503, { "Test-Not-Run": "1" }, "")
    ),
  "answers like an entry that refuses": (received, socket) => {
    const headers = { ...signedHeaders(received), [RESULT_HEADER]: "refused" };
    socket.write(formatResponse(200, headers, bodyOf(received)));
  },
  "answers without an id and closes": (received, socket) => {
    const headers = { "Test-Signature": "valid", "Connection": "close" };
    socket.end(formatResponse(200, headers, bodyOf(received)));
  },
  "sends a late copy of each answer before the next answer":
    answerWithLateCopies((received) =>
      formatResponse(200, signedHeaders(received), bodyOf(received))
    ),
  "sends an unsigned answer without end": (received, socket) => {
    const { "Test-Signature": _signature, ...headers } = signedHeaders(
      received,
    );
    return sendBodyEndlessly(socket, { status: 200, headers });
  },
  "sends a refusal without end": (received, socket) =>
    sendBodyEndlessly(socket, {
      status: 503,
      headers: refusalHeaders(received),
    }),
  "sends a refusal but not its body": (received, socket) => {
    const refusal = formatResponse(503, refusalHeaders(received), "");
    socket.write(refusal.replace("Content-Length: 0", "Content-Length: 9"));
  },
  "sends a refusal and resets in its body": (received, socket) => {
    const refusal = formatResponse(503, refusalHeaders(received), "");
    socket.write(
      refusal.replace("Content-Length: 0", "Content-Length: 9"),
      () => setTimeout(() => socket.resetAndDestroy(), 20),
    );
  },
  "sends a header without end": (_received, socket) =>
    sendEndlessly(socket, {
      start: "HTTP/1.1 200 OK\r\nTest-Filler: ",
      repeated: "x".repeat(16_384),
    }),
  "sends headers without end": (_received, socket) =>
    sendEndlessly(socket, {
      start: "HTTP/1.1 200 OK\r\n",
      repeated: "Test-Filler: x\r\n".repeat(1000),
    }),
  "sends a status line without end": (_received, socket) =>
    sendEndlessly(socket, {
      start: "HTTP/1.1 200 ",
      repeated: "x".repeat(16_384),
    }),
  "sends informational answers without end": (_received, socket) =>
    sendEndlessly(socket, {
      start: "",
      repeated: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(500),
    }),
  "sends blank lines without end": (_received, socket) =>
    sendEndlessly(socket, { start: "", repeated: "\r\n".repeat(8192) }),
  "sends a long 503 after running": (received, socket) => {
    const body = "x".repeat(LONG_ANSWER_BYTES);
    socket.write(formatResponse(503, signedHeaders(received), body));
  },
  "sends most of a long answer and resets": (received, socket) => {
    const answer = formatResponse(
      200,
      signedHeaders(received),
      "x".repeat(LONG_ANSWER_BYTES),
    );
    socket.write(
      answer.slice(0, -1000),
      () => setTimeout(() => socket.resetAndDestroy(), WORK_MILLIS),
    );
  },
  "sends a valid answer without end": (received, socket) =>
    sendBodyEndlessly(socket, {
      status: 200,
      headers: signedHeaders(received),
    }),
  "sends half an answer in another transfer coding and resets": (
    received,
    socket,
  ) =>
    sendHalf(received, socket, {
      framing: "Transfer-Encoding: identity",
      resets: true,
    }),
  "sends half an answer in chunks and closes": (received, socket) =>
    sendHalf(received, socket, { framing: "Transfer-Encoding: chunked" }),
  "sends half an answer with a length and closes": (received, socket) =>
    sendHalf(received, socket, { framing: "Content-Length: 100" }),
};
