/** Estimates the length of outputs and the time to read prompts. */
import type { BatchRecord, WaitingItem } from "./batch_record.ts";
import { DEFAULT_EXPECTED_TOKENS } from "./item_order.ts";
import { type EstimateRecord, isBetterEstimate } from "./known_paces.ts";

/** Sums over the recent runs of a service; older runs count less. */
interface ServiceSums {
  completed: number;
  runs: number;
  events: number;
  /** Events and estimated tokens of the runs that have an estimate. */
  estimatedEvents: number;
  estimatedTokens: number;
  /** Time to the first event, by whether the prompt was cached. */
  readonly prompts: {
    readonly uncached: PromptMean;
    readonly cached: PromptMean;
  };
}

interface PromptMean {
  events: number;
  samples: number;
}

/** Number of completed runs from which their lengths are used. */
const MIN_COMPLETED = 20;
/** Share by which older runs count less with each further run. */
const DECAY = 0.995;
const DEFAULT_EVENTS = 30;
/** Time to the first event without samples, in times per event. */
const DEFAULT_UNCACHED_EVENTS = 5;
const DEFAULT_CACHED_EVENTS = 1;
const PROMPT_WEIGHT = 0.05;
/**
 * Expected remainder of an output that is longer than estimated, as a share.
 */
const OVERRUN_SHARE = 0.3;
/** Time to read an event of earlier output, in times to generate it. */
const REREAD_SHARE = 0.05;

/**
 * Measures by completed runs how many events the callers' estimates represent,
 * and by first events how long targets read prompts. Both are by service, as an
 * event may hold any number of tokens.
 *
 * @example
 * ```ts
 * estimator.onCompleted("s", { expectedTokens: 900, events: 12 });
 * estimator.remainingEvents({ record, item }, 0);
 * ```
 */
export class RunEstimator {
  readonly #services = new Map<string, ServiceSums>();
  /** Mean estimate of each batch, in tokens. */
  readonly #meanTokens = new WeakMap<BatchRecord, number>();

  /** Records a completed output. */
  onCompleted(
    service: string,
    output: {
      readonly expectedTokens: number | undefined;
      readonly events: number;
    },
  ): this {
    const sums = this.#sumsOf(service);
    const { expectedTokens, events } = output;
    sums.completed += 1;
    sums.runs = sums.runs * DECAY + 1;
    sums.events = sums.events * DECAY + events;
    if (expectedTokens === undefined) return this;
    sums.estimatedEvents = sums.estimatedEvents * DECAY + events;
    sums.estimatedTokens = sums.estimatedTokens * DECAY + expectedTokens;
    return this;
  }

  /**
   * Records the time to the first event of a run without earlier output.
   * @param events - The time, in times per event at the target.
   */
  onFirstEvent(
    service: string,
    first: { readonly isCached: boolean; readonly events: number },
  ): this {
    const { uncached, cached } = this.#sumsOf(service).prompts;
    const mean = first.isCached ? cached : uncached;
    const weight = Math.max(PROMPT_WEIGHT, 1 / (mean.samples + 1));
    mean.events += weight * (first.events - mean.events);
    mean.samples += 1;
    return this;
  }

  /** Gets the estimates of all services; their counts tell which are newer. */
  save(): EstimateRecord[] {
    return [...this.#services]
      .map(([service, sums]) =>
        structuredClone({ service, ...sums, ageMs: 0 })
      );
  }

  /** Takes over estimates that are based on more runs than the own ones. */
  load(records: readonly EstimateRecord[]): this {
    for (const record of records) {
      const { service } = record;
      if (!isBetterEstimate(record, this.#services.get(service))) continue;
      const { completed, runs, events, estimatedEvents, estimatedTokens } =
        record;
      const { uncached, cached } = record.prompts;
      this.#services.set(service, {
        completed,
        runs,
        events,
        estimatedEvents,
        estimatedTokens,
        prompts: { uncached: { ...uncached }, cached: { ...cached } },
      });
    }
    return this;
  }

  /** Gets the mean number of events of an output. */
  meanEvents(service: string): number {
    const sums = this.#services.get(service);
    if (sums === undefined || sums.completed < MIN_COMPLETED) {
      return DEFAULT_EVENTS;
    }
    return sums.events / sums.runs;
  }

  /**
   * Gets the number of estimated tokens that an event represents; undefined
   * until enough outputs are complete.
   */
  tokensPerEvent(service: string): number | undefined {
    const sums = this.#services.get(service);
    if (sums === undefined || sums.completed < MIN_COMPLETED) return undefined;
    const { estimatedTokens, estimatedEvents, events, runs } = sums;
    if (estimatedTokens > 0 && estimatedEvents > 0) {
      return estimatedTokens / estimatedEvents;
    }
    return events > 0 ? DEFAULT_EXPECTED_TOKENS * runs / events : undefined;
  }

  /** Gets the expected number of events that an output still needs. */
  remainingEvents(waiting: WaitingItem, received: number): number {
    const expected = this.#expectedEvents(waiting);
    const overrun = OVERRUN_SHARE * Math.max(expected, received);
    return Math.max(expected - received, overrun);
  }

  #expectedEvents({ record, item }: WaitingItem): number {
    const { service } = record.spec;
    const { expectedTokens } = item;
    const mean = this.meanEvents(service);
    if (expectedTokens === undefined) return mean;
    const sums = this.#services.get(service);
    const isKnown = sums !== undefined && sums.completed >= MIN_COMPLETED &&
      sums.estimatedTokens > 0;
    if (isKnown) {
      return expectedTokens * sums.estimatedEvents / sums.estimatedTokens;
    }
    const meanTokens = this.#meanTokensOf(record);
    return meanTokens > 0 ? mean * expectedTokens / meanTokens : mean;
  }

  #meanTokensOf(record: BatchRecord): number {
    let mean = this.#meanTokens.get(record);
    if (mean !== undefined) return mean;
    const estimates = record.spec.items
      .map(({ expectedTokens }) => expectedTokens)
      .filter((tokens) => tokens !== undefined);
    const sum = estimates.reduce((total, tokens) => total + tokens, 0);
    mean = sum / Math.max(1, estimates.length);
    this.#meanTokens.set(record, mean);
    return mean;
  }

  /** Gets the time to the first event of a run, in times per event. */
  promptEvents(
    service: string,
    run: { readonly isCached: boolean; readonly received: number },
  ): number {
    const { isCached, received } = run;
    const prompts = this.#services.get(service)?.prompts;
    const mean = isCached ? prompts?.cached : prompts?.uncached;
    const usual = isCached ? DEFAULT_CACHED_EVENTS : DEFAULT_UNCACHED_EVENTS;
    const known = mean === undefined || mean.samples === 0
      ? usual
      : mean.events;
    return known + REREAD_SHARE * received;
  }

  #sumsOf(service: string): ServiceSums {
    let sums = this.#services.get(service);
    if (sums !== undefined) return sums;
    sums = {
      completed: 0,
      runs: 0,
      events: 0,
      estimatedEvents: 0,
      estimatedTokens: 0,
      prompts: {
        uncached: { events: 0, samples: 0 },
        cached: { events: 0, samples: 0 },
      },
    };
    this.#services.set(service, sums);
    return sums;
  }
}
