/**
 * Steps for the start of an entry.
 */
import assert from "node:assert/strict";
import type { Server } from "node:http";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { serveReadiness } from "@bamboolane/gateway/directory_server";
import { createLogger } from "@bamboolane/logger/create_logger";
import { reserveAddress } from "@bamboolane/test-utils/loopback_address";
import { testDialect } from "./support/test_gateway.ts";

let logText = "";
let listener: { server: Server; address: string } | undefined;
const log = createLogger({
  level: "info",
  write: (text) => logText += text,
});

After(() => {
  logText = "";
  listener?.server.close();
  listener = undefined;
});

Given("an open readiness listener", async () => {
  const address = reserveAddress();
  const options = { log, dialect: testDialect, isReady: () => true };
  listener = { address, server: await serveReadiness(address, options) };
});

When("accepting a connection fails twice", () => {
  for (let i = 0; i < 2; i++) {
    listener?.server.emit("error", new Error("accept EMFILE"));
  }
});

Then(
  "each failure is in the log, and the listener answers {int}",
  async (status: number) => {
    const response = await request(
      `http://${listener?.address}${testDialect.readinessPath}`,
    );
    await response.body.dump();
    assert.equal(response.statusCode, status);
    log.flush();
    assert.equal(logText.match(/event=accept_connection_failed/g)?.length, 2);
  },
);
