import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { BatchState } from "../../core/batches/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { LogDriver } from "./log_driver.ts";
import { LogStore } from "./log_store.ts";

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
