/**
 * Simulates, in virtual time, workspaces whose batches are admitted or refused.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  BatchDrain,
  type BatchItem,
  BatchRecord,
  type BatchSpec,
  decideAdmission,
  expectedLengthOf,
  findPrecedingWork,
  orderItems,
  ResultState,
  ServiceTargets,
  wantedTokensOf,
} from "../../src/core/batches/mod.ts";
import { createItem, createSpec } from "./batch_spec.ts";

/** Options of {@link simulateAdmission}. */
export interface AdmissionSimulationOptions {
  /** Groups that each workspace submits at each interval. */
  readonly groups: Readonly<Record<string, number>>;
  /** Demand as a share of the capacity. */
  readonly demand: number;
  readonly hasAdmission: boolean;
  readonly giveUpMs: number;
  readonly seed: number;
}

/** Results of one workspace. */
export interface WorkspaceFigures {
  readonly groups: number;
  /** Groups complete within the objective since their first submission. */
  inTime: number;
  /** Groups complete before the caller gave up. */
  complete: number;
  /** Expected tokens of the items that ran to their end under load. */
  tokens: number;
  submitted: number;
  refused: number;
  /** Submissions refused of which an item ran; must stay 0. */
  refusedRan: number;
  /** Mean time from the first submission of a batch to its first run. */
  meanWaitMs: number;
}

const INTERVAL_MS = 4_000;
const OBJECTIVE_MS = 7_500;
const BATCHES = 20;
const GROUP_SIZE = 4;
const MEAN_TOKENS = 200;
const MS_PER_TOKEN = 10;
/** Slowdown of a target with full slots, see `loadFactorOf`. */
const FULL_LOAD_FACTOR = 1.2;
const TICK_MS = 50;
const SERVICE = "s";

interface Submission {
  readonly spec: BatchSpec;
  readonly firstAt: number;
  attempt: number;
  nextAt: number;
  record: BatchRecord | undefined;
  readonly endedAt: Map<string, number>;
  firstRunMs: number | undefined;
}

/** Simulates the batches; equal options give equal figures. */
export function simulateAdmission(
  options: AdmissionSimulationOptions,
): ReadonlyMap<string, WorkspaceFigures> {
  const { groups, demand, hasAdmission, giveUpMs } = options;
  const random = xoroshiro128plus(options.seed);
  const draw = () => 0.5 + uniformFloat64(random);
  const groupsPerInterval = Object.values(groups).reduce((a, b) => a + b, 0);
  const slots = Math.round(
    groupsPerInterval * GROUP_SIZE * MEAN_TOKENS * MS_PER_TOKEN /
      (INTERVAL_MS * demand),
  );
  const targets = new ServiceTargets().onSeen([{
    id: "t",
    service: SERVICE,
    dataCentre: "a",
    slots,
    paceMs: MS_PER_TOKEN / FULL_LOAD_FACTOR,
    isPaceKnown: true,
  }], 0);
  const drain = new BatchDrain().start([], 0);
  const figures = new Map(
    Object.entries(groups).map(([name, count]) => [
      name,
      {
        groups: count * BATCHES,
        inTime: 0,
        complete: 0,
        tokens: 0,
        submitted: 0,
        refused: 0,
        refusedRan: 0,
        meanWaitMs: 0,
      } as WorkspaceFigures,
    ]),
  );
  const submissions: Submission[] = [];
  const running = new Map<
    BatchItem,
    { by: Submission; startedAt: number; endsAt: number }
  >();
  const records = () =>
    submissions.flatMap(({ record }) => record === undefined ? [] : [record])
      .filter(({ isOpen }) => isOpen);

  function create(now: number): void {
    // The large workspace comes first, so that an order of arrival shows.
    for (const [name, count] of Object.entries(groups)) {
      const items = Array.from(
        { length: count * GROUP_SIZE },
        (_, i) =>
          createItem(`${name}${now}-${i}`, {
            group: `${Math.floor(i / GROUP_SIZE)}`,
            expectedTokens: Math.round(MEAN_TOKENS * draw()),
          }),
      );
      submissions.push({
        spec: createSpec({
          id: `${name}${now}`,
          workspace: name,
          objectiveMs: OBJECTIVE_MS,
          giveUpMs,
          items,
        }),
        firstAt: now,
        attempt: 0,
        nextAt: now,
        record: undefined,
        endedAt: new Map(),
        firstRunMs: undefined,
      });
    }
  }

  function submit(by: Submission, now: number): void {
    const counted = figures.get(by.spec.workspace)!;
    counted.submitted += 1;
    by.attempt += 1;
    const spec = {
      ...by.spec,
      id: `${by.spec.id}/${by.attempt}`,
      acceptedAt: now,
    };
    const open = records();
    const remainingOf = (item: BatchItem) => {
      const run = running.get(item);
      const done = run === undefined ? 0 : (now - run.startedAt) / MS_PER_TOKEN;
      return Math.max(0, expectedLengthOf(item) - done);
    };
    const capacity = targets.capacityOf(SERVICE, {
      tokensPerEvent: 1,
      isAllowed: () => true,
      limits: undefined,
      now: 0,
    });
    const decision = decideAdmission({
      batch: spec.id,
      workspace: spec.workspace,
      items: spec.items.length,
      tokens: wantedTokensOf(spec, {
        isRunnable: () => true,
        tokensOf: expectedLengthOf,
      }),
      giveUpInMs: giveUpMs,
      preceding: findPrecedingWork({
        spec,
        records: open,
        now,
        tokensOf: (_record, item) => remainingOf(item),
        placeOf: () => ({ place: "", placeTokensPerMs: slots / MS_PER_TOKEN }),
      }),
      openItems: open.reduce((sum, r) => sum + r.pendingItems.length, 0),
      capacity,
      drainTokensPerMs: drain.tokensPerMs(SERVICE, now),
      leadingMs: drain.elapsedMs(now),
    });
    if (hasAdmission && !decision.isAdmitted) {
      counted.refused += 1;
      if (by.spec.items.some((item) => running.has(item))) {
        counted.refusedRan += 1;
      }
      const nextAt = now + decision.retryAfterMs;
      by.nextAt = nextAt < by.firstAt + giveUpMs ? nextAt : Infinity;
      return;
    }
    by.record = new BatchRecord(spec);
    by.nextAt = Infinity;
    drain.onAccepted(spec, now);
  }

  function complete(now: number): void {
    for (const [item, { by, endsAt }] of running) {
      if (endsAt > now) continue;
      running.delete(item);
      by.endedAt.set(item.id, endsAt);
      if (now < BATCHES * INTERVAL_MS) {
        figures.get(by.spec.workspace)!.tokens += expectedLengthOf(item);
      }
      end(by, item, now, ResultState.Completed);
    }
    for (const by of submissions) {
      if (by.record === undefined || !by.record.isOpen) continue;
      if (now < by.record.spec.acceptedAt + giveUpMs) continue;
      for (const item of by.record.pendingItems) {
        running.delete(item);
        end(by, item, now, ResultState.Abandoned);
      }
    }
  }

  function end(
    { record }: Submission,
    { id }: BatchItem,
    now: number,
    state: ResultState,
  ): void {
    record!.addResult({ id, state, text: "", versions: [] });
    drain.onResult(record!.spec.id, id, {
      isCompleted: state === ResultState.Completed,
      now,
    });
  }

  function place(now: number): void {
    const byRecord = new Map(submissions.map((by) => [by.record, by]));
    const waiting = orderItems({
      records: records(),
      now,
      isWaiting: (record, item) =>
        !record.hasResult(item.id) && !running.has(item),
      isResubmitted: () => false,
    });
    for (const { record, item } of waiting.slice(0, slots - running.size)) {
      const by = byRecord.get(record)!;
      const ms = expectedLengthOf(item) * draw() * MS_PER_TOKEN;
      running.set(item, { by, startedAt: now, endsAt: now + ms });
      by.firstRunMs ??= now - by.firstAt;
    }
  }

  const endMs = BATCHES * INTERVAL_MS + 2 * giveUpMs;
  for (let now = 0; now < endMs; now += TICK_MS) {
    if (now % INTERVAL_MS === 0 && now < BATCHES * INTERVAL_MS) create(now);
    complete(now);
    for (const by of submissions) if (now >= by.nextAt) submit(by, now);
    place(now);
  }
  for (const [name, counted] of figures) {
    const own = submissions.filter(({ spec }) => spec.workspace === name);
    for (const by of own) {
      counted.inTime += groupsBy(by, by.firstAt + OBJECTIVE_MS);
      counted.complete += groupsBy(by, Infinity);
    }
    const waits = own.map(({ firstRunMs }) => firstRunMs)
      .filter((ms) => ms !== undefined);
    counted.meanWaitMs = Math.round(
      waits.reduce((sum, ms) => sum + ms, 0) / Math.max(1, waits.length),
    );
  }
  return figures;
}

/** Gets the number of groups that are complete by a time. */
function groupsBy({ spec, endedAt }: Submission, byMs: number): number {
  const isComplete = new Map<string, boolean>();
  for (const { id, group } of spec.items) {
    const endedInTime = (endedAt.get(id) ?? NaN) <= byMs;
    isComplete.set(group, endedInTime && isComplete.get(group) !== false);
  }
  return [...isComplete.values()].filter((value) => value).length;
}
