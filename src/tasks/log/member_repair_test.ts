import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Logger } from "../../logging/mod.ts";
import { CommandList } from "../../../tests/support/command_list.ts";
import { LogDriver } from "./log_driver.ts";
import { LogStore } from "./log_store.ts";

type Driver = LogDriver<string, string[], number, CommandList>;

const IDS = ["a", "b", "c"];
/** Time that messages of the slow instance take, in milliseconds. */
const SLOW_MS = 40;
const WAIT = { timeout: 20_000, interval: 5 };

describe("the members of a log whose replica lost its disk", () => {
  let dataFolder: string;
  let drivers: Map<string, Driver>;
  /** Instance whose messages take longer. */
  let slow: string | undefined;

  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "member-repair-"));
    drivers = new Map();
    slow = undefined;
    vi.spyOn(globalThis, "setInterval")
      .mockImplementation(() => undefined as never);
    for (const id of IDS) {
      await LogStore.create({
        dataFolder: folderOf(id),
        name: "log",
        emptyState: [],
        instances: IDS,
      });
    }
    await Promise.all(IDS.map(start));
  });

  afterEach(async () => {
    vi.restoreAllMocks();
    await Promise.all([...drivers.values()].map((driver) => driver.stop()));
    await rm(dataFolder, { recursive: true, force: true });
  });

  const folderOf = (id: string) => join(dataFolder, id);

  const present = () =>
    [...drivers.values()].flatMap(({ replica }) => replica ?? []);

  async function start(id: string): Promise<void> {
    const driver: Driver = new LogDriver({
      id,
      dataFolder: folderOf(id),
      name: "log",
      createState: () => new CommandList(),
      wantedVoters: () => IDS.length,
      wantedLearners: 0,
      times: { heartbeatMs: 50, electionMs: 300, clockRateError: 0.02 },
      logger: new Logger({ instance: id, level: "error" }),
      now: () => performance.now(),
      send: (to, message) => {
        const delayMs = id === slow ? SLOW_MS : 0;
        setTimeout(() => drivers.get(to)?.receive(message), delayMs);
      },
      presentReplicas: present,
      onApplied: () => {},
      onRestored: () => {},
      onRole: () => {},
    });
    drivers.set(id, driver);
    await driver.start();
  }

  const untilLed = () =>
    vi.waitFor(() => {
      const leader = [...drivers.values()].find(({ isReady }) => isReady);
      return leader ?? Promise.reject(new Error("No leader"));
    }, WAIT);

  async function loseDisk(id: string): Promise<void> {
    const driver = drivers.get(id);
    drivers.delete(id);
    await driver?.stop();
    await rm(folderOf(id), { recursive: true });
    await start(id);
  }

  // Guards against changes of members that wait for the next regular check.
  it("follow each other without a timer", async () => {
    const leader = await untilLed();
    const lost = IDS.find((id) => drivers.get(id) !== leader)!;
    const events = vi.spyOn(Logger.prototype, "event");
    slow = lost;
    await loseDisk(lost);
    leader.checkMembers();
    const isWhole = () => {
      const { voters = [], learners = [] } = leader.node?.members ?? {};
      expect([...voters].sort()).toEqual(present().sort());
      expect(learners).toEqual([]);
    };
    await vi.waitFor(isWhole, WAIT);
    expect(events).toHaveBeenCalledWith(
      "learnerCaughtUp",
      expect.objectContaining({ replica: drivers.get(lost)!.replica }),
    );
  });
});
