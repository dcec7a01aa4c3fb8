/** Metrics that are kept in memory and sent to a StatsD server. */
import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js/dist/HistogramBuilder.js";
import { StatsD } from "hot-shots";
import type { Address } from "../settings/mod.ts";
import type { MetricName } from "./metric_catalogue.ts";

/** Longest duration that the histograms distinguish, in milliseconds. */
const MAX_RECORDED_MS = 3_600_000;

/** Options of {@link Metrics}. */
export interface MetricsOptions {
  /** StatsD server; if absent, metrics are only kept in memory. */
  readonly receiver?: Address;
  /** Tags that are sent with every metric. */
  readonly tags: Readonly<Record<string, string>>;
}

/** Values of all metrics that were recorded at least once, by name. */
export type MetricValues = Readonly<Record<string, number>>;

/**
 * Records counters, gauges and durations.
 *
 * @example
 * ```ts
 * metrics.count("refusals.queueFull");
 * ```
 */
export class Metrics {
  readonly #values = new Map<string, number>();
  readonly #histograms = new Map<string, Histogram>();
  readonly #client: StatsD | undefined;

  constructor(options: MetricsOptions) {
    if (options.receiver === undefined) return;
    this.#client = new StatsD({
      host: options.receiver.host,
      port: options.receiver.port,
      prefix: "nutmegreel.",
      globalTags: { ...options.tags },
      errorHandler: () => {},
    });
  }

  /** Adds to a counter. */
  count(name: MetricName, by = 1): this {
    this.#values.set(name, (this.#values.get(name) ?? 0) + by);
    this.#client?.increment(name, by);
    return this;
  }

  /** Sets a gauge. */
  gauge(name: MetricName, value: number): this {
    this.#values.set(name, value);
    this.#client?.gauge(name, value);
    return this;
  }

  /** Records a duration in milliseconds. */
  timing(name: MetricName, ms: number): this {
    this.#values.set(name, ms);
    this.#getOrCreateHistogram(name).recordValue(Math.max(0, Math.round(ms)));
    this.#client?.timing(name, ms);
    return this;
  }

  /** Gets the current values; that of a duration is the last one recorded. */
  values(): MetricValues {
    return Object.fromEntries([...this.#values].sort());
  }

  /** Gets the distribution of each duration, by name. */
  get histograms(): ReadonlyMap<string, Histogram> {
    return this.#histograms;
  }

  #getOrCreateHistogram(name: string): Histogram {
    let histogram = this.#histograms.get(name);
    if (histogram !== undefined) return histogram;
    histogram = build({
      highestTrackableValue: MAX_RECORDED_MS,
      numberOfSignificantValueDigits: 2,
    });
    this.#histograms.set(name, histogram);
    return histogram;
  }

  /** Sends buffered metrics and closes the socket. */
  close(): Promise<void> {
    const client = this.#client;
    if (client === undefined) return Promise.resolve();
    return new Promise((resolve) => client.close(() => resolve()));
  }
}
