/** How the time of a token at a target grows with its load. */

const EWMA_WEIGHT = 0.1;
/** Weight of the progress of one running attempt. */
const PROGRESS_WEIGHT = 0.05;
/** Time of a token before any was measured, in milliseconds. */
const INITIAL_MS_PER_TOKEN = 10;
/** Requests at which a token is taken to need twice its time. */
const ASSUMED_DOUBLING_LOAD = 32;
/** Variance of the load from which its effect is believed. */
const MIN_VARIANCE = 4;

/** A measured time of a token. */
export interface SpeedSample {
  /** Requests at the target. */
  readonly load: number;
  /** Time of a token, in milliseconds. */
  readonly msPerToken: number;
}

/**
 * Fits a line through times of a token and loads, the latest weighing most.
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

  /** Gets the mean time of a token, in milliseconds. */
  get msPerToken(): number {
    return this.#meanMs;
  }

  /** Adds the measure of a finished attempt. */
  add(sample: SpeedSample): this {
    return this.#update(sample, EWMA_WEIGHT);
  }

  /** Adds the measure of a running attempt. */
  addProgress(sample: SpeedSample): this {
    return this.#update(sample, PROGRESS_WEIGHT);
  }

  /** Gets the expected time of a token at a load, in milliseconds. */
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
