/**
 * Steps for the platform's HTTP adapter.
 */
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { connectPlatform } from "@bamboolane/platform/http_platform";
import { type Platform, StoreUncertainError } from "@bamboolane/platform/ports";

let server: Server | undefined;
let platform: Platform | undefined;
let failure: unknown;

After(async () => {
  await platform?.close();
  server?.close();
  platform = undefined;
  server = undefined;
});

Given(
  "a platform that answers writes with text that is not JSON",
  async () => {
    server = createServer((_request, response) => response.end("{cut"));
    const listening = server;
    await new Promise<void>((resolve) =>
      listening.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as { port: number };
    platform = connectPlatform(`http://127.0.0.1:${port}`, {
      timeoutMillis: 1000,
    });
  },
);

When("a row is written", async () => {
  assert.ok(platform);
  const write = { key: "k", expectVersion: 0, value: 1 };
  failure = await platform.table.transact([write]).catch((error) => error);
});

Then("the outcome of the write is uncertain", () => {
  assert.ok(failure instanceof StoreUncertainError, String(failure));
});
