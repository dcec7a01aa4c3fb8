import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { LimitedDisk } from "../../../tests/support/limited_disk.ts";
import type { LedgerRecord } from "../../core/ledger/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { LedgerStore } from "./ledger_store.ts";
import { LedgerTask, type LedgerTaskOptions } from "./ledger_task.ts";

const PROCESS = "a#1";
const VIEW = {
  dataCentre: "d",
  number: 1,
  primary: PROCESS,
  backups: [],
  epoch: 0,
};
const FULL_MS = 700;

describe(LedgerTask.name, () => {
  let folder: string;
  let disk: LimitedDisk;
  let task: LedgerTask;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "ledger-task-"));
    disk = await LimitedDisk.start();
    task = await start();
  });

  afterEach(async () => {
    disk.stop();
    await task.stop();
    await rm(folder, { recursive: true, force: true });
  });

  async function start(): Promise<LedgerTask> {
    const control = {
      onApplied: () => {},
      onRestored: (listener: (state: unknown) => void) =>
        listener({ getView: () => VIEW }),
    };
    return new LedgerTask({
      process: PROCESS,
      dataCentre: VIEW.dataCentre,
      store: await LedgerStore.open({ dataFolder: folder }),
      hub: { on: () => {}, isPresent: () => false } as never,
      control: control as unknown as LedgerTaskOptions["control"],
      logger: new Logger({ instance: "test", level: "error" }),
      now: () => performance.now(),
    });
  }

  const submit = (step: string): LedgerRecord => ({
    type: "windowReported",
    window: Number(step),
  });

  // Guards against a ledger that stays stopped after its disk has room again.
  it("stores the records of a full disk once it has room", async () => {
    await task.append(submit("1"));
    disk.fill(folder, 5);
    const waiting = task.append(submit("2"));
    setTimeout(() => disk.free(folder), FULL_MS);
    await waiting;
    await task.append(submit("3"));
    const { last } = task.replica;
    await task.stop();
    task = await start();
    expect(task.replica.last.index).toBe(last.index);
  });
});
