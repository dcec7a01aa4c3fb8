/**
 * Fills the log of a ledger, reads it back, or offers it a steady load of
 * batches: `fill FOLDER`, `read FOLDER` or `sustain FOLDER`.
 */
import { createHash } from "node:crypto";
import { getHeapStatistics } from "node:v8";
import {
  AdmissionReason,
  type BatchCommand,
  type BatchResult,
  type BatchSpec,
  BatchState,
  diskRoomOf,
  expiryOf,
  type LedgerSnapshot,
  roomOf,
} from "../../src/core/batches/mod.ts";
import { Logger } from "../../src/logging/mod.ts";
import { Metrics } from "../../src/metrics/mod.ts";
import {
  LEDGER_LOG_OPTIONS,
  MAX_UNMOVED_BYTES,
} from "../../src/tasks/batches/ledger_log_options.ts";
import { MemoryGate } from "../../src/tasks/batches/memory_gate.ts";
import { ResultFiles } from "../../src/tasks/batches/result_files.ts";
import { LogDriver } from "../../src/tasks/log/log_driver.ts";
import { LogStore } from "../../src/tasks/log/log_store.ts";
import { createSingleLogOptions, SINGLE_LOG_ID } from "./single_log.ts";

const LOG = "batches";
const PIECE_BYTES = 390;
const POLL_MS = 1;
const MS_PER_S = 1_000;

/** Batches that are given to the log. */
interface BatchShape {
  readonly items: number;
  /** Pieces of each output. */
  readonly pieces: number;
  readonly bodyBytes: number;
}

/** Some 200 MB of results, of which the last 150 MB are kept. */
const FILL: BatchShape = { items: 64, pieces: 28, bodyBytes: 300 };
const FILL_BATCHES = 290;
const FILL_KEPT = 215;

/** Results of 8 KB, 86 a second, kept for 150 s after their batch began. */
const SUSTAIN: BatchShape = { items: 120, pieces: 21, bodyBytes: 600 };
const SUSTAIN_INTERVAL_S = 1.4;
const SUSTAIN_S = 300;
const KEEP_MS = 120_000;
/** Memory and disk of the smallest machine of the role, in bytes. */
const MACHINE_BYTES = 220_000_000;
const DISK_BYTES = 460_000_000;

const [mode, dataFolder] = process.argv.slice(2);
let files: ResultFiles | undefined;

/** Writes the pieces of an item, each at once as a target sends it. */
function piecesOf(item: string, { pieces }: BatchShape): string[] {
  const filler = createHash("sha256").update(item).digest("hex").repeat(7);
  return Array.from(
    { length: pieces },
    (_, i) => `${item}.${i} é ${filler}`.slice(0, PIECE_BYTES),
  );
}

function itemsOf(batch: string, { items }: BatchShape): string[] {
  return Array.from({ length: items }, (_, i) => `${batch}-item-${i}`);
}

/** Makes a copy that shares no memory, as one from another process does. */
function copyOf<T>(value: T): T {
  return JSON.parse(JSON.stringify(value)) as T;
}

function specOf(id: string, acceptedAt: number, shape: BatchShape): BatchSpec {
  const items = itemsOf(id, shape).map((item) => ({
    id: item,
    path: `/rollout/${item}`,
    headers: { "Model": "m", "Prefix-Hash": `${item}:1000,${item}:16` },
    body: Buffer.from(item.repeat(100)).subarray(0, shape.bodyBytes),
    tokens: 1_416,
    group: item,
    model: "m",
  }));
  return { id, acceptedAt, giveUpMs: 12_000, items } as never;
}

function* commandsOf(
  spec: BatchSpec,
  shape: BatchShape,
): Iterable<BatchCommand> {
  const ids = itemsOf(spec.id, shape);
  yield { type: "accept", spec };
  const long = ids.filter((_, i) => i % 4 === 0);
  const half = shape.pieces >> 1;
  yield {
    type: "keep",
    records: long.map((item) =>
      copyOf({
        batch: spec.id,
        item,
        after: 0,
        pieces: piecesOf(item, shape).slice(0, half),
        versions: [1],
      })
    ),
  };
  const middle = ids.length / 2;
  for (const part of [ids.slice(0, middle), ids.slice(middle)]) {
    yield {
      type: "list",
      records: part.map((id) => {
        const after = long.includes(id) ? half : 0;
        const text = piecesOf(id, shape).slice(after).join("\n");
        const result = { id, state: "completed", text, versions: [1] };
        return copyOf({
          batch: spec.id,
          after,
          result: result as BatchResult,
        });
      }),
    };
  }
  yield { type: "end", batch: spec.id };
}

type Driver = LogDriver<BatchCommand, LedgerSnapshot, unknown, BatchState>;

async function open(): Promise<Driver> {
  const driver: Driver = new LogDriver({
    ...createSingleLogOptions(dataFolder),
    ...LEDGER_LOG_OPTIONS,
    name: LOG,
    openFiles: async (folder, state) =>
      files = await ResultFiles.open(folder, state),
  });
  await driver.start();
  while (!driver.isReady) await sleep();
  return driver;
}

async function create(): Promise<Driver> {
  const emptyState = new BatchState().save();
  const instances = [SINGLE_LOG_ID];
  await LogStore.create({ dataFolder, name: LOG, emptyState, instances });
  return await open();
}

function sleep(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, POLL_MS));
}

async function apply(driver: Driver, command: BatchCommand): Promise<void> {
  const index = driver.propose(command)?.index ?? Infinity;
  while (driver.applied < index) await sleep();
}

async function fill(): Promise<void> {
  const driver = await create();
  for (let i = 0; i < FILL_BATCHES; i += 1) {
    const spec = specOf(`batch-${i}`, 0, FILL);
    for (const command of commandsOf(spec, FILL)) await apply(driver, command);
    const batches = [`batch-${i - FILL_KEPT}`];
    if (i >= FILL_KEPT) await apply(driver, { type: "forget", batches });
  }
  await check(driver.state, FILL);
  report(driver.state.all.length);
  await driver.stop();
}

async function read(shape: BatchShape): Promise<void> {
  const driver = await open();
  await check(driver.state, shape);
  report(driver.state.all.length);
  await driver.stop();
}

async function sustain(): Promise<void> {
  const driver = await create();
  let wallNow = 0;
  let refused = 0;
  const gate = createGate(driver, () => wallNow);
  for (let i = 0; wallNow < SUSTAIN_S * MS_PER_S; i += 1) {
    wallNow = Math.round(i * SUSTAIN_INTERVAL_S * MS_PER_S);
    const batches = driver.state.all
      .filter((record) => wallNow > expiryOf(record, KEEP_MS))
      .map((record) => record.spec.id);
    if (batches.length > 0) await apply(driver, { type: "forget", batches });
    const spec = specOf(`batch-${i}`, wallNow, SUSTAIN);
    if (!gate.decide(spec).isAdmitted) {
      refused += 1;
      continue;
    }
    for (const command of commandsOf(spec, SUSTAIN)) {
      await apply(driver, command);
    }
  }
  await check(driver.state, SUSTAIN);
  report(driver.state.all.length, refused);
  await driver.stop();
}

function createGate(driver: Driver, wallNow: () => number): MemoryGate {
  const heapBytes = getHeapStatistics().heap_size_limit;
  return new MemoryGate({
    state: () => driver.state,
    admission: () => ({
      decide: () => ({
        isAdmitted: true,
        reason: AdmissionReason.Memory,
        precedingTokens: 0,
        capacityTokens: 0,
        shareTokens: 0,
        usedTokens: 0,
        retryAfterMs: 0,
      }),
      onRefused: () => {},
    }),
    room: {
      memoryBytes: roomOf({ heapBytes, machineBytes: MACHINE_BYTES }),
      diskBytes: diskRoomOf(DISK_BYTES),
      maxUnmovedBytes: MAX_UNMOVED_BYTES,
    },
    keepResultsMs: KEEP_MS,
    logger: new Logger({ instance: "test", level: "error" }),
    metrics: new Metrics({ tags: {} }),
    wallNow,
  });
}

/** Ends the process if a result has another position or content. */
async function check(state: BatchState, shape: BatchShape): Promise<void> {
  for (const { spec, ...record } of state.all.map(pageOf)) {
    const results = await files!.read(record.results);
    const isSame = itemsOf(spec.id, shape).every((id, position) => {
      const result = results[position];
      return result?.id === id &&
        result.text === piecesOf(id, shape).join("\n");
    });
    if (!isSame) throw new Error(`${spec.id} is not as it was stored`);
  }
}

function pageOf(record: BatchState["all"][number]) {
  return { spec: record.spec, results: record.getPage(0, Infinity).results };
}

function report(batches: number, refused = 0): void {
  const { maxRSS } = process.resourceUsage();
  const maxRssMb = Math.round(maxRSS / 1_024);
  console.log(JSON.stringify({ mode, batches, refused, maxRssMb }));
}

const MODES: Readonly<Record<string, () => Promise<void>>> = {
  fill,
  read: () => read(FILL),
  sustain,
  resume: () => read(SUSTAIN),
};

await MODES[mode]();
process.exit(0);
