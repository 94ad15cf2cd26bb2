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
  // Buffers are freed in the background, and are counted until the next collection.
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
