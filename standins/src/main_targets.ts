/**
 * Runs many targets in one process: `main_targets.js HOST:PORT FILE`, where
 * FILE lists the targets as JSON and HOST:PORT is the control interface.
 */
import { createServer } from "node:http";
import { readFile } from "node:fs/promises";
import process from "node:process";
import {
  serveTarget,
  type TargetBehaviour,
  type TargetStandin,
} from "./serve_target.ts";

/** One target in the file. */
export interface TargetSpec {
  id: string;
  address: string;
  behaviour: Partial<TargetBehaviour>;
  spread: number;
  /** Time until a crashed target is back; 0 keeps it away. Unit: milliseconds. */
  restartMillis?: number;
}

/** What the control interface tells of a target. */
export interface TargetActivity {
  id: string;
  ran: TargetStandin["ran"];
  cancelled: number;
  shed: number;
  peak: number;
}

const [control, file] = process.argv.slice(2);
const specs = JSON.parse(await readFile(file, "utf8")) as TargetSpec[];
const targets = new Map<string, TargetStandin>();

async function start(spec: TargetSpec): Promise<void> {
  const before = targets.get(spec.id);
  const target = await serveTarget({
    address: spec.address,
    behaviour: before?.behaviour ?? spec.behaviour,
    spread: spec.spread,
    onCrash: () => {
      const { restartMillis = 0 } = spec;
      if (restartMillis > 0) {
        setTimeout(() => start(spec).catch(() => {}), restartMillis);
      }
    },
  });
  if (before) {
    target.ran.push(...before.ran);
    target.shed = before.shed;
    target.cancelled = before.cancelled;
    target.peak = before.peak;
  }
  targets.set(spec.id, target);
}

await Promise.all(specs.map(start));

function record(): TargetActivity[] {
  return [...targets].map(([id, { ran, cancelled, shed, peak }]) => ({
    id,
    ran,
    cancelled,
    shed,
    peak,
  }));
}

const server = createServer(async (request, response) => {
  const url = request.url ?? "/";
  if (url === "/ran") {
    response.end(JSON.stringify(record()));
    return;
  }
  let text = "";
  for await (const chunk of request) text += chunk;
  const target = targets.get(url.split("/")[2]);
  if (target === undefined) {
    response.writeHead(404).end();
    return;
  }
  if (url.startsWith("/crash/")) target.crash();
  else Object.assign(target.behaviour, JSON.parse(text));
  response.end("{}");
});
const [host, port] = control.split(":");
server.listen(
  Number(port),
  host,
  () => process.stdout.write(`${specs.length} targets\n`),
);
process.on("SIGTERM", () => process.exit(0));
process.on("SIGINT", () => process.exit(0));
