import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createSpec, NO_SCORING } from "../../../tests/support/batch_spec.ts";
import { Verdict } from "../../core/verdict/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { fleetSettingsSchema } from "../../settings/mod.ts";
import { FleetNode } from "../fleet/fleet_node.ts";
import { BatchMethod } from "./batch_port.ts";
import { BatchTask } from "./batch_task.ts";

const spec = createSpec({ acceptedAt: Date.now() });

describe(BatchTask.name, () => {
  let dataFolder: string;
  let node: FleetNode;
  let task: BatchTask;

  const submit = (faults: readonly string[] = []) =>
    node.hub.handleRequest(
      BatchMethod.Submit,
      { spec, faults },
      node.settings.id,
    );

  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "batch-task-"));
    node = new FleetNode({
      settings: fleetSettingsSchema.parse({
        id: "127.0.0.1",
        name: "s0",
        dataCentre: "a",
        role: "ledger",
        peerPort: 1,
        seeds: [],
        isFirstStart: true,
        tolerance: 0,
        listen: {},
        times: {
          revokeMs: 5_000,
          reportIntervalMs: 500,
          graceS: 8,
          usageWindowS: 5,
          usageDueS: 10,
          keepResultsS: 40,
          contactMs: 3_000,
        },
      }),
      logger: new Logger({ instance: "test", level: "error" }),
      metrics: new Metrics({ tags: {} }),
      describe: () => ({
        replica: task.replica,
        leadsTerm: task.leadsTerm,
        policyRevision: 0,
        targetsSeen: {},
      }),
    });
    task = new BatchTask({
      node,
      dataFolder,
      engines: {
        open: () => ({ cancel: () => {} }),
        closeIdleExcept: () => {},
      },
      now: () => performance.now(),
      scoring: NO_SCORING,
      onSigns: () => {},
    });
    await task.start();
  });

  afterEach(async () => {
    await task.stop();
    await rm(dataFolder, { recursive: true, force: true });
  });

  async function becomeLeader(): Promise<void> {
    await node.hub.handleRequest(
      "batches.form",
      [task.replica],
      node.settings.id,
    );
    await vi.waitFor(() => expect(task.leadsTerm).toBeDefined(), 5_000);
  }

  it("refuses a batch that it has never accepted as not run", () =>
    expect(submit()).rejects.toMatchObject({ verdict: Verdict.NotRun }));

  it("accepts a batch once, however often it is submitted", async () => {
    await becomeLeader();
    expect(await submit()).toBe(true);
    expect(await submit()).toBe(true);
  });

  it("refuses a faulty batch as not run, unless it is accepted", async () => {
    await becomeLeader();
    await expect(submit(["No route"])).rejects.toMatchObject({
      reason: "malformedRequest",
      verdict: Verdict.NotRun,
    });
    await submit();
    expect(await submit(["No route"])).toBe(true);
  });

  // Failure: a new leader begins without the paces that it was sent before.
  it("takes over the paces of an earlier leader", async () => {
    const event = vi.spyOn(node.logger, "event");
    const sent = {
      term: 1,
      targets: [
        { id: "t1", service: "s", incarnation: 1, paceMs: 17, ageMs: 0 },
      ],
      services: [],
    };
    const { id } = node.settings;
    expect(await node.hub.handleRequest(BatchMethod.Paces, sent, id)).toBe(
      true,
    );
    await becomeLeader();
    expect(event).toHaveBeenCalledWith("pacesTakenOver", {
      targets: 1,
      services: 0,
    });
  });

  it("does not report an accepted batch as not run", async () => {
    await becomeLeader();
    await submit();
    await task.stop();
    await expect(submit()).rejects
      .toMatchObject({ verdict: Verdict.MayHaveRun });
  });
});
