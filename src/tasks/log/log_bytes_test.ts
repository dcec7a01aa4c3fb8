import { readdirSync, statSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Packr } from "msgpackr";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { BatchState } from "../../core/batches/mod.ts";
import { type FleetCommand, FleetState } from "../../core/fleet/mod.ts";
import { LogDriver } from "./log_driver.ts";
import { LogStore } from "./log_store.ts";
import type { StateMachine } from "./state_machine.ts";
import {
  createSingleLogOptions,
  SINGLE_LOG_ID,
} from "../../../tests/support/single_log.ts";

const WAIT = { timeout: 20_000, interval: 5 };
const MIB = 1_048_576;
/** Room of one log in the heap of a process of 160 MiB, in bytes. */
const LOG_ROOM_BYTES = 32 * MIB;

/** Gets a snapshot as it is written to a file. */
function contentOf(snapshot: unknown): unknown {
  const packr = new Packr({ useRecords: false });
  return packr.unpack(packr.pack(snapshot));
}

describe("a log of heavy entries", () => {
  let dataFolder: string;
  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "log-bytes-"));
  });
  afterEach(() => rm(dataFolder, { recursive: true, force: true }));

  function createDriver<C, S, A, M extends StateMachine<C, S, A>>(
    createState: () => M,
  ) {
    return new LogDriver<C, S, A, M>({
      ...createSingleLogOptions(dataFolder),
      createState,
    });
  }

  async function start<C, S, A, M extends StateMachine<C, S, A>>(
    createState: () => M,
  ) {
    await LogStore.create({
      dataFolder,
      name: "log",
      emptyState: createState().save(),
      instances: [SINGLE_LOG_ID],
    });
    const driver = createDriver<C, S, A, M>(createState);
    await driver.start();
    await vi.waitFor(() => expect(driver.isReady).toBe(true), WAIT);
    return driver;
  }

  /** Gets the size of the largest file; files come and go meanwhile. */
  function fileBytes(): number {
    const folder = join(dataFolder, "log");
    const sizes = readdirSync(folder).map((name) =>
      statSync(join(folder, name), { throwIfNoEntry: false })?.size ?? 0
    );
    return Math.max(...sizes);
  }

  /** Proposes commands one after the other, and gets the largest sizes seen. */
  async function doTest<C, S, A, M extends StateMachine<C, S, A>>(
    createState: () => M,
    commands: Iterable<C>,
  ) {
    const driver = await start<C, S, A, M>(createState);
    let heapBytes = 0;
    let diskBytes = 0;
    for (const command of commands) {
      const index = driver.propose(command)?.index ?? Infinity;
      const applied = () =>
        expect(driver.applied).toBeGreaterThanOrEqual(index);
      await vi.waitFor(applied, WAIT);
      heapBytes = Math.max(heapBytes, driver.node?.logBytes ?? 0);
      diskBytes = Math.max(diskBytes, fileBytes());
    }
    expect(heapBytes).toBeLessThan(LOG_ROOM_BYTES);
    expect(diskBytes).toBeLessThan(LOG_ROOM_BYTES);
    const saved = contentOf(driver.state.save());
    await driver.stop();
    const restarted = createDriver<C, S, A, M>(createState);
    await restarted.start();
    await vi.waitFor(() => expect(restarted.isReady).toBe(true), WAIT);
    expect(contentOf(restarted.state.save())).toEqual(saved);
    await restarted.stop();
  }

  // Guards against control processes that end for lack of memory.
  it("of changes of a large configuration stays within its room", () => {
    const source = "x".repeat(MIB / 2);
    const commands = Array.from({ length: 120 }, (_, i): FleetCommand => ({
      type: "replacePolicy",
      document: { revision: i + 1, name: source } as never,
      source,
    }));
    return doTest(() => new FleetState(), commands);
  });

  // Guards against ledger processes that end for lack of memory.
  it("of results that have expired stays within its room", () => {
    const text = "x".repeat(MIB);
    function* commands() {
      for (let i = 0; i < 100; i += 1) {
        const batch = `batch-${i}`;
        const item = { id: "item", headers: {}, body: new Uint8Array() };
        yield { type: "accept", spec: { id: batch, items: [item] } } as never;
        const result = { id: "item", state: "completed", text, versions: [1] };
        yield { type: "list", records: [{ batch, result }] } as never;
        yield { type: "forget", batches: [batch] } as never;
      }
    }
    return doTest(() => new BatchState(), commands());
  });
});
