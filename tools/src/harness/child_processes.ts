/**
 * Starts child processes for demos and tests and stops all of them at the end,
 * also when the run is interrupted.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { once } from "node:events";
import process from "node:process";

/** Time that a child has to exit on SIGTERM before it gets SIGKILL. */
const KILL_DELAY_MILLIS = 15_000;

/** A child process with its name. */
export interface Child {
  name: string;
  process: ChildProcess;
  /** Resolves with the exit code, or null if a signal ended the child. */
  exited: Promise<number | null>;
}

/** Running child processes by name; all are killed when this process exits. */
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

  /** Starts `node ARGS` and appends its output to `logFile`. */
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
    const started = { name, process: child, exited };
    this.#children.set(name, started);
    exited.then(() => {
      if (this.#children.get(name) === started) this.#children.delete(name);
    });
    return started;
  }

  get(name: string): Child | undefined {
    return this.#children.get(name);
  }

  /** Names of the running children. */
  names(): string[] {
    return [...this.#children.keys()];
  }

  /**
   * Stops one child gracefully and returns its exit code, or null if it is not
   * running. A frozen child is resumed first, so that it can handle SIGTERM.
   */
  async stop(name: string): Promise<number | null> {
    const child = this.#children.get(name);
    if (child === undefined) return null;
    child.process.kill("SIGCONT");
    child.process.kill("SIGTERM");
    const timer = setTimeout(
      () => child.process.kill("SIGKILL"),
      KILL_DELAY_MILLIS,
    );
    const code = await child.exited;
    clearTimeout(timer);
    return code;
  }

  /** Sends a signal to one child. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.#children.get(name)?.process.kill(signal);
  }

  /** Stops all children gracefully. */
  async stopAll(): Promise<void> {
    await Promise.all(this.names().map((name) => this.stop(name)));
  }

  #killAll(): void {
    for (const child of this.#children.values()) child.process.kill("SIGKILL");
  }
}
