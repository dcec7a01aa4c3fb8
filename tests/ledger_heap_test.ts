import { execFile } from "node:child_process";
import { readdirSync, statSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { build } from "esbuild";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { OPTIONAL_MODULES, REQUIRE_BANNER } from "../scripts/bundle.ts";

const PROGRAM = "dist/ledger_heap_program.mjs";
/** Limits of the role's process in deploy/system.toml. */
const HEAP_FLAGS = ["--max-old-space-size=160", "--max-semi-space-size=2"];
/** Memory and disk of machines of the role. */
const MACHINE_MEMORY_MB = 390;
const MACHINE_DISK_BYTES = 520_000_000;
const SMALL_MACHINE_MEMORY_MB = 220;
const SMALL_MACHINE_DISK_BYTES = 460_000_000;
const TIMEOUT_MS = 120_000;

describe("the log of a ledger with the heap of its role", () => {
  let folder: string;
  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "ledger-heap-"));
    await build({
      entryPoints: ["tests/support/ledger_heap_program.ts"],
      outfile: PROGRAM,
      bundle: true,
      platform: "node",
      format: "esm",
      external: OPTIONAL_MODULES,
      banner: { js: REQUIRE_BANNER },
      logLevel: "error",
    });
  });
  afterEach(() => rm(folder, { recursive: true, force: true }));

  async function doTest(mode: string) {
    const args = [...HEAP_FLAGS, PROGRAM, mode, folder];
    const { stdout } = await promisify(execFile)(process.execPath, args);
    return JSON.parse(stdout) as {
      batches: number;
      refused: number;
      maxRssMb: number;
    };
  }

  function fileBytes(): number {
    const log = join(folder, "batches");
    return readdirSync(log)
      .map((name) => statSync(join(log, name)).size)
      .reduce((sum, size) => sum + size, 0);
  }

  // Guards against ledger processes that end for lack of heap at every start.
  it("takes 200 MB of results, and reads them back", async () => {
    const filled = await doTest("fill");
    const bytes = fileBytes();
    const read = await doTest("read");
    console.log({ filled, read, bytes });
    expect(filled.maxRssMb).toBeLessThan(MACHINE_MEMORY_MB);
    expect(read.maxRssMb).toBeLessThan(MACHINE_MEMORY_MB);
    expect(filled.batches).toBe(215);
    expect(read.batches).toBe(215);
    expect(bytes).toBeLessThan(MACHINE_DISK_BYTES);
  }, TIMEOUT_MS);

  // Guards against batches that are refused once results fill the memory.
  it(
    "accepts 86 results a second for 300 s on a machine of 220 MB",
    async () => {
      const sustained = await doTest("sustain");
      const bytes = fileBytes();
      const resumed = await doTest("resume");
      console.log({ sustained, resumed, bytes });
      expect(sustained.refused).toBe(0);
      expect(sustained.batches).toBeGreaterThan(100);
      expect(resumed.batches).toBe(sustained.batches);
      expect(sustained.maxRssMb).toBeLessThan(SMALL_MACHINE_MEMORY_MB);
      expect(resumed.maxRssMb).toBeLessThan(SMALL_MACHINE_MEMORY_MB);
      expect(bytes).toBeLessThan(SMALL_MACHINE_DISK_BYTES);
    },
    TIMEOUT_MS,
  );
});
