/** Simulates, in virtual time, batches that compete for a number of slots. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type BatchItem,
  BatchRecord,
  expectedLengthOf,
  type OrderInput,
  ResultState,
  type WaitingItem,
} from "../../src/core/batches/mod.ts";
import { createItem, createSpec } from "./batch_spec.ts";

/** A workspace that submits a batch at each interval. */
export interface SimulatedWorkspace {
  readonly name: string;
  readonly priority?: number;
  readonly groups: number;
}

/** Options of {@link simulateBatchOrder}. */
export interface BatchOrderOptions {
  readonly workspaces: readonly SimulatedWorkspace[];
  /** Capacity as a share of the demand. */
  readonly capacity: number;
  readonly order: (input: OrderInput) => readonly WaitingItem[];
  readonly seed: number;
}

/** Results of one batch. */
export interface BatchFigures {
  readonly workspace: string;
  /** Share of the groups that were complete in time. */
  readonly inTime: number;
  /** Time from acceptance until its first item ran; Infinity if none did. */
  readonly firstRunMs: number;
}

const INTERVAL_MS = 4_000;
const OBJECTIVE_MS = 7_500;
const GIVE_UP_MS = 20_000;
const BATCHES = 8;
const GROUP_SIZE = 4;
const MEAN_TOKENS = 200;
const MS_PER_TOKEN = 10;
const TICK_MS = 50;

interface Played {
  readonly record: BatchRecord;
  readonly endedAt: Map<string, number>;
  firstRunMs: number;
}

/** Simulates the batches; equal options give equal figures. */
export function simulateBatchOrder(options: BatchOrderOptions): BatchFigures[] {
  const { workspaces, capacity, order } = options;
  const random = xoroshiro128plus(options.seed);
  const draw = () => 0.5 + uniformFloat64(random);
  const items = workspaces.reduce((sum, { groups }) => sum + groups, 0) *
    GROUP_SIZE;
  const slots = Math.round(
    capacity * items * MEAN_TOKENS * MS_PER_TOKEN / INTERVAL_MS,
  );
  const played = new Map<BatchRecord, Played>();
  const running = new Map<BatchItem, { played: Played; endsAt: number }>();

  function submit(acceptedAt: number): void {
    for (const { name, priority = 0, groups } of workspaces) {
      const spec = createSpec({
        id: `${name}${acceptedAt}`,
        workspace: name,
        priority: { workspace: priority, route: 0 },
        acceptedAt,
        objectiveMs: OBJECTIVE_MS,
        items: Array.from(
          { length: groups * GROUP_SIZE },
          (_, i) =>
            createItem(`${i}`, {
              group: `${Math.floor(i / GROUP_SIZE)}`,
              expectedTokens: Math.round(MEAN_TOKENS * draw()),
            }),
        ),
      });
      const record = new BatchRecord(spec);
      played.set(record, { record, endedAt: new Map(), firstRunMs: Infinity });
    }
  }

  function complete(now: number): void {
    for (const [item, run] of running) {
      if (run.endsAt > now) continue;
      running.delete(item);
      run.played.endedAt.set(item.id, run.endsAt);
      run.played.record.addResult({
        id: item.id,
        state: ResultState.Completed,
        text: "",
        versions: [],
      });
    }
  }

  function place(now: number): void {
    const records = [...played.keys()]
      .filter(({ spec }) => now < spec.acceptedAt + GIVE_UP_MS);
    const waiting = order({
      records,
      now,
      isWaiting: (record, item) =>
        !record.hasResult(item.id) && !running.has(item),
      isResubmitted: () => false,
    });
    for (const { record, item } of waiting.slice(0, slots - running.size)) {
      const batch = played.get(record)!;
      const ms = expectedLengthOf(item) * draw() * MS_PER_TOKEN;
      running.set(item, { played: batch, endsAt: now + ms });
      const waitedMs = now - record.spec.acceptedAt;
      batch.firstRunMs = Math.min(batch.firstRunMs, waitedMs);
    }
  }

  const endMs = BATCHES * INTERVAL_MS + GIVE_UP_MS;
  for (let now = 0; now < endMs; now += TICK_MS) {
    if (now % INTERVAL_MS === 0 && now < BATCHES * INTERVAL_MS) submit(now);
    complete(now);
    place(now);
  }
  return [...played.values()].map(figuresOf);
}

function figuresOf({ record, endedAt, firstRunMs }: Played): BatchFigures {
  const { workspace, acceptedAt, items } = record.spec;
  const isInTime = new Map<string, boolean>();
  for (const { id, group } of items) {
    const isDue = (endedAt.get(id) ?? Infinity) <= acceptedAt + OBJECTIVE_MS;
    isInTime.set(group, isDue && isInTime.get(group) !== false);
  }
  const groups = [...isInTime.values()];
  const inTime = groups.filter((value) => value).length / groups.length;
  return { workspace, inTime, firstRunMs };
}
