import { mkdir, mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it, vi } from "vitest";
import { CommandList } from "../../../tests/support/command_list.ts";
import { LimitedDisk } from "../../../tests/support/limited_disk.ts";
import { Logger } from "../../logging/mod.ts";
import { LogDriver } from "./log_driver.ts";
import { LogStore } from "./log_store.ts";

const IDS = ["a", "b", "c"];
const WAIT = { timeout: 20_000, interval: 10 };
const TEXT = "x".repeat(2_000);
/** Commands after each disk has room again. */
const COMMANDS_BETWEEN = 3;
const ROOM_BYTES = 3_000;

type Driver = LogDriver<string, string[], number, CommandList>;

describe("a group whose disks fill one after the other", () => {
  let dataFolder: string;
  let disk: LimitedDisk;
  const drivers = new Map<string, Driver>();

  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "full-disks-"));
    disk = await LimitedDisk.start();
    for (const id of IDS) {
      await mkdir(folderOf(id));
      await LogStore.create({
        dataFolder: folderOf(id),
        name: "log",
        emptyState: [],
        instances: IDS,
      });
      drivers.set(id, createDriver(id));
    }
    await Promise.all([...drivers.values()].map((driver) => driver.start()));
  });

  afterEach(async () => {
    disk.stop();
    await Promise.all([...drivers.values()].map((driver) => driver.stop()));
    await rm(dataFolder, { recursive: true, force: true });
  });

  const folderOf = (id: string) => join(dataFolder, id);

  function createDriver(id: string): Driver {
    return new LogDriver({
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
      onApplied: () => {},
      onRestored: () => {},
      onRole: () => {},
    });
  }

  /** Proposes a command until a leader has applied it. */
  async function store(command: string): Promise<void> {
    await vi.waitUntil(async () => {
      const leader = [...drivers.values()].find(({ isReady }) => isReady);
      if (leader === undefined) return false;
      if (leader.propose(command) === undefined) return false;
      const isApplied = () => leader.state.save().includes(command);
      return await vi.waitUntil(isApplied, { timeout: 1_000, interval: 5 })
        .then(() => true, () => false);
    }, WAIT);
  }

  /** Fills one disk after the other, during some commands each. */
  async function doTest(commandsWhileFull: number): Promise<void> {
    const stored: string[] = [];
    const storeNext = async (name: string) => {
      const command = `${name} ${TEXT}`;
      await store(command);
      stored.push(command);
    };
    for (const full of IDS) {
      disk.fill(folderOf(full), ROOM_BYTES);
      for (let i = 0; i < commandsWhileFull; i += 1) {
        await storeNext(`while ${full} is full ${i}`);
      }
      disk.free(folderOf(full));
      for (let i = 0; i < COMMANDS_BETWEEN; i += 1) {
        await storeNext(`after ${full} ${i}`);
      }
      await vi.waitUntil(() => drivers.get(full)?.node !== undefined, WAIT);
    }
    await restartAll();
    await storeNext("last");
    for (const driver of drivers.values()) {
      const hasAll = () =>
        stored.every((one) => driver.state.save().includes(one));
      await vi.waitUntil(hasAll, WAIT);
    }
  }

  async function restartAll(): Promise<void> {
    await Promise.all([...drivers.values()].map((driver) => driver.stop()));
    for (const id of IDS) drivers.set(id, createDriver(id));
    await Promise.all([...drivers.values()].map((driver) => driver.start()));
  }

  // Guards against a quorum that is lost though never two disks were full.
  for (const commands of [1, 2, 5]) {
    it(
      `keeps what it acknowledged during ${commands} commands each`,
      () => doTest(commands),
      60_000,
    );
  }
});
