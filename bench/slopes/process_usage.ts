/** What a process uses, by the operating system's own account. */
import { readFileSync } from "node:fs";

/** Use of a process up to a moment. */
export interface ProcessUsage {
  /** Processor time, in seconds. */
  readonly cpuSeconds: number;
  /** Memory, in bytes. */
  readonly residentBytes: number;
  /** Moment, in milliseconds. */
  readonly at: number;
}

/** Ticks of processor time in a second, as Linux reports them. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1_024;
/** Position of the user time among the fields after the name. */
const USER_FIELD = 11;

/** Gets the use of a process. */
export function usageOf(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_FIELD]) + Number(fields[USER_FIELD + 1]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: kib * BYTES_PER_KIB,
    at: performance.now(),
  };
}

/** Gets the part of a core used between two moments. */
export function coreShare(from: ProcessUsage, to: ProcessUsage): number {
  const seconds = (to.at - from.at) / 1_000;
  return (to.cpuSeconds - from.cpuSeconds) / seconds;
}
