/**
 * Link between one entry and one target: a TCP proxy on the loopback interface that
 * can be cut as networks are. While it hangs, no new connection is completed either,
 * which a proxy in the test's own thread can't do.
 */
import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { LinkCommand, LinkWorkerData } from "./link_worker.ts";

/** How a link is cut. */
export type LinkCut =
  /** Open connections hang, and new ones are never established. */
  | "hang"
  /** Open connections are reset, and new ones refused. */
  | "reset"
  /** Open connections live on, and new ones are refused. */
  | "refuse";

/** Time after which a connection counts as hanging. */
const HANG_MILLIS = 100;
/** More connections than the system completes on its own. */
const MAX_FILLERS = 8;

/** A link that can be cut and restored. */
export class CuttableLink {
  /** Where the entry reaches the target. */
  readonly address: string;
  readonly #worker: Worker;
  readonly #released: Int32Array;
  readonly #fillers: Socket[] = [];
  #cut: LinkCut | undefined;

  private constructor(worker: Worker, released: Int32Array, port: number) {
    this.#worker = worker;
    this.#released = released;
    this.address = `127.0.0.1:${port}`;
  }

  static async start(upstream: string): Promise<CuttableLink> {
    const flag = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const workerData: LinkWorkerData = { upstream, flag };
    const worker = new Worker(new URL("./link_worker.js", import.meta.url), {
      workerData,
      // Without the test runner's loaders, which the worker does not need.
      execArgv: [],
      env: {},
    });
    const [port] = await once(worker, "message");
    return new CuttableLink(worker, new Int32Array(flag), port as number);
  }

  /** Cuts the link; resolves once the cut is in effect. */
  async cut(how: LinkCut): Promise<void> {
    this.#cut = how;
    if (how !== "hang") {
      this.#send({ kind: "refuse", resetsOpen: how === "reset" });
      while (await this.#tryToConnect() !== "refused");
      return;
    }
    Atomics.store(this.#released, 0, 0);
    this.#send({ kind: "hang" });
    // Uses up the connections that the system completes without the thread.
    for (let i = 0; i < MAX_FILLERS; i++) {
      if (await this.#tryToConnect() === "hangs") return;
    }
    throw new Error("the link does not hang");
  }

  async restore(): Promise<void> {
    const how = this.#cut;
    this.#cut = undefined;
    for (const filler of this.#fillers.splice(0)) filler.destroy();
    if (how === undefined) return;
    if (how === "hang") return this.#release();
    this.#send({ kind: "restore" });
    await once(this.#worker, "message");
  }

  async close(): Promise<void> {
    this.#release();
    for (const filler of this.#fillers) filler.destroy();
    await this.#worker.terminate();
  }

  #release(): void {
    Atomics.store(this.#released, 0, 1);
    Atomics.notify(this.#released, 0);
  }

  #send(command: LinkCommand): void {
    this.#worker.postMessage(command);
  }

  #tryToConnect(): Promise<"connected" | "refused" | "hangs"> {
    const [host, port] = this.address.split(":");
    const socket = connect({ host, port: Number(port) });
    this.#fillers.push(socket);
    return new Promise((resolve) => {
      socket.setTimeout(HANG_MILLIS, () => resolve("hangs"));
      socket.once("connect", () => resolve("connected"));
      socket.on("error", () => resolve("refused"));
    });
  }
}
