/** Fills the log of a ledger, or reads it back: `fill FOLDER` or `read FOLDER`. */
import { createHash } from "node:crypto";
import { BatchState } from "../../src/core/batches/mod.ts";
import type { BatchCommand, BatchResult } from "../../src/core/batches/mod.ts";
import { LEDGER_LOG_OPTIONS } from "../../src/tasks/batches/ledger_log_options.ts";
import { LogDriver } from "../../src/tasks/log/log_driver.ts";
import { LogStore } from "../../src/tasks/log/log_store.ts";
import { createSingleLogOptions, SINGLE_LOG_ID } from "./single_log.ts";

const LOG = "batches";
const ITEMS = 64;
const PIECE_BYTES = 390;
const PIECES = 28;
/** Some 200 MB of results, of which the last 150 MB are kept. */
const BATCHES = 290;
const KEPT_BATCHES = 215;
const POLL_MS = 1;

const [mode, dataFolder] = process.argv.slice(2);

/** Writes the pieces of an item, each at once as a target sends it. */
function piecesOf(item: string): string[] {
  const filler = createHash("sha256").update(item).digest("hex").repeat(7);
  return Array.from(
    { length: PIECES },
    (_, i) => `${item}.${i} é ${filler}`.slice(0, PIECE_BYTES),
  );
}

function itemsOf(batch: string): string[] {
  return Array.from({ length: ITEMS }, (_, i) => `${batch}-item-${i}`);
}

/** Makes a copy that shares no memory, as one from another process does. */
function copyOf<T>(value: T): T {
  return JSON.parse(JSON.stringify(value)) as T;
}

function* commandsOf(batch: string): Iterable<BatchCommand> {
  const ids = itemsOf(batch);
  const items = ids.map((id) => ({
    id,
    path: `/rollout/${id}`,
    headers: { "Model": "m", "Prefix-Hash": `${id}:1000,${id}:16` },
    body: Buffer.from(id.repeat(20)),
    tokens: 1_416,
    group: id,
    model: "m",
  }));
  yield { type: "accept", spec: { id: batch, items } } as never;
  const long = ids.filter((_, i) => i % 4 === 0);
  yield {
    type: "keep",
    records: long.map((item) =>
      copyOf({
        batch,
        item,
        after: 0,
        pieces: piecesOf(item).slice(0, PIECES / 2),
        versions: [1],
      })
    ),
  };
  for (let i = 0; i < ids.length; i += ITEMS / 2) {
    yield {
      type: "list",
      records: ids.slice(i, i + ITEMS / 2).map((id) => {
        const after = long.includes(id) ? PIECES / 2 : 0;
        const text = piecesOf(id).slice(after).join("\n");
        const result = { id, state: "completed", text, versions: [1] };
        return copyOf({ batch, after, result: result as BatchResult });
      }),
    };
  }
  yield { type: "end", batch };
}

async function open() {
  const driver = new LogDriver<BatchCommand, never, unknown, never>({
    ...LEDGER_LOG_OPTIONS as object,
    ...createSingleLogOptions(dataFolder),
    name: LOG,
    createState: () => new BatchState() as never,
  });
  await driver.start();
  while (!driver.isReady) await sleep();
  return driver;
}

function sleep(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, POLL_MS));
}

async function fill(): Promise<void> {
  const emptyState = new BatchState().save();
  const instances = [SINGLE_LOG_ID];
  await LogStore.create({ dataFolder, name: LOG, emptyState, instances });
  const driver = await open();
  const apply = async (command: BatchCommand) => {
    const index = driver.propose(command)?.index ?? Infinity;
    while (driver.applied < index) await sleep();
  };
  for (let i = 0; i < BATCHES; i += 1) {
    for (const command of commandsOf(`batch-${i}`)) await apply(command);
    const batches = [`batch-${i - KEPT_BATCHES}`];
    if (i >= KEPT_BATCHES) await apply({ type: "forget", batches });
  }
  check(driver.state);
  await driver.stop();
}

async function read(): Promise<void> {
  const driver = await open();
  check(driver.state);
  await driver.stop();
}

/** Ends the process if a result has another position or content. */
function check(state: BatchState): void {
  for (let i = BATCHES - KEPT_BATCHES; i < BATCHES; i += 1) {
    const batch = `batch-${i}`;
    const page = state.get(batch)?.getPage(0, Infinity);
    const isSame = itemsOf(batch).every((id, position) => {
      const result = page?.results[position];
      return result?.id === id && result.text === piecesOf(id).join("\n");
    });
    if (!isSame) throw new Error(`${batch} is not as it was stored`);
  }
  const { maxRSS } = process.resourceUsage();
  console.log(JSON.stringify({ mode, maxRssMb: Math.round(maxRSS / 1_024) }));
}

await (mode === "fill" ? fill() : read());
process.exit(0);
