/** Runs batches through a batch runner whose engines are uneven. */
import { vi } from "vitest";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { BatchItem, BatchSpec } from "../../src/core/batches/mod.ts";
import type { BatchRunner } from "../../src/tasks/batches/mod.ts";
import { startRunnerWith, target } from "./batch_runner_fixture.ts";
import { createItem, createSpec } from "./batch_spec.ts";
import { SLOTS, type UnevenEngine, UnevenEngines } from "./uneven_engines.ts";

/** Options of {@link playUnevenLoad}. */
export interface UnevenLoadOptions {
  readonly seed: number;
  /** Share of the engines' capacity that the batches need. */
  readonly load: number;
  /** Factor on all estimates of output lengths. */
  readonly estimateFactor?: number;
  /** Called at every step, to change the engines. */
  readonly onStep?: (
    ms: number,
    engines: readonly UnevenEngine[],
    played: UnevenEngines,
  ) => void;
  /** Paces of the engines, in turn. */
  readonly paces?: readonly number[];
  readonly playedMs?: number;
  /** Called before the first batch. */
  readonly onStart?: (runner: BatchRunner) => void;
  /** Called after the last step. */
  readonly onEnd?: (runner: BatchRunner) => void;
  /** Share of the events that come late, as after a lost packet. */
  readonly lateShare?: number;
  /** Stalls of the event loop of the leader. */
  readonly stalls?: { readonly everyMs: number; readonly forMs: number };
}

/** What callers saw, and what it took. */
export interface UnevenLoadReport {
  /** Share of the groups that were complete when they were due. */
  readonly inTime: number;
  /** As `inTime`, without the first batch, which meets unknown engines. */
  readonly inTimeLearnt: number;
  /** As `inTime`, of the first batch alone. */
  readonly inTimeFirst: number;
  /** Mean time from acceptance to the end of an item, in milliseconds. */
  readonly meanEndMs: number;
  readonly items: number;
  readonly completed: number;
  readonly moves: number;
  /** Runs cancelled of items that are not in the first batch. */
  readonly movesLearnt: number;
  readonly cancelled: number;
  /** Cold prompts read for each group that started. */
  readonly coldPromptsPerGroup: number;
  readonly slowShare: number;
  readonly remoteShare: number;
  readonly refused: number;
}

const TARGETS = 36;
const BATCH_ITEMS = 440;
const OBJECTIVE_MS = 7_500;
const PLAYED_MS = 16_000;
const STEP_MS = 2;
const NO_STALLS = { everyMs: 1_000, forMs: 0 };
const MEDIAN_EVENTS = 17;
const SPREAD = 0.9;
const MAX_EVENTS = 300;
const TOKENS_PER_EVENT = 69;
/** Items a second that engines of the paces 0.7, 0.7 and 1.7 can end. */
const ROOM_PER_S = 413;

interface PlannedBatch {
  readonly at: number;
  readonly spec: BatchSpec;
  readonly ends: Map<string, number>;
}

/** Runs batches in virtual time; needs fake timers. */
export function playUnevenLoad(options: UnevenLoadOptions): UnevenLoadReport {
  const { seed, load, onStep, playedMs = PLAYED_MS } = options;
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const paces = options.paces ?? [0.7, 0.7, 1.7];
  const engines = Array.from({ length: TARGETS }, (_, i): UnevenEngine => ({
    id: `t${i}`,
    dataCentre: "abc"[Math.floor(i / 12)],
    pace: paces[i % paces.length],
    slowdown: 1,
    isLost: false,
    groups: new Set(),
    runs: 0,
  }));
  const lengths = new Map<string, number>();
  const groups = new Map<string, string>();
  const played = new UnevenEngines({
    engines,
    random,
    groupOf: (item) => groups.get(item)!,
    lengthOf: (item) => lengths.get(item)!,
    lateShare: options.lateShare ?? 0,
  });
  const { state, runner, registry, metrics, step } = startRunnerWith(
    played,
    engines.map(({ id, dataCentre }) =>
      target(id, { dataCentre, slots: SLOTS })
    ),
    [],
  );
  options.onStart?.(runner);
  const startedAt = Date.now();
  const intervalMs = 1_000 * BATCH_ITEMS / (ROOM_PER_S * load);
  const batches: PlannedBatch[] = [];
  for (let ms = 0; ms < playedMs; ms += STEP_MS) {
    if (ms >= batches.length * intervalMs) {
      const spec = planBatch(batches.length, options, random, lengths);
      for (const { id, group } of spec.items) {
        groups.set(id, `${spec.id}/${group}`);
      }
      state.apply({ type: "accept", spec });
      batches.push({ at: Date.now(), spec, ends: new Map() });
      runner.schedulePlacement();
    }
    onStep?.(ms, engines, played);
    for (const { id, isLost } of engines) {
      if (isLost && registry.remove(id, undefined, Date.now())) {
        runner.onTargetsChanged();
      }
    }
    const { everyMs, forMs } = options.stalls ?? NO_STALLS;
    if (ms % everyMs < everyMs - forMs) {
      played.readAll();
      played.play();
      step(STEP_MS);
    } else {
      played.holdUp();
      played.play();
      vi.setSystemTime(Date.now() + STEP_MS);
    }
    if (ms % 20 === 0) noteEnds(batches, (id) => state.get(id)!);
  }
  const report = reportOf(batches, played, {
    until: startedAt + playedMs,
    moves: metrics.values()["items.moved"] ?? 0,
  });
  options.onEnd?.(runner);
  runner.stop();
  return report;
}

function planBatch(
  number: number,
  { estimateFactor = 1 }: UnevenLoadOptions,
  random: () => number,
  lengths: Map<string, number>,
): BatchSpec {
  const normal = () =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const items: BatchItem[] = [];
  for (let group = 0; items.length < BATCH_ITEMS; group += 1) {
    const size = Math.min(random() < 0.5 ? 8 : 16, BATCH_ITEMS - items.length);
    for (let i = 0; i < size; i += 1) {
      const id = `b${number}-${group}-${i}`;
      const usual = MEDIAN_EVENTS * Math.exp(SPREAD * normal());
      const events = random() < 0.05 ? 5 * usual : usual;
      const length = Math.max(1, Math.min(MAX_EVENTS, Math.round(events)));
      lengths.set(id, length);
      const expectedTokens = Math.round(
        length * TOKENS_PER_EVENT * Math.exp(0.5 * normal()) * estimateFactor,
      );
      items.push(createItem(id, { group: `g${group}`, expectedTokens }));
    }
  }
  return createSpec({
    id: `b${number}`,
    acceptedAt: Date.now(),
    objectiveMs: OBJECTIVE_MS,
    giveUpMs: 60_000,
    minVersion: 5,
    items,
  });
}

function noteEnds(
  batches: readonly PlannedBatch[],
  recordOf: (id: string) => { hasResult(id: string): boolean },
): void {
  for (const { spec, ends } of batches) {
    if (ends.size === spec.items.length) continue;
    const record = recordOf(spec.id);
    for (const { id } of spec.items) {
      if (!ends.has(id) && record.hasResult(id)) ends.set(id, Date.now());
    }
  }
}

function reportOf(
  batches: readonly PlannedBatch[],
  played: UnevenEngines,
  { until, moves }: { until: number; moves: number },
): UnevenLoadReport {
  const due = batches.filter(({ at }) => at + OBJECTIVE_MS <= until);
  const groups = [0, 0];
  const groupsInTime = [0, 0];
  let endSumMs = 0;
  let ended = 0;
  for (const [i, { at, spec, ends }] of due.entries()) {
    const late = new Set<string>();
    for (const { id, group } of spec.items) {
      const end = ends.get(id);
      if (end === undefined || end - at > OBJECTIVE_MS) late.add(group);
      endSumMs += Math.min(end ?? until, until) - at;
      ended += 1;
    }
    const all = new Set(spec.items.map(({ group }) => group)).size;
    const part = i === 0 ? 0 : 1;
    groups[part] += all;
    groupsInTime[part] += all - late.size;
  }
  const startedGroups = batches
    .flatMap(({ spec }) => [...new Set(spec.items.map(({ group }) => group))])
    .length;
  const firstItems = new Set(batches[0].spec.items.map(({ id }) => id));
  const share = (part: number, whole: number) =>
    Math.round(1_000 * part / Math.max(1, whole)) / 1_000;
  return {
    inTime: share(groupsInTime[0] + groupsInTime[1], groups[0] + groups[1]),
    inTimeLearnt: share(groupsInTime[1], groups[1]),
    inTimeFirst: share(groupsInTime[0], groups[0]),
    meanEndMs: Math.round(endSumMs / Math.max(1, ended)),
    items: batches.length * BATCH_ITEMS,
    completed: batches.reduce((sum, { ends }) => sum + ends.size, 0),
    moves,
    movesLearnt: played.cancelled.filter((id) => !firstItems.has(id)).length,
    cancelled: played.cancelled.length,
    coldPromptsPerGroup: share(played.coldPrompts, startedGroups),
    slowShare: share(played.eventsAtSlow, played.events),
    remoteShare: share(played.remoteEvents, played.events),
    refused: played.refused,
  };
}
