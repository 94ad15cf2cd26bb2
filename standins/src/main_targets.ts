/**
 * Runs several target stand-ins in one process: `main_targets.js HOST:PORT FILE`,
 * where FILE lists the targets as JSON and HOST:PORT is the control interface:
 * `/ran` returns the activity of all targets, `/crash/ID` crashes a target, and
 * `/behaviour/ID` changes the fields of its behaviour that the JSON body holds.
 */
import { createServer } from "node:http";
import { readFile } from "node:fs/promises";
import process from "node:process";
import {
  serveTarget,
  type TargetBehaviour,
  type TargetStandin,
} from "./serve_target.ts";

/** Definition of one target in the file. */
export interface TargetSpec {
  id: string;
  address: string;
  behaviour: Partial<TargetBehaviour>;
  /** Standard deviation of the logarithm of the service time. */
  spread: number;
  /** Delay until a crashed target restarts; 0 for never. Unit: milliseconds. */
  restartMillis?: number;
}

/** A target's executed requests and counts, as returned by `/ran`. */
export interface TargetActivity {
  id: string;
  ran: TargetStandin["ran"];
  /** Number of requests whose connection closed while they ran. */
  cancelled: number;
  /** Number of requests refused as not run. */
  shed: number;
  /** Maximum number of requests that ran concurrently. */
  peak: number;
}

const [controlAddress, targetsFile] = process.argv.slice(2);
const specs = JSON.parse(await readFile(targetsFile, "utf8")) as TargetSpec[];
const targets = new Map<string, TargetStandin>();

/** Starts a target; after a crash its behaviour, record and counts are kept. */
async function start(spec: TargetSpec): Promise<void> {
  const previous = targets.get(spec.id);
  const target = await serveTarget({
    address: spec.address,
    behaviour: previous?.behaviour ?? spec.behaviour,
    spread: spec.spread,
    onCrash: () => {
      const { restartMillis = 0 } = spec;
      if (restartMillis > 0) {
        setTimeout(() => start(spec).catch(() => {}), restartMillis);
      }
    },
  });
  if (previous) {
    target.ran.push(...previous.ran);
    target.shed = previous.shed;
    target.cancelled = previous.cancelled;
    target.peak = previous.peak;
  }
  targets.set(spec.id, target);
}

await Promise.all(specs.map(start));

function listActivity(): TargetActivity[] {
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
    response.end(JSON.stringify(listActivity()));
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
const [host, port] = controlAddress.split(":");
server.listen(
  Number(port),
  host,
  () => process.stdout.write(`${specs.length} targets\n`),
);
process.on("SIGTERM", () => process.exit(0));
process.on("SIGINT", () => process.exit(0));
