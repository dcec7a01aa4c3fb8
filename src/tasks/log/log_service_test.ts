import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { BatchState } from "../../core/batches/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { LogService } from "./log_service.ts";
import { LogStore } from "./log_store.ts";

const ID = "127.0.0.1";
const WAIT = { timeout: 20_000, interval: 5 };
const NO_METRICS = { timing: () => {}, gauge: () => {} } as never;

describe(LogService.name, () => {
  let dataFolder: string;

  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "log-service-"));
  });
  afterEach(async () => {
    vi.restoreAllMocks();
    await rm(dataFolder, { recursive: true, force: true });
  });

  function createService() {
    return new LogService({
      id: ID,
      dataFolder,
      name: "log",
      createState: () => new BatchState(),
      wantedVoters: () => 1,
      times: { heartbeatMs: 20, electionMs: 60, clockRateError: 0.02 },
      logger: new Logger({ instance: "test", level: "error" }),
      metrics: NO_METRICS,
      now: () => performance.now(),
      send: () => {},
      presentReplicas: () => [],
      onApplied: () => {},
      onRestored: () => {},
      onRole: () => {},
    });
  }

  /** Holds up a write until the returned function is called. */
  function holdWrite(number: number): { end: () => void; count: () => number } {
    const write = LogStore.prototype.write;
    let end = () => {};
    let count = 0;
    vi.spyOn(LogStore.prototype, "write").mockImplementation(async function (
      this: LogStore<unknown, unknown>,
      ...args
    ) {
      await write.apply(this, args);
      count += 1;
      if (count === number) {
        await new Promise<void>((resolve) => end = resolve);
      }
    });
    return { end: () => end(), count: () => count };
  }

  // Guards against a leader on a slow disk that refuses most commands.
  it("takes commands while entries of its own wait for a write", async () => {
    const emptyState = new BatchState().save();
    await LogStore
      .create({ dataFolder, name: "log", emptyState, instances: [ID] });
    const service = createService();
    await service.driver.start();
    await vi.waitFor(() => expect(service.driver.isReady).toBe(true), WAIT);
    const held = holdWrite(2);
    const forget = () => service.propose({ type: "forget", batches: [] });
    const first = [forget(), forget()];
    await vi.waitFor(() => expect(held.count()).toBe(2), WAIT);
    expect(service.leadsTerm).toBeDefined();
    const later = forget().then(() => true, () => false);
    held.end();
    await Promise.all(first);
    expect(await later).toBe(true);
    await service.stop();
  });
});
