import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { BatchState } from "../../core/batches/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { CommandList } from "../../../tests/support/command_list.ts";
import {
  losePower,
  type SyncedSizes,
  SyncRecorder,
} from "../../../tests/support/sync_recorder.ts";
import { LogDriver } from "./log_driver.ts";
import { LogStore } from "./log_store.ts";

const TIMEOUT_MS = 20_000;

describe(LogDriver.name, () => {
  let dataFolder: string;

  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "log-driver-"));
  });
  afterEach(() => rm(dataFolder, { recursive: true, force: true }));

  async function doTest(instances: readonly string[], linked: string[]) {
    await LogStore.create({
      dataFolder,
      name: "log",
      emptyState: new BatchState().save(),
      instances,
    });
    const links: string[] = [];
    const driver = new LogDriver({
      id: "127.0.0.1",
      dataFolder,
      name: "log",
      createState: () => new BatchState(),
      wantedVoters: () => instances.length,
      times: { heartbeatMs: 100, electionMs: 500, clockRateError: 0.02 },
      logger: new Logger({ instance: "test", level: "error" }),
      now: () => performance.now(),
      send: () => {},
      keepLink: (instance) => void links.push(instance),
      presentReplicas: () => [],
      onApplied: () => {},
      onRestored: () => {},
      onRole: () => {},
    });
    await driver.start();
    await driver.stop();
    expect(links).toEqual(linked);
  }

  it("links to the other members before the first election", () =>
    doTest(
      ["127.0.0.1", "127.0.0.2", "127.0.0.3"],
      ["127.0.0.2", "127.0.0.3"],
    ));
});

describe("a leader that writes to its disk", () => {
  let dataFolder: string;

  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "log-driver-"));
  });
  afterEach(async () => {
    vi.restoreAllMocks();
    await rm(dataFolder, { recursive: true, force: true });
  });

  // Guards against a leader on a slow disk that is taken for one without a lease.
  it("has applied what earlier leaders committed, if not all of its own", async () => {
    const id = "127.0.0.1";
    await LogStore.create({
      dataFolder,
      name: "log",
      emptyState: [],
      instances: [id],
    });
    const driver: Driver = new LogDriver({
      id,
      dataFolder,
      name: "log",
      createState: () => new CommandList(),
      wantedVoters: () => 1,
      times: { heartbeatMs: 20, electionMs: 60, clockRateError: 0.02 },
      logger: new Logger({ instance: "test", level: "error" }),
      now: () => performance.now(),
      send: () => {},
      keepLink: () => {},
      presentReplicas: () => [],
      onApplied: () => {},
      onRestored: () => {},
      onRole: () => {},
    });
    expect(driver.hasAppliedEarlierTerms).toBe(false);
    await driver.start();
    const options = { timeout: TIMEOUT_MS, interval: 5 };
    await vi.waitFor(() => expect(driver.isReady).toBe(true), options);
    const write = LogStore.prototype.write;
    let endWrite = () => {};
    let writes = 0;
    vi.spyOn(LogStore.prototype, "write").mockImplementation(async function (
      this: LogStore<unknown, unknown>,
      ...args
    ) {
      await write.apply(this, args);
      writes += 1;
      if (writes === 2) await new Promise<void>((end) => endWrite = end);
    });
    driver.propose("a");
    driver.propose("b");
    await vi.waitFor(() => expect(writes).toBe(2), options);
    expect(driver.isReady).toBe(false);
    expect(driver.hasAppliedEarlierTerms).toBe(true);
    endWrite();
    await vi.waitFor(() => expect(driver.isReady).toBe(true), options);
    await driver.stop();
  });
});

type Driver = LogDriver<string, string[], number, CommandList>;

describe("a command that was acknowledged", () => {
  const IDS = ["a", "b", "c"];
  const COMMANDS = 20;
  let dataFolder: string;
  let recorder: SyncRecorder;
  let drivers: Map<string, Driver>;
  let onAcknowledged: (command: string) => void;

  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "power-loss-"));
    recorder = await SyncRecorder.start();
    drivers = new Map();
    onAcknowledged = () => {};
  });

  afterEach(async () => {
    await stopAll();
    recorder.stop();
    await rm(dataFolder, { recursive: true, force: true });
  });

  async function stopAll(): Promise<void> {
    const stopped = [...drivers.values()].map((driver) => driver.stop());
    drivers.clear();
    await Promise.all(stopped);
  }

  const folderOf = (id: string) => join(dataFolder, id);

  async function startAll(): Promise<void> {
    for (const id of IDS) {
      const driver: Driver = new LogDriver({
        id,
        dataFolder: folderOf(id),
        name: "log",
        createState: () => new CommandList(),
        wantedVoters: () => IDS.length,
        times: { heartbeatMs: 50, electionMs: 300, clockRateError: 0.02 },
        logger: new Logger({ instance: id, level: "error" }),
        now: () => performance.now(),
        send: (to, message) =>
          void setImmediate(() => drivers.get(to)?.receive(message)),
        presentReplicas: () =>
          [...drivers.values()].flatMap(({ replica }) => replica ?? []),
        onApplied: ({ content }) => {
          if (content.type !== "command") return;
          if (driver.leaderSince === Infinity) return;
          onAcknowledged(content.command);
        },
        onRestored: () => {},
        onRole: () => {},
      });
      drivers.set(id, driver);
    }
    await Promise.all([...drivers.values()].map((driver) => driver.start()));
  }

  const untilLed = () =>
    vi.waitFor(() => {
      const leader = [...drivers.values()].find(({ isReady }) => isReady);
      return leader ?? Promise.reject(new Error("No leader"));
    }, { timeout: TIMEOUT_MS });

  /** Loses one disk, and the power of all others, at an acknowledgement. */
  async function doTest(lostDisk: string): Promise<void> {
    for (const id of IDS) {
      await LogStore.create({
        dataFolder: folderOf(id),
        name: "log",
        emptyState: [],
        instances: IDS,
      });
    }
    await startAll();
    const leader = await untilLed();
    const acknowledged: string[] = [];
    const lost = new Promise<SyncedSizes>((resolve) => {
      onAcknowledged = (command) => {
        acknowledged.push(command);
        if (acknowledged.length === COMMANDS / 2) resolve(recorder.save());
      };
    });
    for (let i = 0; i < COMMANDS; i += 1) {
      leader.propose(`command ${i}`);
      await new Promise((resolve) => setImmediate(resolve));
    }
    const sizes = await lost;
    const expected = acknowledged.slice(0, COMMANDS / 2);
    await stopAll();
    for (const id of IDS) losePower(folderOf(id), sizes);
    await rm(folderOf(lostDisk), { recursive: true });
    await startAll();
    const next = await untilLed();
    expect(next.state.save()).toEqual(expect.arrayContaining(expected));
  }

  for (const id of IDS) {
    it(`outlives disk ${id} and the power of all others`, () => doTest(id));
  }
});
