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
 * @param parts - Parameters of the line.
 * @param now - Time of the line, in milliseconds.
 * @returns The outcome that is compared with the expected one.
 */
export type ReplayHandler = (
  parts: Readonly<Record<string, unknown>>,
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
  hasAnswered: false,
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
    limits: (parts) => {
      this.#limits = parts as LimitSettings;
      this.#dispatcher.reconfigure();
      return {};
    },
    lastingZones: (parts) => {
      this.#lastingZones = parts.zones as readonly string[];
      return {};
    },
    announce: (parts, now) =>
      toTraceEffects(this.#dispatcher.announce(createAnnouncement(parts), now)),
    request: (parts, now) =>
      toTraceEffects(this.#dispatcher.submit(createItem(parts), now)),
    answered: (parts, now) =>
      toTraceEffects(this.#dispatcher.finish(
        String(parts.id),
        { type: "completed", tokens: Number(parts.tokens ?? 100) },
        now,
      )),
    failed: (parts, now) => {
      const { id, ...change } = parts;
      const outcome = { ...DEFAULT_FAILURE, ...change } as AttemptOutcome;
      return toTraceEffects(this.#dispatcher.finish(String(id), outcome, now));
    },
    died: (parts, now) =>
      toTraceEffects(this.#dispatcher.targetDied(String(parts.target), now)),
    leaving: (parts) => {
      this.#dispatcher.leave(String(parts.target));
      return {};
    },
    cancelled: (parts, now) => ({
      wasRunning: this.#dispatcher.cancel(String(parts.id), now),
    }),
    suspicion: (parts, now) =>
      toTraceEffects(this.#dispatcher.mergeSuspicion(
        parts as unknown as SuspicionChange,
        now,
      )),
    time: (_parts, now) => toTraceEffects(this.#dispatcher.tick(now)),
  };
}

function createAnnouncement(
  parts: Readonly<Record<string, unknown>>,
): TargetAnnouncement {
  return {
    incarnation: "1",
    url: "http://127.0.0.1:1",
    pools: ["m"],
    zone: "z",
    ...parts,
  } as unknown as TargetAnnouncement;
}

function createItem(parts: Readonly<Record<string, unknown>>): WorkItem {
  const fingerprint = String(parts.id);
  return { ...DEFAULT_ITEM, fingerprint, ...parts } as unknown as WorkItem;
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
