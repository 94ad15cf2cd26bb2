/**
 * Ends the process of a gateway: after a graceful stop, or after an error that nothing
 * handled. Such an error may leave the state inconsistent, so that the process has to
 * end, but the requests of other callers are answered first. A stop that hangs is ended
 * before the platform's SIGKILL.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { RunningGateway } from "./start_gateway.ts";

/** Options of {@link ProcessEnd}. */
export interface ProcessEndOptions {
  log: EventLog;
  /** Time from SIGTERM to SIGKILL. Unit: milliseconds. */
  graceMillis: () => number;
  exit: (code: number) => void;
}

/** Exit code after an error that nothing handled. */
const FAULT_EXIT_CODE = 1;
/** Time in which the last log lines are written. */
const EXIT_FLUSH_MILLIS = 50;
/** Share of the grace period after which a stop that hangs is ended. */
const OVERDUE_SHARE = 0.97;
/** Requests in progress that the log of an error names. */
const MAX_LOGGED_REQUESTS = 20;

/** Decides when the process ends, and with which code. */
export class ProcessEnd {
  readonly #options: ProcessEndOptions;
  #gateway: RunningGateway | undefined;
  #exitCode: number | undefined;

  constructor(options: ProcessEndOptions) {
    this.#options = options;
  }

  /** Sets the gateway that is stopped before the process ends. */
  watch(gateway: RunningGateway): void {
    this.#gateway = gateway;
  }

  /** Stops the gateway and ends the process; joins an end that is in progress. */
  stop(): void {
    this.#end(0);
  }

  /** Logs an error that nothing handled, and ends the process gracefully. */
  handleUncaught(error: unknown, origin: string): void {
    const { message, stack } = error instanceof Error
      ? error
      : new Error(String(error));
    this.#options.log.error("uncaught_error", {
      origin,
      error: message,
      stack,
      requests: this.#gateway?.describeRequests(MAX_LOGGED_REQUESTS),
    });
    this.#end(FAULT_EXIT_CODE);
  }

  #end(code: number): void {
    const { log, graceMillis, exit } = this.#options;
    const isEnding = this.#exitCode !== undefined;
    this.#exitCode = Math.max(this.#exitCode ?? 0, code);
    if (isEnding) return;
    const finish = () => {
      log.flush();
      setTimeout(() => exit(this.#exitCode ?? code), EXIT_FLUSH_MILLIS);
    };
    if (this.#gateway === undefined) return finish();
    const overdue = setTimeout(() => {
      log.error("stop_overdue", {
        requests: this.#gateway?.describeRequests(MAX_LOGGED_REQUESTS),
      });
      finish();
    }, graceMillis() * OVERDUE_SHARE - EXIT_FLUSH_MILLIS);
    this.#gateway.stop().catch((error: Error) =>
      log.error("stop_failed", { error: error.message, stack: error.stack })
    ).then(() => {
      clearTimeout(overdue);
      finish();
    });
  }
}
