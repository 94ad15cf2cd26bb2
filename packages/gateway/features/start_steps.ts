/**
 * Steps for the start of an entry.
 */
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer as createHttpServer, type Server } from "node:http";
import { createServer } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { serveReadiness } from "@bamboolane/gateway/directory_server";
import type { GatewaySettings } from "@bamboolane/gateway/gateway_settings";
import { listen } from "@bamboolane/gateway/listen";
import { createLogger } from "@bamboolane/logger/create_logger";
import { reserveAddress } from "@bamboolane/test-utils/loopback_address";
import { gatewayOf, world } from "./support/scenario.ts";
import {
  testDialect,
  TestGateway,
  until,
  untilWithin,
} from "./support/test_gateway.ts";

/** A name that no resolver is asked for: its first label is too long. */
const UNKNOWN_HOST = `${"x".repeat(64)}.invalid`;

/** Sockets of another program, and the address that they use. */
let occupied: { address: string; release: () => void } | undefined;
let logText = "";
let listener: { server: Server; address: string } | undefined;
const log = createLogger({
  level: "info",
  write: (text) => logText += text,
});

After(() => {
  occupied?.release();
  occupied = undefined;
  logText = "";
  listener?.server.close();
  listener = undefined;
});

/** Uses an address for TCP and UDP. */
async function occupy(address: string): Promise<void> {
  const [host, port] = address.split(":");
  const server = createServer().listen(Number(port), host);
  const socket = createSocket("udp4").bind(Number(port), host);
  await Promise.all([once(server, "listening"), once(socket, "listening")]);
  const release = () => {
    occupied = undefined;
    server.close();
    socket.close();
  };
  occupied = { address, release };
}

Given(
  /^an entry "(\w+)" whose address for (\w+) another program uses$/,
  (id: string, listener: keyof GatewaySettings["listen"]) =>
    world.system.addEntry(id, {
      beforeStart: (listen) => occupy(listen[listener]),
    }),
);

Given(
  /^an entry "(\w+)" whose address for (\w+) names an unknown host$/,
  (id: string, listener: keyof GatewaySettings["listen"]) =>
    world.system.addEntry(id, {
      beforeStart: (listen) => {
        listen[listener] = `${UNKNOWN_HOST}:7620`;
        return Promise.resolve();
      },
    }),
);

Then(
  "the log says that the start waits for {string}, and why",
  async (listener: string) => {
    const line = new RegExp(
      `event=listen_waiting .*listener=${listener} .*getaddrinfo.*${UNKNOWN_HOST}`,
    );
    await until(() => line.test(world.system.logText), "the log says so");
  },
);

Then("the log names that address as one that the start waits for", async () => {
  const line = new RegExp(
    `event=listen_waiting .* address=${occupied?.address} `,
  );
  await until(() => line.test(world.system.logText), "the log says so");
  assert.doesNotMatch(world.system.logText, /event=ready /);
});

Given("a store without a configuration", () => {
  world.system = new TestGateway();
});

Given(
  "an entry {string} that waits for its state",
  (id: string) =>
    world.system.addEntry(id, { beforeStart: () => Promise.resolve() }),
);

Then(
  "the log says within {int} s that {string} waits for {string}",
  (seconds: number, entry: string, name: string) => {
    const line = new RegExp(
      `event=not_ready instance=${entry} waitsFor=${name} `,
    );
    return untilWithin(() => line.test(world.system.logText), {
      seconds,
      description: "the log says what the entry lacks",
    });
  },
);

When("the other program ends", () => occupied?.release());

Then(
  "{string} is ready within {int} s",
  (entry: string, seconds: number) =>
    untilWithin(async () => {
      const { readiness } = world.system.settings(entry).listen;
      const response = await request(
        `http://${readiness}${testDialect.readinessPath}`,
      ).catch(() => undefined);
      await response?.body.dump();
      return response?.statusCode === 200;
    }, { seconds, description: `${entry} is ready` }),
);

Then(
  "a stop of {string} is over within {int} ms",
  async (entry: string, maxMillis: number) => {
    const startMillis = performance.now();
    await gatewayOf(entry).stop();
    assert.ok(performance.now() - startMillis <= maxMillis);
  },
);

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

Given(
  "a server that could not listen for {int} attempts",
  async (attempts: number) => {
    const address = reserveAddress();
    await occupy(address);
    const server = createHttpServer();
    for (let i = 0; i < attempts; i++) {
      await assert.rejects(listen(server, address, { log }));
    }
    occupied?.release();
    await listen(server, address, { log });
    listener = { server, address };
  },
);

Then("each failure is in the log once", () => {
  log.flush();
  assert.equal(logText.match(/event=accept_connection_failed/g)?.length, 2);
});

Then("the listener answers {int}", async (status: number) => {
  const response = await request(
    `http://${listener?.address}${testDialect.readinessPath}`,
  );
  await response.body.dump();
  assert.equal(response.statusCode, status);
});
