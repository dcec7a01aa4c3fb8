/** Logs and counts what is refused of the input of others. */
import { LRUCache } from "lru-cache";
import type { EventName, Logger } from "../logging/mod.ts";
import type { MetricName, Metrics } from "../metrics/mod.ts";

/** Options of {@link RefusedInputs}. */
export interface RefusedInputsOptions {
  readonly logger: Pick<Logger, "event">;
  readonly metrics: Pick<Metrics, "count">;
  readonly event: EventName;
  readonly metric: MetricName;
}

/** Number of senders that are remembered, as they choose their names. */
const MAX_SENDERS = 10_000;
const MAX_SENDER_LENGTH = 256;

/** Counts each refusal, and logs the first one of each sender. */
export class RefusedInputs {
  readonly #options: RefusedInputsOptions;
  readonly #logged = new LRUCache<string, true>({ max: MAX_SENDERS });

  constructor(options: RefusedInputsOptions) {
    this.#options = options;
  }

  /**
   * Records that input of a sender was refused.
   *
   * @example
   * ```ts
   * refused.record("10.0.0.7", "members: Expected an IPv4 address");
   * ```
   */
  record(sender: string, reason: string): this {
    const { logger, metrics, event, metric } = this.#options;
    metrics.count(metric);
    const name = sender.slice(0, MAX_SENDER_LENGTH);
    if (this.#logged.has(name)) return this;
    this.#logged.set(name, true);
    logger.event(event, { sender: name, reason });
    return this;
  }
}
