import { mkdir, mkdtemp, readdir, rm, writeFile } from "node:fs/promises";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CommandList } from "../../../tests/support/command_list.ts";
import { LimitedDisk } from "../../../tests/support/limited_disk.ts";
import type { EventName } from "../../logging/mod.ts";
import { LogDriver } from "./log_driver.ts";
import { LogStore } from "./log_store.ts";

const ID = "127.0.0.1";
const WAIT = { timeout: 20_000, interval: 5 };
/** Less than the first write of a store takes. */
const ROOM_BYTES = 10;

describe("the start of a log on a disk that cannot be used", () => {
  let parent: string;
  let dataFolder: string;
  let disk: LimitedDisk;
  let events: EventName[];
  let driver: LogDriver<string, string[], number, CommandList>;

  beforeEach(async () => {
    parent = await mkdtemp(join(tmpdir(), "store-start-"));
    dataFolder = join(parent, "absent", "data");
    disk = await LimitedDisk.start();
    events = [];
    driver = new LogDriver({
      id: ID,
      dataFolder,
      name: "log",
      createState: () => new CommandList(),
      wantedVoters: () => 1,
      times: { heartbeatMs: 20, electionMs: 60, clockRateError: 0.02 },
      logger: { event: (name: EventName) => events.push(name) } as never,
      now: () => performance.now(),
      send: () => {},
      presentReplicas: () => [],
      onApplied: () => {},
      onRestored: () => {},
      onRole: () => {},
    });
  });

  afterEach(async () => {
    disk.stop();
    await driver.stop();
    await rm(parent, { recursive: true, force: true });
  });

  const create = () =>
    driver.retryStore(() =>
      LogStore.create({
        dataFolder,
        name: "log",
        emptyState: [],
        instances: [ID],
      })
    );
  const countOpenFiles = () => readdirSync("/proc/self/fd").length;

  it("creates a folder that is absent", async () => {
    await create();
    await driver.start();
    await vi.waitUntil(() => driver.isReady, WAIT);
  });

  async function doTest(isCreated: boolean, refuse: () => void) {
    if (isCreated) await create();
    refuse();
    let isStarted = false;
    const openBefore = countOpenFiles();
    const starting = (isCreated ? driver.start() : create())
      .then(() => isStarted = true);
    await vi.waitUntil(() => events.includes("controlStoreFailed"), WAIT);
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    // An attempt that is under way has the file open.
    await vi.waitUntil(() => countOpenFiles() === openBefore, WAIT);
    expect(events.filter((name) => name === "controlStoreFailed"))
      .toHaveLength(1);
    expect([isStarted, driver.node, driver.replica])
      .toEqual([false, undefined, undefined]);
    disk.free(dataFolder);
    await starting;
    if (!isCreated) await driver.start();
    await vi.waitUntil(() => driver.isReady, WAIT);
    expect(driver.replica).toBe(`${ID}#first`);
  }

  it("waits until a full disk takes the first log", () =>
    doTest(false, () => disk.fill(dataFolder, ROOM_BYTES)));

  it("waits until a failing disk can be opened", () =>
    doTest(true, () => disk.fail(dataFolder, "sync")));

  it("ends with an error if a file lies in the folder's place", async () => {
    await mkdir(dirname(dataFolder));
    await writeFile(dataFolder, "");
    await expect(create()).rejects.toThrow("ENOTDIR");
    await expect(driver.start()).rejects.toThrow("ENOTDIR");
  });

  it("starts no log that was stopped while it waited", async () => {
    disk.fill(dataFolder, ROOM_BYTES);
    const starting = driver.start();
    await vi.waitUntil(() => events.includes("controlStoreFailed"), WAIT);
    await driver.stop();
    disk.free(dataFolder);
    await expect(starting).rejects.toThrow();
    expect(driver.node).toBeUndefined();
  });

  it("takes a damaged log for no reason to end at a first start", async () => {
    await create();
    await driver.start();
    await vi.waitUntil(() => driver.isReady, WAIT);
    driver.propose("a");
    await vi.waitUntil(() => driver.applied > 1, WAIT);
    await driver.stop();
    const folder = join(dataFolder, "log");
    const file = join(folder, (await readdir(folder))[0]);
    const bytes = readFileSync(file);
    bytes[10] ^= 1;
    writeFileSync(file, bytes);
    await expect(create()).resolves.toBe(false);
  });

  it("forms after a disk was full as it became a voter", async () => {
    await driver.start();
    const voters = [driver.replica!];
    disk.fill(dataFolder, ROOM_BYTES);
    await expect(driver.bootstrapMembers(voters)).rejects.toThrow();
    disk.free(dataFolder);
    await vi.waitUntil(
      () => driver.bootstrapMembers(voters).catch(() => false),
      WAIT,
    );
    await vi.waitUntil(() => driver.isReady, WAIT);
  });
});
