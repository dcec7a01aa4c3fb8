/** Picks a target for a request. */
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { Target } from "./target.ts";
import { PrefixMap } from "./prefix_map.ts";

/** What the choice looks at. */
export interface PickQuestion {
  /** Targets that may take the request and have room. */
  readonly candidates: readonly Target[];
  /** Tokens to be generated, by estimate. */
  readonly tokens: number;
  /** Prompt tokens that a warm cache saves. */
  readonly prefixTokens: number;
  /** Prefix of the prompt; undefined where there is none. */
  readonly prefix?: string;
  /** Version below which a sample would probably get too old. */
  readonly preferredVersion?: number;
  /** Current time, in milliseconds. */
  readonly now: number;
}

/** Interface of a policy that picks among targets with room. */
export interface Picker {
  /** Gets the best target, or undefined where there is none. */
  pick(input: PickQuestion): Target | undefined;
  /** Records a placement. */
  onPlaced(prefix: string | undefined, targetId: string): void;
  /** Forgets what was believed of a target. */
  forget(targetId: string): void;
  /** Takes in that a target has dropped a prefix from its cache. */
  onEvicted?(prefix: string, event: CacheEvent): void;
}

/** A target's word about its cache. */
export interface CacheEvent {
  /** Target. */
  readonly targetId: string;
  /** Number of the event at its target; a gap shows that some were lost. */
  readonly sequence: number;
}

/** Random candidates compared besides the holders of the prefix. */
const SAMPLE_SIZE = 4;
/** Time to process a prompt token that is not cached, in milliseconds. */
const PREFILL_MS_PER_TOKEN = 0.5;
/** Added cost of weights that will probably be too old, in milliseconds. */
const STALE_WEIGHTS_PENALTY_MS = 5_000;

/**
 * Picks the target with the least expected time among a few.
 *
 * The holders of the prompt prefix and a few random targets are compared by
 * expected time, prompt processing included, so a group stays on a warm
 * target until its queue costs more than the cache saves.
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

  /** Gets the map of prefixes, for cache events. */
  get prefixes(): PrefixMap {
    return this.#prefixes;
  }

  /** Gets the best target, or undefined where there is none. */
  pick(input: PickQuestion): Target | undefined {
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

  /** Records a placement. */
  onPlaced(prefix: string | undefined, targetId: string): void {
    if (prefix !== undefined) this.#prefixes.onPlaced(prefix, targetId);
  }

  /** Forgets what was believed of a target. */
  forget(targetId: string): void {
    this.#prefixes.forget(targetId);
  }

  /** Takes in that a target has dropped a prefix from its cache. */
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
  input: PickQuestion,
  isHolder: boolean,
): number {
  const prefillMs = isHolder ? 0 : input.prefixTokens * PREFILL_MS_PER_TOKEN;
  const isStale = input.preferredVersion !== undefined &&
    (target.weightVersion ?? -Infinity) < input.preferredVersion;
  const penaltyMs = isStale ? STALE_WEIGHTS_PENALTY_MS : 0;
  return target.expectedMs(input.tokens, input.now) + prefillMs + penaltyMs;
}
