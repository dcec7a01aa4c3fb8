/** Replays the trace lines that concern requests and targets. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type AttemptOutcome,
  type DispatchEffect,
  Dispatcher,
  type WorkItem,
} from "../core/dispatch/mod.ts";
import type { LimitSettings } from "../core/configuration/mod.ts";
import {
  ExpectedTimePicker,
  type TargetAnnouncement,
} from "../core/routing/mod.ts";
import type { SuspicionChange } from "../core/quarantine/mod.ts";

/**
 * Handles the trace lines of one action.
 * @param params - Parameters of the line.
 * @param now - Time of the line, in milliseconds.
 * @returns The outcome that is compared with the expected one.
 */
export type ReplayHandler = (
  params: Readonly<Record<string, unknown>>,
  now: number,
) => unknown;

const SEED = 1;
const DEFAULT_ITEM = {
  kind: "call",
  workspace: "w",
  route: "r",
  pool: "m",
  cost: 100,
  tokens: 100,
  prefixTokens: 0,
  idempotent: true,
  maxAttempts: 3,
  deadline: 600_000,
} as const;
const DEFAULT_FAILURE = {
  type: "failed",
  reason: "targetFailed",
  verdict: "mayHaveRun",
  hasResponded: false,
  isOverload: false,
  isTargetFault: true,
} as const;

/** Runs the dispatcher of one trace. */
export class DispatchReplay {
  #limits: LimitSettings = {};
  #lastingZones: readonly string[] | undefined;
  readonly #dispatcher = new Dispatcher({
    picker: new ExpectedTimePicker(xoroshiro128plus(SEED)),
    random: () => 0.5,
    getWeight: () => 1,
    getLimits: () => this.#limits,
    isLasting: (target) =>
      this.#lastingZones?.includes(target.announcement.zone) ?? true,
  });

  /** Handlers by the action of the line. */
  readonly handlers: Readonly<Record<string, ReplayHandler>> = {
    limits: (params) => {
      this.#limits = params as LimitSettings;
      this.#dispatcher.reconfigure();
      return {};
    },
    lastingZones: (params) => {
      this.#lastingZones = params.zones as readonly string[];
      return {};
    },
    announce: (params, now) =>
      toTraceEffects(
        this.#dispatcher.announce(createAnnouncement(params), now),
      ),
    request: (params, now) =>
      toTraceEffects(this.#dispatcher.submit(createItem(params), now)),
    answered: (params, now) =>
      toTraceEffects(this.#dispatcher.finish(
        String(params.id),
        { type: "completed", tokens: Number(params.tokens ?? 100) },
        now,
      )),
    failed: (params, now) => {
      const { id, ...change } = params;
      const outcome = { ...DEFAULT_FAILURE, ...change } as AttemptOutcome;
      return toTraceEffects(this.#dispatcher.finish(String(id), outcome, now));
    },
    died: (params, now) =>
      toTraceEffects(this.#dispatcher.targetDied(String(params.target), now)),
    leaving: (params) => {
      this.#dispatcher.markLeaving(String(params.target));
      return {};
    },
    cancelled: (params, now) => ({
      wasRunning: this.#dispatcher.cancel(String(params.id), now),
    }),
    suspicion: (params, now) =>
      toTraceEffects(this.#dispatcher.mergeSuspicion(
        params as unknown as SuspicionChange,
        now,
      )),
    time: (_params, now) => toTraceEffects(this.#dispatcher.tick(now)),
  };
}

function createAnnouncement(
  params: Readonly<Record<string, unknown>>,
): TargetAnnouncement {
  return {
    incarnation: "1",
    url: "http://127.0.0.1:1",
    pools: ["m"],
    zone: "z",
    ...params,
  } as unknown as TargetAnnouncement;
}

function createItem(params: Readonly<Record<string, unknown>>): WorkItem {
  const fingerprint = String(params.id);
  return { ...DEFAULT_ITEM, fingerprint, ...params } as unknown as WorkItem;
}

/** Converts effects to the form that traces use in expected outcomes. */
function toTraceEffects(effects: readonly DispatchEffect[]): unknown {
  return effects.map((effect) => {
    if (effect.type === "suspect") {
      return { type: effect.type, ...effect.change };
    }
    const { item, ...rest } = effect;
    return { ...rest, id: item.id };
  });
}
