/** Reads the resource usage of a process from `/proc`; Linux only. */
import { readFileSync } from "node:fs";

/** Resource usage of a process at one moment. */
export interface ProcessUsage {
  /** CPU time since the start of the process, in seconds. */
  readonly cpuSeconds: number;
  /** Resident memory, in bytes. */
  readonly residentBytes: number;
  /** Monotonic time of the reading, in milliseconds. */
  readonly at: number;
}

/** Clock ticks per second in `/proc`; `USER_HZ` of Linux. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1_024;
/** Index of the user time among the fields after the name; system follows. */
const USER_TIME_FIELD = 11;

/**
 * Reads the usage of a process.
 *
 * @throws Error if the process does not exist.
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TIME_FIELD]) +
    Number(fields[USER_TIME_FIELD + 1]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: kib * BYTES_PER_KIB,
    at: performance.now(),
  };
}

/** Gets the CPU time between two readings, as a fraction of one core. */
export function coreShare(from: ProcessUsage, to: ProcessUsage): number {
  const seconds = (to.at - from.at) / 1_000;
  return (to.cpuSeconds - from.cpuSeconds) / seconds;
}
