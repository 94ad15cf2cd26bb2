/**
 * Addresses for servers under test. A port that was free a moment ago may be taken
 * before the server binds it, by a connection or another server that asks for any
 * port. These ports lie below the range that systems choose from, and each test
 * process has a loopback host of its own.
 */
import process from "node:process";

const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
/** Second part of the hosts; the parts after it come from the process id. */
const FIRST_HOST_PART = 64;

let nextPort = FIRST_PORT;

/** Loopback host that only this process uses. */
export const TEST_HOST = hostOf(process.pid);

function hostOf(pid: number): string {
  const parts = [FIRST_HOST_PART + ((pid >> 16) & 63), (pid >> 8) & 255];
  return `127.${parts.join(".")}.${pid & 255}`;
}

/** An address, `HOST:PORT`, that was not given out before. */
export function reserveAddress(): string {
  if (nextPort > LAST_PORT) throw new Error("All test ports are given out.");
  return `${TEST_HOST}:${nextPort++}`;
}
