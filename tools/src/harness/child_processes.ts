/**
 * Starts child processes for demos and tests and ends every one of them,
 * also when the run is interrupted.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { once } from "node:events";
import process from "node:process";

const killAfterMillis = 15_000;

/** A child with its name. */
export interface Child {
  name: string;
  process: ChildProcess;
  exited: Promise<number | null>;
}

/** Starts and ends children. */
export class ChildProcesses {
  readonly #children = new Map<string, Child>();

  constructor() {
    process.setMaxListeners(100);
    process.on("exit", () => this.#killAll());
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
      process.on(signal, () => {
        this.#killAll();
        process.exit(130);
      });
    }
  }

  /** Starts `node SCRIPT ARGS`, its output going to `logFile`. */
  start(
    name: string,
    args: string[],
    options: { logFile: string; env?: Record<string, string> },
  ): Child {
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...options.env },
    });
    const log = createWriteStream(options.logFile, { flags: "a" });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    const exited = once(child, "exit").then(([code]) => code as number | null);
    const entry = { name, process: child, exited };
    this.#children.set(name, entry);
    exited.then(() => {
      if (this.#children.get(name) === entry) this.#children.delete(name);
    });
    return entry;
  }

  get(name: string): Child | undefined {
    return this.#children.get(name);
  }

  /** Names of the children that run. */
  names(): string[] {
    return [...this.#children.keys()];
  }

  /** Ends one child gracefully; returns its exit code. */
  async stop(name: string): Promise<number | null> {
    const child = this.#children.get(name);
    if (child === undefined) return null;
    child.process.kill("SIGCONT");
    child.process.kill("SIGTERM");
    const timer = setTimeout(
      () => child.process.kill("SIGKILL"),
      killAfterMillis,
    );
    const code = await child.exited;
    clearTimeout(timer);
    return code;
  }

  /** Sends a signal to one child. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.#children.get(name)?.process.kill(signal);
  }

  /** Ends all children. */
  async stopAll(): Promise<void> {
    await Promise.all(this.names().map((name) => this.stop(name)));
  }

  #killAll(): void {
    for (const child of this.#children.values()) child.process.kill("SIGKILL");
  }
}
