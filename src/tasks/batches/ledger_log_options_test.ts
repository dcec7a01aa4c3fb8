import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Packr } from "msgpackr";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import {
  type BatchCommand,
  type BatchCommandResult,
  BatchState,
  type LedgerSnapshot,
  ResultState,
} from "../../core/batches/mod.ts";
import { LogDriver } from "../log/log_driver.ts";
import { LogStore } from "../log/log_store.ts";
import { LEDGER_LOG_OPTIONS } from "./ledger_log_options.ts";
import {
  createSingleLogOptions,
  SINGLE_LOG_ID,
} from "../../../tests/support/single_log.ts";

const WAIT = { timeout: 20_000, interval: 5 };
const ITEMS = 30;
const TEXT = "text é ".repeat(200);
/** Options of a build that holds and reads texts as strings. */
const PLAIN = { createState: () => new BatchState() };

type Options = Partial<typeof LEDGER_LOG_OPTIONS>;

describe("the log of the ledger", () => {
  let dataFolder: string;
  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "ledger-log-"));
    await LogStore.create({
      dataFolder,
      name: "log",
      emptyState: new BatchState().save(),
      instances: [SINGLE_LOG_ID],
    });
  });
  afterEach(() => rm(dataFolder, { recursive: true, force: true }));

  async function start(options: Options) {
    const driver = new LogDriver<
      BatchCommand,
      LedgerSnapshot,
      BatchCommandResult,
      BatchState
    >({
      ...PLAIN,
      ...options,
      ...createSingleLogOptions(dataFolder),
    });
    await driver.start();
    await vi.waitFor(() => expect(driver.isReady).toBe(true), WAIT);
    return driver;
  }

  function* commands(): Iterable<BatchCommand> {
    const ids = Array.from({ length: ITEMS }, (_, i) => `i-${i}`);
    const items = ids.map((id) => createItem(id, { body: Buffer.from(id) }));
    yield { type: "accept", spec: createSpec({ items }) };
    for (const [i, id] of ids.entries()) {
      const pieces = [`${id} first`, TEXT, ""];
      const versions = [1];
      const partial = { batch: "b", item: id, after: 0, pieces, versions };
      yield { type: "keep", records: [partial] };
      if (i % 3 === 0) continue;
      const after = i % 3 === 1 ? 0 : 2;
      const result = { id, state: ResultState.Completed, text: TEXT, versions };
      yield { type: "list", records: [{ batch: "b", result, after }] };
    }
  }

  function contentOf(state: BatchState): unknown {
    const packr = new Packr({ useRecords: false });
    return packr.unpack(packr.pack(state.save()));
  }

  /** Checks that one build reads what another one stored. */
  async function doTest(writing: Options, reading: Options) {
    const writer = await start(writing);
    const expected = new BatchState();
    for (const command of commands()) {
      expected.apply(command);
      const index = writer.propose(command)?.index ?? Infinity;
      const applied = () =>
        expect(writer.applied).toBeGreaterThanOrEqual(index);
      await vi.waitFor(applied, WAIT);
    }
    await writer.stop();
    const reader = await start(reading);
    expect(contentOf(reader.state)).toEqual(contentOf(expected));
    await reader.stop();
  }

  for (
    const [name, compactBytes] of [["entries", Infinity], [
      "snapshots",
      1,
    ]] as const
  ) {
    const options = { ...LEDGER_LOG_OPTIONS, compactBytes };
    const plain = { ...PLAIN, compactBytes };
    it(`reads its ${name}`, () => doTest(options, options));
    it(`reads ${name} of a build that holds strings`, () =>
      doTest(plain, options));
    it(`writes ${name} that such a build reads`, () => doTest(options, plain));
  }
});
