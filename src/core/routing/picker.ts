/** Policies that pick a target for a request. */
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { Target } from "./target.ts";
import { PrefixMap } from "./prefix_map.ts";

/** Input of {@link Picker.pick}. */
export interface PickInput {
  /** Targets that may run the request and have free capacity. */
  readonly candidates: readonly Target[];
  /** Estimated number of tokens to generate. */
  readonly tokens: number;
  /** Number of prompt tokens that a cached prefix saves. */
  readonly prefixTokens: number;
  /** Hash of the prompt prefix; undefined for none. */
  readonly prefix?: string;
  /** Weight version below which a sample would probably become stale. */
  readonly preferredVersion?: number;
  /** Current time, in milliseconds. */
  readonly now: number;
}

/** A policy that picks among targets with free capacity. */
export interface Picker {
  /** Gets the best target, or undefined without candidates. */
  pick(input: PickInput): Target | undefined;
  /** Records that a request was placed on a target. */
  onPlaced(prefix: string | undefined, targetId: string): void;
  /** Removes a target from the cache model, as after its end. */
  forget(targetId: string): void;
  /** Records that a target has evicted a prefix from its cache. */
  onEvicted?(prefix: string, event: CacheEvent): void;
}

/** A cache event reported by a target. */
export interface CacheEvent {
  /** Identifier of the target. */
  readonly targetId: string;
  /** Sequence number of the event at its target; a gap means lost events. */
  readonly sequence: number;
}

/** Number of random candidates compared besides the prefix holders. */
const SAMPLE_SIZE = 4;
/** Assumed prefill time of an uncached prompt token, in milliseconds. */
const PREFILL_MS_PER_TOKEN = 0.5;
/** Penalty for weights that will probably become stale, in milliseconds. */
const STALE_WEIGHTS_PENALTY_MS = 5_000;

/**
 * Picks the target with the shortest expected time from a small sample.
 *
 * Targets that hold the prompt prefix and a few random ones are compared by
 * expected time, including prefill, so a group stays on a target with a warm
 * cache until its load costs more than the cache saves.
 */
export class ExpectedTimePicker implements Picker {
  readonly #prefixes = new PrefixMap();
  readonly #random: RandomGenerator;

  /**
   * Creates the picker.
   * @param random - Source of randomness; owned by the picker.
   */
  constructor(random: RandomGenerator) {
    this.#random = random;
  }

  /** Gets the map from prefixes to the targets that hold them. */
  get prefixes(): PrefixMap {
    return this.#prefixes;
  }

  /** Gets the best target, or undefined without candidates. */
  pick(input: PickInput): Target | undefined {
    const holders = new Set(
      input.prefix === undefined ? [] : this.#prefixes.holdersOf(input.prefix),
    );
    let best: Target | undefined;
    let bestCost = Infinity;
    for (const target of this.#candidatesToCompare(input.candidates, holders)) {
      const cost = costOf(target, input, holders.has(target.id));
      if (cost >= bestCost) continue;
      best = target;
      bestCost = cost;
    }
    return best;
  }

  /** Records that a request was placed on a target. */
  onPlaced(prefix: string | undefined, targetId: string): void {
    if (prefix !== undefined) this.#prefixes.onPlaced(prefix, targetId);
  }

  /** Removes a target from the cache model, as after its end. */
  forget(targetId: string): void {
    this.#prefixes.forget(targetId);
  }

  /** Records that a target has evicted a prefix from its cache. */
  onEvicted(prefix: string, event: CacheEvent): void {
    const { targetId, sequence } = event;
    this.#prefixes.onSequence(targetId, sequence).onEvicted(prefix, targetId);
  }

  #candidatesToCompare(
    candidates: readonly Target[],
    holders: ReadonlySet<string>,
  ): Iterable<Target> {
    if (candidates.length <= SAMPLE_SIZE * 2) return candidates;
    const chosen = new Set<Target>();
    for (const target of candidates) {
      if (holders.has(target.id)) chosen.add(target);
    }
    for (let i = 0; i < SAMPLE_SIZE; i += 1) {
      const index = uniformInt(this.#random, 0, candidates.length - 1);
      chosen.add(candidates[index]);
    }
    return chosen;
  }
}

function costOf(
  target: Target,
  input: PickInput,
  isHolder: boolean,
): number {
  const prefillMs = isHolder ? 0 : input.prefixTokens * PREFILL_MS_PER_TOKEN;
  const isStale = input.preferredVersion !== undefined &&
    (target.weightVersion ?? -Infinity) < input.preferredVersion;
  const penaltyMs = isStale ? STALE_WEIGHTS_PENALTY_MS : 0;
  return target.expectedMs(input.tokens, input.now) + prefillMs + penaltyMs;
}
