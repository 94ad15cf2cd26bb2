/**
 * Steps for answers that are written to callers.
 */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { connect } from "node:net";
import { Then, When } from "@cucumber/cucumber";
import type { Answer } from "@bamboolane/entry/answer";
import { writeAnswer } from "@bamboolane/entry/answer_writer";

let callerError: NodeJS.ErrnoException | undefined;

async function* breakOff(): AsyncGenerator<Uint8Array> {
  yield new TextEncoder().encode("half");
  await new Promise((resolve) => setTimeout(resolve, 50));
  throw new Error("cut");
}

When(
  "an answer breaks off while it is streamed to a caller of HTTP\\/1.0",
  async () => {
    const answer: Answer = {
      status: 200,
      headers: [],
      target: "t1",
      dataCentre: "a1",
      body: { kind: "stream", chunks: breakOff() },
      cancel: () => {},
    };
    const server = createServer((_request, response) => {
      const ids = { request: "r", entry: "e" };
      writeAnswer(response, answer, ids).catch(() => {});
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as { port: number };
    callerError = undefined;
    const socket = connect({ host: "127.0.0.1", port });
    socket.on("error", (error) => callerError = error);
    socket.on("data", () => {});
    socket.write("GET / HTTP/1.0\r\n\r\n");
    await new Promise<void>((resolve) => socket.once("close", () => resolve()));
    server.close();
  },
);

Then("that caller's connection was reset", () => {
  assert.equal(callerError?.code, "ECONNRESET");
});
