/** Measures how fast the open items of each service are completed. */
import { DrainRateMeter } from "../dispatch/mod.ts";
import type { BatchSpec } from "./batch.ts";
import type { BatchRecord } from "./batch_record.ts";
import { expectedLengthOf } from "./item_order.ts";

interface OpenBatch {
  readonly service: string;
  /** Expected output of the items without a result, in tokens. */
  readonly items: Map<string, number>;
}

/**
 * Measures the drain rates of the open items, by service. Measures nothing until
 * {@link start}, as only a leader needs it.
 *
 * @example
 * ```ts
 * drain.start(records, now).tokensPerMs("engines", now);
 * ```
 */
export class BatchDrain {
  readonly #meters = new Map<string, DrainRateMeter>();
  readonly #batches = new Map<string, OpenBatch>();
  #startedAt: number | undefined;

  /** Starts with the open batches of a new leader, whose rates are not known. */
  start(records: readonly BatchRecord[], now: number): this {
    this.stop();
    this.#startedAt = now;
    for (const record of records) {
      if (!record.isOpen) continue;
      this.onAccepted(record.spec, now, (id) => record.hasResult(id));
    }
    return this;
  }

  /** Clears all batches and rates. */
  stop(): this {
    this.#meters.clear();
    this.#batches.clear();
    this.#startedAt = undefined;
    return this;
  }

  /** Gets the services of which items have been open since the start. */
  get services(): readonly string[] {
    return [...this.#meters.keys()];
  }

  /** Gets the time since the start, in milliseconds; 0 if not started. */
  elapsedMs(now: number): number {
    return this.#startedAt === undefined ? 0 : now - this.#startedAt;
  }

  /** Records an accepted batch; a repeated one changes nothing. */
  onAccepted(
    { id, service, items }: BatchSpec,
    now: number,
    hasResult: (item: string) => boolean = () => false,
  ): this {
    if (this.#startedAt === undefined || this.#batches.has(id)) return this;
    const open = new Map<string, number>();
    const meter = this.#meterOf(service, now);
    for (const item of items) {
      if (hasResult(item.id)) continue;
      const tokens = expectedLengthOf(item);
      open.set(item.id, tokens);
      meter.onAdded(tokens, now);
    }
    this.#batches.set(id, { service, items: open });
    return this;
  }

  /** Records the result of an item; a repeated one changes nothing. */
  onResult(
    batch: string,
    item: string,
    { isCompleted, now }: {
      readonly isCompleted: boolean;
      readonly now: number;
    },
  ): this {
    const open = this.#batches.get(batch);
    const tokens = open?.items.get(item);
    if (open === undefined || tokens === undefined) return this;
    open.items.delete(item);
    const meter = this.#meterOf(open.service, now);
    if (isCompleted) meter.onDequeued(tokens, now);
    else meter.onRemoved(tokens, now);
    return this;
  }

  /** Records that a batch has ended or is deleted. */
  onEnded(batch: string, now: number): this {
    const open = this.#batches.get(batch);
    if (open === undefined) return this;
    this.#batches.delete(batch);
    const meter = this.#meterOf(open.service, now);
    for (const tokens of open.items.values()) meter.onRemoved(tokens, now);
    return this;
  }

  /** Gets the number of open items of a service. */
  openItems(service: string): number {
    let count = 0;
    for (const open of this.#batches.values()) {
      if (open.service === service) count += open.items.size;
    }
    return count;
  }

  /** Gets the expected output of the open items of a service, in tokens. */
  openTokens(service: string): number {
    return this.#meters.get(service)?.queuedTokens ?? 0;
  }

  /**
   * Gets the drain rate of a service, in tokens per millisecond; undefined if it
   * is not known.
   */
  tokensPerMs(service: string, now: number): number | undefined {
    return this.#meters.get(service)?.tokensPerMs(now);
  }

  #meterOf(service: string, now: number): DrainRateMeter {
    let meter = this.#meters.get(service);
    if (meter !== undefined) return meter;
    meter = new DrainRateMeter(now);
    this.#meters.set(service, meter);
    return meter;
  }
}
