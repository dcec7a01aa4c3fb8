import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { LogService } from "./log_service.ts";
import { LogStore } from "./log_store.ts";
import type { StateMachine } from "./state_machine.ts";

const ID = "127.0.0.1";
const WAIT = { timeout: 10_000, interval: 5 };

/** Remembers all commands; the result of one is its position. */
class CommandList implements StateMachine<string, string[], number> {
  #commands: string[] = [];

  save(): string[] {
    return [...this.#commands];
  }

  load(commands: string[]): this {
    this.#commands = [...commands];
    return this;
  }

  apply(command: string): number {
    return this.#commands.push(command);
  }
}

describe(LogService.name, () => {
  let dataFolder: string;

  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "log-service-"));
  });
  afterEach(async () => {
    vi.restoreAllMocks();
    await rm(dataFolder, { recursive: true, force: true });
  });

  async function startLeader() {
    await LogStore.create({
      dataFolder,
      name: "log",
      emptyState: [],
      instances: [ID],
    });
    const service = new LogService<string, string[], number, CommandList>({
      id: ID,
      dataFolder,
      name: "log",
      createState: () => new CommandList(),
      wantedVoters: () => 1,
      times: { heartbeatMs: 20, electionMs: 60, clockRateError: 0.02 },
      logger: new Logger({ instance: "test", level: "error" }),
      metrics: new Metrics({ tags: {} }),
      now: () => performance.now(),
      send: () => {},
      keepLink: () => {},
      presentReplicas: () => [],
      onApplied: () => {},
      onRestored: () => {},
      onRole: () => {},
    });
    await service.driver.start();
    await vi.waitFor(() => expect(service.driver.isReady).toBe(true), WAIT);
    return service;
  }

  /** Holds the second write from now on; returns a function that ends it. */
  function holdSecondWrite() {
    const write = LogStore.prototype.write;
    const held = { count: 0, end: () => {} };
    vi.spyOn(LogStore.prototype, "write").mockImplementation(async function (
      this: LogStore<unknown, unknown>,
      ...args
    ) {
      await write.apply(this, args);
      held.count += 1;
      if (held.count === 2) {
        await new Promise<void>((resolve) => held.end = resolve);
      }
    });
    return held;
  }

  // Guards against a leader on a slow disk that refuses ends and submissions.
  it("takes a command while a committed one waits to be applied", async () => {
    const service = await startLeader();
    const held = holdSecondWrite();
    const first = service.propose("a");
    const second = service.propose("b");
    await vi.waitFor(() => expect(held.count).toBe(2), WAIT);
    expect(service.driver.isReady).toBe(false);
    expect(service.leadsTerm).toBeDefined();
    const third = service.propose("c");
    held.end();
    expect(await Promise.all([first, second, third])).toEqual([1, 2, 3]);
    await service.stop();
  });
});
