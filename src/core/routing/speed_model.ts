/** Model of the time per token of a target as a function of its load. */

/** Weight of the measurement of a finished attempt. */
const EWMA_WEIGHT = 0.1;
/** Weight of a progress measurement of a running attempt. */
const PROGRESS_WEIGHT = 0.05;
/** Time per token before the first measurement, in milliseconds. */
const INITIAL_MS_PER_TOKEN = 10;
/** Load in requests assumed to double the time per token of an idle target. */
const ASSUMED_DOUBLING_LOAD = 32;
/** Minimum variance of the load for using the measured slope. */
const MIN_VARIANCE = 4;

/** A measured time per token. */
export interface SpeedSample {
  /** Number of requests at the target. */
  readonly load: number;
  /** Time per token, in milliseconds. */
  readonly msPerToken: number;
}

/**
 * Fits a line to time per token over load, with exponential weighting.
 *
 * @example
 * ```ts
 * model.add({ load: 8, msPerToken: 10 }).msPerTokenAt(16);
 * ```
 */
export class SpeedModel {
  #meanMs = INITIAL_MS_PER_TOKEN;
  #meanLoad = 0;
  #loadVariance = 0;
  #covariance = 0;
  #hasSamples = false;

  /** Gets the mean time per token, in milliseconds. */
  get msPerToken(): number {
    return this.#meanMs;
  }

  /** Adds the measurement of a finished attempt. */
  add(sample: SpeedSample): this {
    return this.#update(sample, EWMA_WEIGHT);
  }

  /** Adds a progress measurement of a running attempt. */
  addProgress(sample: SpeedSample): this {
    return this.#update(sample, PROGRESS_WEIGHT);
  }

  /** Gets the expected time per token at a load, in milliseconds. */
  msPerTokenAt(load: number): number {
    const assumedSlope = this.#meanMs /
      (ASSUMED_DOUBLING_LOAD + this.#meanLoad);
    const hasEnoughVariance = this.#loadVariance >= MIN_VARIANCE;
    const measuredSlope = hasEnoughVariance
      ? this.#covariance / this.#loadVariance
      : assumedSlope;
    const slope = Math.min(
      2 * assumedSlope,
      Math.max(assumedSlope / 2, measuredSlope),
    );
    return Math.max(
      this.#meanMs / 4,
      this.#meanMs + slope * (load - this.#meanLoad),
    );
  }

  #update(sample: SpeedSample, weight: number): this {
    if (!this.#hasSamples) {
      this.#hasSamples = true;
      this.#meanLoad = sample.load;
    }
    const dLoad = sample.load - this.#meanLoad;
    const dMs = sample.msPerToken - this.#meanMs;
    this.#meanLoad += weight * dLoad;
    this.#meanMs += weight * dMs;
    this.#loadVariance = (1 - weight) *
      (this.#loadVariance + weight * dLoad * dLoad);
    this.#covariance = (1 - weight) *
      (this.#covariance + weight * dLoad * dMs);
    return this;
  }
}
