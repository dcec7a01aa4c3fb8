import { readdirSync } from "node:fs";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  commandsOf,
  FILLED_BATCHES,
  LEDGER_IDS,
  LEDGER_LOG,
  LedgerGroup,
  textOf,
} from "../../../tests/support/ledger_group.ts";
import { LimitedDisk } from "../../../tests/support/limited_disk.ts";
import {
  losePower,
  SyncRecorder,
} from "../../../tests/support/sync_recorder.ts";
import {
  type BatchResult,
  BatchState,
  detachTexts,
  HeldResult,
} from "../../core/batches/mod.ts";
import { ForeignLocationError, ResultFiles } from "./result_files.ts";

/** Size from which a file takes no further texts, in bytes. */
const FULL_FILE_BYTES = 8_388_608;

describe(ResultFiles.name, () => {
  let group: LedgerGroup;

  beforeEach(async () => {
    group = await LedgerGroup.start();
  });
  afterEach(async () => {
    await group.stopAll();
    expect(group.textRequests).toBe(0);
  });

  it("hold the texts of compacted entries on each replica, also after a restart", async () => {
    await group.fill();
    for (const id of LEDGER_IDS) {
      await group.untilMoved(id);
      await group.check(id, FILLED_BATCHES);
    }
    await group.stop("b");
    await group.start("b");
    await group.untilHeld("b", FILLED_BATCHES);
    await group.check("b", FILLED_BATCHES);
    expect(group.driverOf("b").state.movedBytes).toBeGreaterThan(0);
  });

  it("are filled by texts, never by places, at a replica that takes no references", async () => {
    await group.fill();
    for (const id of LEDGER_IDS) await group.untilMoved(id);
    const leader = await group.untilLed();
    const lost = LEDGER_IDS.find((id) => group.driverOf(id) !== leader)!;
    let parts = 0;
    group.onSent = (message) => {
      if (message.type !== "snapshotPartRequest") return;
      parts += message.parts.length;
      expect(JSON.stringify(message.parts)).not.toContain('"location"');
      expect(JSON.stringify(message.parts)).not.toContain('"digest"');
    };
    await group.loseDisk(lost, false);
    await group.untilHeld(lost, FILLED_BATCHES);
    expect(parts).toBeGreaterThan(1);
    expect(group.driverOf(lost).state.movedBytes).toBeGreaterThan(0);
    await group.check(lost, FILLED_BATCHES);
    expect(group.textRequests).toBe(0);
  });

  it("are removed once their batches are forgotten", async () => {
    await group.fill();
    for (const id of LEDGER_IDS) await group.untilMoved(id);
    const batches = Array.from({ length: FILLED_BATCHES }, (_, i) => `b-${i}`);
    await group.apply({ type: "forget", batches });
    await group.fill(FILLED_BATCHES);
    const folder = join(group.folderOf("a"), LEDGER_LOG);
    const fileNames = () =>
      readdirSync(folder).filter((name) => name.startsWith("texts-"));
    await group.stop("a");
    await group.start("a");
    expect(fileNames().length).toBeLessThanOrEqual(1);
  });

  it("keep what was acknowledged when all lose power", async () => {
    const recorder = await SyncRecorder.start();
    try {
      await group.fill();
      const sizes = recorder.save();
      await Promise.all(LEDGER_IDS.map((id) => group.stop(id)));
      for (const id of LEDGER_IDS) losePower(group.folderOf(id), sizes);
      await Promise.all(LEDGER_IDS.map((id) => group.start(id)));
      await group.untilLed();
      for (const id of LEDGER_IDS) {
        await group.untilHeld(id, FILLED_BATCHES);
        await group.check(id, FILLED_BATCHES);
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
      const opened = group.filesOf("a");
      const folder = join(group.folderOf("a"), LEDGER_LOG);
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
    await group.fill();
    const opened = group.filesOf("a");
    const saved = group.driverOf("a").state.save();
    const first = await opened.moveState(saved);
    const bytes = group.fileBytes("a");
    for (let i = 0; i < 5; i += 1) {
      expect(await opened.moveState(saved)).toEqual(first);
    }
    expect(group.fileBytes("a")).toBe(bytes);
  });

  // Guards against fetched texts whose file goes before a snapshot names it.
  it("keep fetched texts until a snapshot names them", async () => {
    const opened = group.filesOf("a");
    const state = new BatchState();
    for (const command of commandsOf("b-0")) state.apply(command);
    const saved = state.save();
    const { batches: [partial] } = detachTexts(saved);
    const text = Buffer.alloc(FULL_FILE_BYTES, "x");
    const lacking = partial.results.map(HeldResult.from).slice(0, 1);
    const filled = await opened.fill(lacking, [text]);
    const { batches: [moved] } = await opened.moveState(saved);
    await opened.onStored({ batches: [moved, partial] });
    const [read] = await opened.readBytes(filled);
    expect(read?.byteLength).toBe(FULL_FILE_BYTES);
  });

  it("refuse a part that names files of another replica", async () => {
    const location = { file: 1, offset: 0, length: 300, checksum: 0 };
    const result = { id: "i", state: "completed", versions: [1], location };
    const part = { results: [result as unknown as BatchResult] };
    await expect(group.filesOf("a").movePart(part, true))
      .rejects.toThrow(ForeignLocationError);
  });
});
