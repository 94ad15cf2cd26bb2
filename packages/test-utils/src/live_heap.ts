/**
 * Memory that is still referenced. The collector is called first, so that garbage
 * doesn't count.
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Live memory of this process: the heap, and buffers outside of it. Unit: bytes. */
export function liveBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
