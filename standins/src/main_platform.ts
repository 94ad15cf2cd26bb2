/**
 * Runs the platform stand-in as a process: `main_platform.js HOST:PORT`.
 */
import process from "node:process";
import { servePlatform } from "./serve_platform.ts";

const address = process.argv[2] ?? "127.0.0.1:7900";
const platform = await servePlatform(address);
process.stdout.write(`platform stand-in at ${platform.url}\n`);
process.on("SIGTERM", () => process.exit(0));
process.on("SIGINT", () => process.exit(0));
