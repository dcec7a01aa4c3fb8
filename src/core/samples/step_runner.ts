/** Tracks the samples of one step: submits, discards and hedges attempts. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import { type WorkItem, WorkKind } from "../dispatch/work_item.ts";
import { chooseHedges, type RunningAttempt } from "./hedge_policy.ts";
import type { CompletedSample } from "./sample.ts";
import type { StalenessGate } from "./staleness_gate.ts";
import { type Slot, slotsOf, type StepSpec } from "./step_spec.ts";

/** Options of {@link StepRunner}. */
export interface StepRunnerOptions {
  /** Staleness gate of the step's model. */
  readonly gate: StalenessGate;
  /** Slots that are already delivered, as after a takeover. */
  readonly delivered?: Iterable<number>;
  /** Slots that have already failed permanently. */
  readonly failed?: Iterable<number>;
  /** Hashes a text, for the fingerprint of a group's route and body. */
  readonly hash: (text: string) => string;
  /** Maximum number of attempts of each work item. */
  readonly maxAttempts: number;
  /** Whether stragglers are hedged; true by default. */
  readonly hedges?: boolean;
  /** Gets the time per token of a target relative to the fastest target. */
  readonly slowdownOf?: (targetId: string) => number;
  /** Makes the work item identifiers of successive runners distinct. */
  readonly epoch?: string;
}

/** Reason why a completed sample was discarded. */
export const DiscardReason = {
  /** The engine did not report the weight version of every chunk. */
  Unversioned: "unversioned",
  /** The sample exceeds its staleness bound. */
  Stale: "stale",
  /** The slot is already filled or the attempt is unknown. */
  Duplicate: "duplicate",
} as const;

/** One of the values of {@link DiscardReason}. */
export type DiscardReason = typeof DiscardReason[keyof typeof DiscardReason];

/** Actions that the owner of the runner must carry out. */
export interface StepEffects {
  /** Work items to submit to the dispatcher. */
  readonly submit: readonly WorkItem[];
  /** Identifiers of work items to cancel. */
  readonly cancel: readonly string[];
  /** Reasons of the samples that were discarded. */
  readonly discarded: readonly DiscardReason[];
}

interface SlotState {
  readonly slot: Slot;
  readonly prompt: GroupPrompt;
  /** Open work items by identifier; undefined until an item is placed. */
  readonly attempts: Map<string, AttemptPlacement | undefined>;
  /** Targets on which attempts of the slot were placed. */
  readonly targets: Set<string>;
  sample?: CompletedSample;
  isDelivered: boolean;
  isFailed: boolean;
  isHedged: boolean;
  nextAttempt: number;
}

interface AttemptPlacement {
  readonly at: number;
  readonly targetId: string;
}

interface GroupPrompt {
  readonly fingerprint: string;
  readonly tokens: number;
}

/** Estimated number of characters per prompt token. */
const CHARACTERS_PER_TOKEN = 4;
/** Number of latest durations from which the median is computed. */
const MAX_DURATIONS = 512;

/**
 * Tracks the slots of a step until each is delivered or has failed.
 *
 * @example
 * ```ts
 * const runner = new StepRunner(step, options);
 * for (const item of runner.start(Date.now()).submit) submit(item);
 * ```
 */
export class StepRunner {
  /** Specification of the step. */
  readonly spec: StepSpec;
  readonly #options: StepRunnerOptions;
  readonly #slots: SlotState[];
  readonly #durations: number[] = [];
  #hedges = 0;
  #wastedTokens = 0;
  #deliveredCount = 0;
  #failedCount = 0;

  /** Creates a runner; delivered and failed slots are not run again. */
  constructor(spec: StepSpec, options: StepRunnerOptions) {
    this.spec = spec;
    this.#options = options;
    const delivered = new Set(options.delivered ?? []);
    const failed = new Set(options.failed ?? []);
    this.#deliveredCount = delivered.size;
    this.#failedCount = failed.size;
    const prompts = new Map(
      spec.groups.map((group) => [group.id, this.#promptOf(group.body)]),
    );
    this.#slots = slotsOf(spec).map((slot) => ({
      slot,
      prompt: prompts.get(slot.group.id) ?? this.#promptOf(slot.group.body),
      attempts: new Map(),
      targets: new Set(),
      isDelivered: delivered.has(slot.index),
      isFailed: failed.has(slot.index),
      isHedged: false,
      nextAttempt: 0,
    }));
  }

  /** Gets the number of samples of the step. */
  get total(): number {
    return this.#slots.length;
  }

  /** Gets the number of delivered samples. */
  get delivered(): number {
    return this.#deliveredCount;
  }

  /** Gets the number of completed samples that wait for delivery. */
  get ready(): number {
    return this.#slots.filter((s) => s.sample !== undefined).length;
  }

  /** Gets the number of tokens of discarded samples. */
  get wastedTokens(): number {
    return this.#wastedTokens;
  }

  /** Gets whether every slot is delivered or has failed permanently. */
  get isDone(): boolean {
    return this.#deliveredCount + this.#failedCount === this.total;
  }

  /** Gets the slot of a work item. */
  getSlotOf(itemId: string): Slot | undefined {
    return this.#stateOf(itemId)?.slot;
  }

  /** Submits a work item for every open slot. */
  start(now: number): StepEffects {
    const open = this.#slots.filter((s) => !isFilled(s));
    return createEffects({
      submit: open.map((state) => this.#createItem(state, now)),
    });
  }

  /** Records that a work item was placed on a target. */
  onPlaced(itemId: string, targetId: string, now: number): this {
    const state = this.#stateOf(itemId);
    if (state?.attempts.has(itemId)) {
      state.attempts.set(itemId, { at: now, targetId });
      state.targets.add(targetId);
    }
    return this;
  }

  /**
   * Processes a completed sample: it fills the slot, which cancels the other
   * attempts, or it is discarded and submitted again.
   */
  onCompleted(
    itemId: string,
    sample: CompletedSample,
    now: number,
  ): StepEffects {
    const state = this.#stateOf(itemId);
    const startedAt = state?.attempts.get(itemId)?.at;
    const isExpected = state?.attempts.delete(itemId) ?? false;
    if (state === undefined || !isExpected || isFilled(state)) {
      this.#wastedTokens += sample.tokens;
      return createEffects({ discarded: [DiscardReason.Duplicate] });
    }
    if (startedAt !== undefined) this.#addDuration(now - startedAt);
    const reason = this.#discardReasonOf(sample, now);
    if (reason !== undefined) {
      return this.#regenerate(state, { sample, reason, now });
    }
    state.sample = sample;
    const others = [...state.attempts.keys()];
    state.attempts.clear();
    return createEffects({ cancel: others });
  }

  /** Processes a failed work item; submits a new one if none is left. */
  onFailed(itemId: string, now: number): StepEffects {
    const state = this.#stateOf(itemId);
    const isExpected = state?.attempts.delete(itemId) ?? false;
    if (state === undefined || !isExpected || isFilled(state)) {
      return createEffects({});
    }
    if (state.attempts.size > 0) return createEffects({});
    return createEffects({ submit: [this.#createItem(state, now)] });
  }

  /**
   * Marks the slot of a work item as failed, because no target can fill it.
   * @returns The slot, or undefined if it is already filled or failed.
   */
  failSlot(itemId: string): Slot | undefined {
    const state = this.#stateOf(itemId);
    const isExpected = state?.attempts.delete(itemId) ?? false;
    if (state === undefined || !isExpected || isFilled(state)) {
      return undefined;
    }
    state.isFailed = true;
    this.#failedCount += 1;
    return state.slot;
  }

  /**
   * Processes a new weight version: discards ready samples that are now stale,
   * and replaces waiting work items, which have an outdated minimum version.
   */
  onVersionAnnounced(now: number): StepEffects {
    const submit: WorkItem[] = [];
    const discarded: DiscardReason[] = [];
    const cancel: string[] = [];
    for (const state of this.#slots) {
      if (state.sample === undefined) {
        if (!this.#isWaiting(state)) continue;
        cancel.push(...state.attempts.keys());
        state.attempts.clear();
        submit.push(this.#createItem(state, now));
        continue;
      }
      if (this.#isFresh(state.sample, now)) continue;
      const regenerated = this.#regenerate(state, {
        sample: state.sample,
        reason: DiscardReason.Stale,
        now,
      });
      submit.push(...regenerated.submit);
      discarded.push(...regenerated.discarded);
    }
    return { submit, cancel, discarded };
  }

  /**
   * Gets fresh samples for delivery, in slot order.
   *
   * They remain ready until {@link StepRunner.onDelivered} is called.
   */
  peekReady(max: number, now: number): CompletedSample[] {
    const ready: CompletedSample[] = [];
    for (const { sample } of this.#slots) {
      if (ready.length >= max) break;
      if (sample !== undefined && this.#isFresh(sample, now)) {
        ready.push(sample);
      }
    }
    return ready;
  }

  /**
   * Records that samples were numbered and delivered.
   * @throws InvariantError if a slot was already delivered.
   */
  onDelivered(samples: readonly CompletedSample[]): this {
    for (const sample of samples) {
      const state = this.#slots[sample.slot];
      assertInvariant(
        !state.isDelivered,
        Invariant.SampleOnce,
        `Slot ${sample.slot} of step ${this.spec.id} is already delivered`,
      );
      state.isDelivered = true;
      state.sample = undefined;
      this.#deliveredCount += 1;
    }
    return this;
  }

  /** Discards stale samples and hedges stragglers; called periodically. */
  tick(now: number): StepEffects {
    const expired = this.spec.staleness.maxAgeMs === undefined
      ? createEffects({})
      : this.#discardExpired(now);
    if (this.#options.hedges === false) return expired;
    const slots = chooseHedges({
      total: this.total,
      completed: this.#deliveredCount + this.ready,
      waiting: this.#slots.filter((s) => this.#isWaiting(s)).length,
      hedges: this.#hedges,
      medianMs: this.#medianDurationMs(),
      running: this.#runningAttempts(now),
    });
    const hedges = slots.map((index) => this.#hedge(this.#slots[index], now));
    return { ...expired, submit: [...expired.submit, ...hedges] };
  }

  /** Gets the identifiers of all open work items, to cancel the step. */
  openItemIds(): string[] {
    return this.#slots.flatMap((state) => [...state.attempts.keys()]);
  }

  #discardExpired(now: number): StepEffects {
    const submit: WorkItem[] = [];
    const discarded: DiscardReason[] = [];
    for (const state of this.#slots) {
      if (state.sample === undefined || this.#isFresh(state.sample, now)) {
        continue;
      }
      const reason = DiscardReason.Stale;
      const regenerated = this.#regenerate(state, {
        sample: state.sample,
        reason,
        now,
      });
      submit.push(...regenerated.submit);
      discarded.push(...regenerated.discarded);
    }
    return createEffects({ submit, discarded });
  }

  #discardReasonOf(
    sample: CompletedSample,
    now: number,
  ): DiscardReason | undefined {
    if (sample.versions.length === 0) return DiscardReason.Unversioned;
    return this.#isFresh(sample, now) ? undefined : DiscardReason.Stale;
  }

  #isFresh(sample: CompletedSample, now: number): boolean {
    return this.#options.gate.isFresh(sample, this.spec.staleness, now);
  }

  #regenerate(
    state: SlotState,
    discard: { sample: CompletedSample; reason: DiscardReason; now: number },
  ): StepEffects {
    this.#wastedTokens += discard.sample.tokens;
    state.sample = undefined;
    const submit = state.attempts.size > 0
      ? []
      : [this.#createItem(state, discard.now)];
    return createEffects({ submit, discarded: [discard.reason] });
  }

  #hedge(state: SlotState, now: number): WorkItem {
    state.isHedged = true;
    this.#hedges += 1;
    return { ...this.#createItem(state, now), avoid: [...state.targets] };
  }

  #createItem(state: SlotState, now: number): WorkItem {
    const { spec } = this;
    const { gate, epoch = "0" } = this.#options;
    const attempt = state.nextAttempt;
    state.nextAttempt += 1;
    const id = `${spec.workspace}/${spec.id}/${state.slot.index}/` +
      `${epoch}.${attempt}`;
    state.attempts.set(id, undefined);
    const expectedEnd = now + (this.#medianDurationMs() ?? 0);
    return {
      id,
      kind: WorkKind.Sample,
      workspace: spec.workspace,
      route: spec.route,
      pool: spec.model,
      cost: spec.tokensPerSample,
      tokens: spec.tokensPerSample,
      prefix: state.prompt.fingerprint,
      prefixTokens: state.prompt.tokens,
      fingerprint: state.prompt.fingerprint,
      idempotent: true,
      maxAttempts: this.#options.maxAttempts,
      deadline: Infinity,
      minVersion: gate.requiredVersion(spec.staleness),
      preferredVersion: gate.preferredVersion(spec.staleness, expectedEnd),
    };
  }

  #promptOf(body: Readonly<Record<string, unknown>>): GroupPrompt {
    const text = JSON.stringify(body);
    return {
      fingerprint: this.#options.hash(`${this.spec.route} ${text}`),
      tokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN),
    };
  }

  #stateOf(itemId: string): SlotState | undefined {
    const index = Number(itemId.split("/").at(-2));
    return this.#slots[index];
  }

  #isWaiting(state: SlotState): boolean {
    if (isFilled(state) || state.attempts.size === 0) return false;
    return [...state.attempts.values()].every((placement) =>
      placement === undefined
    );
  }

  #runningAttempts(now: number): RunningAttempt[] {
    const running: RunningAttempt[] = [];
    for (const state of this.#slots) {
      if (isFilled(state)) continue;
      for (const placement of state.attempts.values()) {
        if (placement === undefined) continue;
        running.push({
          slot: state.slot.index,
          ageMs: now - placement.at,
          isHedged: state.isHedged,
          slowdown: this.#options.slowdownOf?.(placement.targetId) ?? 1,
        });
      }
    }
    return running;
  }

  #addDuration(durationMs: number): void {
    this.#durations.push(durationMs);
    if (this.#durations.length > MAX_DURATIONS) this.#durations.shift();
  }

  #medianDurationMs(): number | undefined {
    if (this.#durations.length === 0) return undefined;
    const sorted = [...this.#durations].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)];
  }
}

function isFilled(state: SlotState): boolean {
  return state.isDelivered || state.isFailed || state.sample !== undefined;
}

function createEffects(parts: Partial<StepEffects>): StepEffects {
  return { submit: [], cancel: [], discarded: [], ...parts };
}
