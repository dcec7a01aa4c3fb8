/** Gauges of the process's resources. */
import type { Logger } from "../../logging/mod.ts";
import type { MetricName, Metrics } from "../../metrics/mod.ts";
import type { ProcessUsage } from "./process_usage.ts";

const MB_BYTES = 1_048_576;
/** Interval at which the heap is read; each reading wakes the process. */
const HEAP_INTERVAL_MS = 500;
/** Interval at which a heap is read that may be full within a second. */
const FULL_HEAP_INTERVAL_MS = 100;
/** Share of the heap's limit from which it is read at the shorter interval. */
const FULL_HEAP_SHARE = 0.5;
const INTERVAL_MS = 5_000;
/** Share of the heap's limit from which an event is logged. */
const HEAP_WARNING_SHARE = 0.8;
/** Share of the time until an instance counts as lost that is logged. */
const DELAY_WARNING_SHARE = 0.5;
const WARNING_INTERVAL_MS = 10_000;
const USAGE_LOG_INTERVAL_MS = 10_000;

/** Counters of what clients met at a bound. */
const BOUND_COUNTERS = [
  "bodies.refused",
  "connections.displaced",
  "responses.brokenOff",
] as const;

/** Prefix of the counters of messages by what they hold. */
const RECEIVED_PREFIX = "peers.received.";

/** Options of {@link RuntimeGauges}. */
export interface RuntimeGaugesOptions {
  readonly usage: ProcessUsage;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Memory of the machine by the settings, in MB; undefined if not known. */
  readonly memoryMb: number | undefined;
  /** Time without contact until an instance counts as lost, in ms. */
  readonly contactMs: number;
  /** Gets the monotonic time, in milliseconds. */
  readonly now: () => number;
}

/**
 * Shows what the process uses beside its limits, and logs when the heap or the
 * event loop comes near the limit at which the instance is lost.
 *
 * @example
 * ```ts
 * const gauges = new RuntimeGauges(options).start();
 * ```
 */
export class RuntimeGauges {
  readonly #options: RuntimeGaugesOptions;
  readonly #warnedAt = new Map<string, number>();
  #sampledAt = -Infinity;
  #usageLoggedAt: number;
  #isHeapFilling = false;
  /** Times that clients had met a bound at the last line about it. */
  #boundedCount = 0;
  #timer: NodeJS.Timeout | undefined;

  /** Creates the gauges. */
  constructor(options: RuntimeGaugesOptions) {
    this.#options = options;
    this.#usageLoggedAt = options.now();
  }

  /** Starts to sample. */
  start(): this {
    this.#options.usage.start();
    this.#setLimits();
    this.#scheduleSample();
    return this;
  }

  #scheduleSample(): void {
    const delayMs = this.#isHeapFilling
      ? FULL_HEAP_INTERVAL_MS
      : HEAP_INTERVAL_MS;
    this.#timer = setTimeout(() => {
      this.sample();
      this.#scheduleSample();
    }, delayMs).unref();
  }

  /** Ends the sampling. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#options.usage.stop();
  }

  /** Reads the heap and, every 5 s, the other resources. */
  sample(): this {
    this.#sampleHeap();
    const now = this.#options.now();
    if (now - this.#sampledAt < INTERVAL_MS) return this;
    this.#sampledAt = now;
    this.#sampleMemory();
    this.#gauge(
      "process.openDescriptors",
      this.#options.usage.readDescriptors(),
    );
    this.#sampleLoopDelay();
    this.#reportBounded();
    this.#logUsage(now);
    return this;
  }

  /** Logs that clients met a bound, with how often. */
  #reportBounded(): void {
    const values = this.#options.metrics.values();
    const counts = BOUND_COUNTERS.map((name) => values[name] ?? 0);
    const total = counts.reduce((sum, count) => sum + count, 0);
    if (total === this.#boundedCount) return;
    const [refused, displaced, brokenOff] = counts;
    const fields = { refused, displaced, brokenOff };
    if (this.#warn("clientsBounded", fields)) this.#boundedCount = total;
  }

  /** Logs what the process has used and received, every 10 s. */
  #logUsage(now: number): void {
    const { usage, metrics, logger } = this.#options;
    const time = usage.readProcessorTime();
    metrics.gauge("process.userMs", time.userMs);
    metrics.gauge("process.systemMs", time.systemMs);
    if (now - this.#usageLoggedAt < USAGE_LOG_INTERVAL_MS) return;
    this.#usageLoggedAt = now;
    const received = Object.entries(metrics.values())
      .filter(([name]) => name.startsWith(RECEIVED_PREFIX))
      .map(([name, count]) => `${name.slice(RECEIVED_PREFIX.length)}=${count}`);
    logger.event("processUsage", { ...time, received });
  }

  #setLimits(): void {
    const { usage, memoryMb, contactMs } = this.#options;
    const memoryBytes = memoryMb === undefined
      ? usage.readMemoryLimit()
      : memoryMb * MB_BYTES;
    this.#gauge("process.memoryLimitBytes", memoryBytes);
    this.#gauge("process.descriptorLimit", usage.readDescriptorLimit());
    this.#gauge("process.loopDelayLimitMs", contactMs);
  }

  #sampleHeap(): void {
    const { usedBytes, limitBytes } = this.#options.usage.readHeap();
    this.#isHeapFilling = usedBytes >= FULL_HEAP_SHARE * limitBytes;
    this.#gauge("process.heapUsedBytes", usedBytes);
    this.#gauge("process.heapLimitBytes", limitBytes);
    if (usedBytes < HEAP_WARNING_SHARE * limitBytes) return;
    const { external, arrayBuffers, rss } = this.#options.usage.readMemory();
    this.#warn("heapNearLimit", {
      usedBytes,
      limitBytes,
      externalBytes: external,
      arrayBufferBytes: arrayBuffers,
      residentBytes: rss,
    });
  }

  #sampleMemory(): void {
    const { external, arrayBuffers, rss } = this.#options.usage.readMemory();
    this.#gauge("process.externalBytes", external);
    this.#gauge("process.arrayBufferBytes", arrayBuffers);
    this.#gauge("process.residentBytes", rss);
  }

  #sampleLoopDelay(): void {
    const { usage, contactMs } = this.#options;
    const delayMs = usage.takeLoopDelayMs();
    this.#gauge("process.loopDelayMs", delayMs);
    if (delayMs < DELAY_WARNING_SHARE * contactMs) return;
    this.#warn("loopDelayed", { delayMs, limitMs: contactMs });
  }

  #gauge(name: MetricName, value: number | undefined): void {
    if (value !== undefined) this.#options.metrics.gauge(name, value);
  }

  /** @returns Whether the line was due, and is logged. */
  #warn(
    event: "clientsBounded" | "heapNearLimit" | "loopDelayed",
    fields: Readonly<Record<string, number>>,
  ): boolean {
    const now = this.#options.now();
    const warnedAt = this.#warnedAt.get(event) ?? -Infinity;
    if (now - warnedAt < WARNING_INTERVAL_MS) return false;
    this.#warnedAt.set(event, now);
    this.#options.logger.event(event, fields);
    return true;
  }
}
