/** Resources that the process uses, as the system and V8 report them. */
import { readdirSync, readFileSync } from "node:fs";
import { totalmem } from "node:os";
import { type IntervalHistogram, monitorEventLoopDelay } from "node:perf_hooks";
import { getHeapStatistics } from "node:v8";

/** Interval of the checks by which delays are found; each wakes the process. */
const RESOLUTION_MS = 500;
const NS_PER_MS = 1e6;
const US_PER_MS = 1e3;
const DESCRIPTOR_LIMIT = /^Max open files\s+(\d+)/m;

/**
 * Reads the resources that the process uses.
 *
 * @example
 * ```ts
 * const { usedBytes, limitBytes } = usage.readHeap();
 * ```
 */
export class ProcessUsage {
  readonly #resolutionMs: number;
  readonly #delays: IntervalHistogram;

  /** @param resolutionMs - Delays of the event loop up to it may be missed. */
  constructor(resolutionMs = RESOLUTION_MS) {
    this.#resolutionMs = resolutionMs;
    this.#delays = monitorEventLoopDelay({ resolution: resolutionMs });
  }

  /** Starts to observe the delay of the event loop. */
  start(): this {
    this.#delays.enable();
    return this;
  }

  /** Ends the observation. */
  stop(): void {
    this.#delays.disable();
  }

  /** Gets the heap in use and its limit, in bytes. */
  readHeap(): { usedBytes: number; limitBytes: number } {
    const stats = getHeapStatistics();
    return {
      usedBytes: stats.used_heap_size,
      limitBytes: stats.heap_size_limit,
    };
  }

  /** Gets the processor time used since the start, in milliseconds. */
  readProcessorTime(): { userMs: number; systemMs: number } {
    const { user, system } = process.cpuUsage();
    return {
      userMs: Math.round(user / US_PER_MS),
      systemMs: Math.round(system / US_PER_MS),
    };
  }

  /** Gets the resident memory and that outside the heap, in bytes. */
  readMemory(): NodeJS.MemoryUsage {
    return process.memoryUsage();
  }

  /** Gets the memory of the control group, or of the machine, in bytes. */
  readMemoryLimit(): number {
    const constrained = process.constrainedMemory() ?? 0;
    return constrained > 0 ? Math.min(constrained, totalmem()) : totalmem();
  }

  /** Gets the number of open descriptors; undefined if it is not known. */
  readDescriptors(): number | undefined {
    try {
      // One of them is that of the folder itself.
      return readdirSync("/proc/self/fd").length - 1;
    } catch {
      return undefined;
    }
  }

  /** Gets how many descriptors may be open; undefined if it is not known. */
  readDescriptorLimit(): number | undefined {
    try {
      const limits = readFileSync("/proc/self/limits", "utf8");
      const limit = DESCRIPTOR_LIMIT.exec(limits)?.[1];
      return limit === undefined ? undefined : Number(limit);
    } catch {
      return undefined;
    }
  }

  /** Gets the longest delay of the event loop since the last call, in ms. */
  takeLoopDelayMs(): number {
    const longestMs = this.#delays.max / NS_PER_MS;
    this.#delays.reset();
    return Math.max(0, Math.round(longestMs - this.#resolutionMs));
  }
}
