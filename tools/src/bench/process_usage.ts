/**
 * Reads a process's CPU time and memory from the kernel, and fits lines to
 * measurements.
 */
import { readFile } from "node:fs/promises";

/** USER_HZ, the kernel's unit of CPU time. */
const TICKS_PER_SECOND = 100;
/** Indexes of the fields of `/proc/PID/stat`, from 0. */
const USER_TIME_FIELD = 13;
const SYSTEM_TIME_FIELD = 14;

/** CPU time since the process started, and its present memory. */
export interface ProcessUsage {
  cpuSeconds: number;
  /** Resident memory in units of 1024 KiB. */
  residentMegabytes: number;
  /** Time of the reading, by `performance.now()`. */
  atMillis: number;
}

/** Reads the usage of a process. */
export async function readUsage(pid: number): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  // The PID and the command, fields 0 and 1, are cut off.
  const offset = 2;
  const ticks = Number(fields[USER_TIME_FIELD - offset]) +
    Number(fields[SYSTEM_TIME_FIELD - offset]);
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  const resident = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMegabytes: resident / 1024,
    atMillis: performance.now(),
  };
}

/** A straight line fitted by least squares. */
export interface FittedLine {
  slope: number;
  intercept: number;
  /** Coefficient of determination. */
  rSquared: number;
}

/** Fits a line through points. */
export function fitLine(points: { x: number; y: number }[]): FittedLine {
  const n = points.length;
  const meanX = points.reduce((sum, p) => sum + p.x, 0) / n;
  const meanY = points.reduce((sum, p) => sum + p.y, 0) / n;
  const sxx = points.reduce((sum, p) => sum + (p.x - meanX) ** 2, 0);
  const sxy = points.reduce((sum, p) => sum + (p.x - meanX) * (p.y - meanY), 0);
  const syy = points.reduce((sum, p) => sum + (p.y - meanY) ** 2, 0);
  const slope = sxx === 0 ? 0 : sxy / sxx;
  const rSquared = sxx === 0 || syy === 0 ? 1 : sxy ** 2 / (sxx * syy);
  return { slope, intercept: meanY - slope * meanX, rSquared };
}
