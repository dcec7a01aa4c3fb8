import { mkdirSync, readdirSync, statSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Packr } from "msgpackr";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import { LimitedDisk } from "../../../tests/support/limited_disk.ts";
import {
  losePower,
  SyncRecorder,
} from "../../../tests/support/sync_recorder.ts";
import {
  type BatchCommand,
  type BatchResult,
  BatchState,
  type LedgerSnapshot,
  ResultState,
} from "../../core/batches/mod.ts";
import type { ConsensusMessage } from "../../core/consensus/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { LogDriver } from "../log/log_driver.ts";
import { LogStore } from "../log/log_store.ts";
import { LEDGER_LOG_OPTIONS } from "./ledger_log_options.ts";
import { ForeignLocationError, ResultFiles } from "./result_files.ts";

type Driver = LogDriver<BatchCommand, LedgerSnapshot, unknown, BatchState>;
type Message = ConsensusMessage<BatchCommand, LedgerSnapshot>;

const PACKR = new Packr({ useRecords: false });
const LOG = "batches";
const IDS = ["a", "b", "c"];
const ITEMS = 8;
const BATCHES = 24;
const WAIT = { timeout: 10_000, interval: 5 };

const textOf = (batch: string, item: string) =>
  `${batch} ${item} é `.repeat(200);
const itemsOf = () => Array.from({ length: ITEMS }, (_, i) => `i-${i}`);

function commandsOf(batch: string): BatchCommand[] {
  const items = itemsOf().map((id) => createItem(id));
  const records = itemsOf().map((id) => ({
    batch,
    result: {
      id,
      state: ResultState.Completed,
      text: textOf(batch, id),
      versions: [1],
    },
  }));
  return [
    { type: "accept", spec: createSpec({ id: batch, items }) },
    { type: "list", records },
    { type: "end", batch },
  ];
}

describe(ResultFiles.name, () => {
  let dataFolder: string;
  let drivers: Map<string, Driver>;
  let files: Map<string, ResultFiles>;
  let onSent: (message: Message) => void;
  /** Index of the last entry that the leader has applied. */
  let acknowledged: number;

  beforeEach(async () => {
    dataFolder = await mkdtemp(join(tmpdir(), "result-files-"));
    drivers = new Map();
    files = new Map();
    onSent = () => {};
    acknowledged = 0;
    for (const id of IDS) await create(id);
    await Promise.all(IDS.map((id) => start(id)));
  });

  afterEach(async () => {
    await Promise.all([...drivers.values()].map((driver) => driver.stop()));
    await rm(dataFolder, { recursive: true, force: true });
  });

  const folderOf = (id: string) => join(dataFolder, id);

  async function create(id: string): Promise<void> {
    mkdirSync(folderOf(id));
    await LogStore.create({
      dataFolder: folderOf(id),
      name: LOG,
      emptyState: new BatchState().save(),
      instances: IDS,
    });
  }

  async function start(id: string): Promise<void> {
    const present = () =>
      [...drivers.values()].flatMap(({ replica }) => replica ?? []);
    const driver: Driver = new LogDriver({
      ...LEDGER_LOG_OPTIONS,
      compactBytes: 65_536,
      id,
      dataFolder: folderOf(id),
      name: LOG,
      wantedVoters: () => IDS.length,
      wantedLearners: 0,
      times: { heartbeatMs: 50, electionMs: 300, clockRateError: 0.02 },
      logger: new Logger({ instance: id, level: "error" }),
      now: () => performance.now(),
      openFiles: async (folder, state) => {
        const opened = await ResultFiles.open(folder, state);
        files.set(id, opened);
        return opened;
      },
      send: (to, message) => {
        onSent(message);
        // Shares no memory, as a message from another process does.
        const copy = PACKR.unpack(PACKR.pack(message));
        setImmediate(() => drivers.get(to)?.receive(copy));
      },
      presentReplicas: present,
      isLost: (replica) => !present().includes(replica),
      onApplied: () => {},
      onRestored: () => {},
      onRole: () => {},
    });
    drivers.set(id, driver);
    await driver.start();
  }

  async function stop(id: string): Promise<void> {
    const driver = drivers.get(id);
    drivers.delete(id);
    await driver?.stop();
  }

  const untilLed = () =>
    vi.waitFor(() => {
      const leader = [...drivers.values()].find(({ isReady }) => isReady);
      return leader ?? Promise.reject(new Error("No leader"));
    }, WAIT);

  /** Applies a command, also if the leader changes meanwhile. */
  async function apply(command: BatchCommand): Promise<void> {
    const leader = await untilLed();
    const index = leader.propose(command)?.index ?? Infinity;
    const applied = () => expect(leader.applied).toBeGreaterThanOrEqual(index);
    await vi.waitFor(applied, WAIT);
    acknowledged = index;
  }

  async function fill(first = 0): Promise<void> {
    for (let i = first; i < first + BATCHES; i += 1) {
      for (const command of commandsOf(`b-${i}`)) await apply(command);
    }
  }

  /** Gets the size of all files of texts of a replica. */
  function fileBytes(id: string): number {
    const folder = join(folderOf(id), LOG);
    return readdirSync(folder)
      .filter((name) => name.startsWith("texts-"))
      .reduce((sum, name) => sum + statSync(join(folder, name)).size, 0);
  }

  const untilMoved = (id: string) =>
    vi.waitFor(() => {
      const { state } = drivers.get(id)!;
      expect(state.movedBytes).toBeGreaterThan(state.movableBytes);
    }, WAIT);

  /**
   * Checks that a replica that has applied all that was acknowledged holds the
   * results of some batches in full.
   */
  async function check(id: string, batches: number): Promise<void> {
    const hasApplied = () =>
      expect(drivers.get(id)!.applied).toBeGreaterThanOrEqual(acknowledged);
    await vi.waitFor(hasApplied, WAIT);
    const { state } = drivers.get(id)!;
    for (let i = 0; i < batches; i += 1) {
      const batch = `b-${i}`;
      const page = state.get(batch)?.getPage(0, Infinity);
      const results = await files.get(id)!.read(page?.results ?? []);
      expect(results.map((result) => result.text))
        .toEqual(itemsOf().map((item) => textOf(batch, item)));
    }
  }

  it("hold the texts of compacted entries on each replica, also after a restart", async () => {
    await fill();
    for (const id of IDS) {
      await untilMoved(id);
      await check(id, BATCHES);
    }
    await stop("b");
    await start("b");
    await vi.waitFor(
      () => expect(drivers.get("b")?.state.all).toHaveLength(BATCHES),
      WAIT,
    );
    await check("b", BATCHES);
    expect(drivers.get("b")!.state.movedBytes).toBeGreaterThan(0);
  });

  it("are filled at a replica with an empty disk by texts, never by places", async () => {
    await fill();
    for (const id of IDS) await untilMoved(id);
    const leader = await untilLed();
    const lost = IDS.find((id) => drivers.get(id) !== leader)!;
    let parts = 0;
    onSent = (message) => {
      if (message.type !== "snapshotPartRequest") return;
      parts += message.parts.length;
      expect(JSON.stringify(message.parts)).not.toContain('"location"');
    };
    await stop(lost);
    await rm(folderOf(lost), { recursive: true });
    mkdirSync(folderOf(lost));
    await start(lost);
    await vi.waitFor(
      () => expect(drivers.get(lost)?.state.all).toHaveLength(BATCHES),
      WAIT,
    );
    expect(parts).toBeGreaterThan(1);
    expect(drivers.get(lost)!.state.movedBytes).toBeGreaterThan(0);
    await check(lost, BATCHES);
  });

  it("are removed once their batches are forgotten", async () => {
    await fill();
    for (const id of IDS) await untilMoved(id);
    const batches = Array.from({ length: BATCHES }, (_, i) => `b-${i}`);
    await apply({ type: "forget", batches });
    await fill(BATCHES);
    const folder = join(folderOf("a"), LOG);
    const fileNames = () =>
      readdirSync(folder).filter((name) => name.startsWith("texts-"));
    await stop("a");
    await start("a");
    expect(fileNames().length).toBeLessThanOrEqual(1);
  });

  it("keep what was acknowledged when all lose power", async () => {
    const recorder = await SyncRecorder.start();
    try {
      await fill();
      const sizes = recorder.save();
      await Promise.all(IDS.map((id) => stop(id)));
      for (const id of IDS) losePower(folderOf(id), sizes);
      await Promise.all(IDS.map((id) => start(id)));
      await untilLed();
      for (const id of IDS) {
        await vi.waitFor(
          () => expect(drivers.get(id)?.state.all).toHaveLength(BATCHES),
          WAIT,
        );
        await check(id, BATCHES);
      }
    } finally {
      recorder.stop();
    }
  });

  it("leave texts in memory while the disk is full", async () => {
    const disk = await LimitedDisk.start();
    try {
      const state = new BatchState();
      for (const command of commandsOf("b-0")) state.apply(command);
      const opened = files.get("a")!;
      const folder = join(folderOf("a"), LOG);
      disk.fill(folder, 0);
      await expect(opened.moveState(state.save())).rejects.toThrow("ENOSPC");
      expect(state.movedBytes).toBe(0);
      expect(state.get("b-0")!.results[0].text).toBe(textOf("b-0", "i-0"));
      disk.free(folder);
      state.adoptMoved(await opened.moveState(state.save()));
      expect(state.movableBytes).toBe(0);
      const [first] = await opened.read(state.get("b-0")!.results);
      expect(first.text).toBe(textOf("b-0", "i-0"));
    } finally {
      disk.stop();
    }
  });

  it("hold each text once, however often a snapshot fails", async () => {
    await fill();
    const opened = files.get("a")!;
    const saved = drivers.get("a")!.state.save();
    const first = await opened.moveState(saved);
    const bytes = fileBytes("a");
    for (let i = 0; i < 5; i += 1) {
      expect(await opened.moveState(saved)).toEqual(first);
    }
    expect(fileBytes("a")).toBe(bytes);
  });

  it("refuse a part that names files of another replica", async () => {
    const location = { file: 1, offset: 0, length: 300, checksum: 0 };
    const result = { id: "i", state: "completed", versions: [1], location };
    const part = { results: [result as unknown as BatchResult] };
    await expect(files.get("a")!.movePart(part, true))
      .rejects.toThrow(ForeignLocationError);
  });
});
