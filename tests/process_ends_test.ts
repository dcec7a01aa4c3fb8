import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { afterEach, describe, expect, it } from "vitest";
import { LoopbackNet } from "./support/loopback_net.ts";

const PROGRAM = JSON.stringify(join(process.cwd(), "dist/fleet.mjs"));
const PEER_PORT = 17_000;
const METRICS_PORT = 17_004;

interface ProcessOptions {
  /** Source that is run before the program. */
  readonly before?: string;
  /** Settings that differ; undefined for a missing file. */
  readonly settings?: Readonly<Record<string, unknown>>;
  readonly nodeOptions?: readonly string[];
}

interface Line {
  readonly event: number;
  readonly instance: string;
  readonly reason?: string;
  readonly [field: string]: unknown;
}

/** An instance whose processes run one after the other. */
class TestInstance {
  readonly folder = mkdtempSync(join(tmpdir(), "process-ends-"));
  readonly children: ChildProcess[] = [];
  readonly #net: LoopbackNet;

  private constructor(net: LoopbackNet) {
    this.#net = net;
  }

  static async create(): Promise<TestInstance> {
    return new TestInstance(await LoopbackNet.claim());
  }

  start({ before = "", settings, nodeOptions = [] }: ProcessOptions) {
    const hook = join(this.folder, "hook.mjs");
    const file = join(this.folder, "settings.json");
    writeFileSync(hook, `${before}\nawait import(${PROGRAM});`);
    if (settings) {
      writeFileSync(
        file,
        JSON.stringify({ ...this.#createSettings(), ...settings }),
      );
    }
    const child = spawn(process.execPath, [...nodeOptions, hook], {
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        ...process.env,
        NUTMEGREEL_SETTINGS: file,
        TMPDIR: this.folder,
      },
    });
    this.children.push(child);
    return child;
  }

  async stop(): Promise<void> {
    for (const child of this.children) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      child.kill("SIGKILL");
      await once(child, "exit");
    }
    this.#net.release();
    rmSync(this.folder, { recursive: true });
  }

  /** Address at which metrics are served. */
  get metrics(): string {
    return `${this.#net.addressOf(50)}:${METRICS_PORT}`;
  }

  #createSettings(): Readonly<Record<string, unknown>> {
    const id = this.#net.addressOf(50);
    return {
      id,
      name: "entry-1",
      dataCentre: "a",
      role: "entry",
      peerPort: PEER_PORT,
      seeds: [],
      isFirstStart: false,
      tolerance: 1,
      metrics: this.metrics,
      listen: { readiness: `${id}:17002`, callers: `${id}:17001` },
      times: {
        revokeMs: 5_000,
        reportIntervalMs: 300,
        graceS: 4,
        usageWindowS: 2,
        usageDueS: 4,
        keepResultsS: 120,
        contactMs: 3_000,
      },
    };
  }
}

const instances: TestInstance[] = [];
afterEach(async () => {
  for (const instance of instances.splice(0)) await instance.stop();
});

async function createInstance(): Promise<TestInstance> {
  const instance = await TestInstance.create();
  instances.push(instance);
  return instance;
}

/** Waits for the end; gets the code and the lines of standard output. */
async function waitForEnd(child: ChildProcess) {
  const [output, errors, [code]] = await Promise.all([
    text(child.stdout!),
    text(child.stderr!),
    once(child, "exit"),
  ]);
  return { code, lines: parseLines(output), errorLines: parseLines(errors) };
}

function parseLines(output: string): Line[] {
  return output.split("\n").filter((line) => line.startsWith("{")).map((line) =>
    JSON.parse(line)
  );
}

/** Waits until the output of a process has an event. */
async function waitForEvent(child: ChildProcess, event: number) {
  for await (
    const chunk of child.stdout!.iterator({ destroyOnReturn: false })
  ) {
    if (String(chunk).includes(`"event":${event}`)) return;
  }
  throw new Error(`Output ended before event ${event}`);
}

const SENT_BEFORE_SETTINGS = (signal: NodeJS.Signals) =>
  `process.env = new Proxy(process.env, {
     get(env, name) {
       if (name === "NUTMEGREEL_SETTINGS") process.kill(process.pid, "${signal}");
       return env[name];
     },
   });`;

describe("a signal before the settings are read", () => {
  async function doTest(
    signal: NodeJS.Signals,
    expected: { code: number; reason: string },
  ) {
    const instance = await createInstance();
    const before = SENT_BEFORE_SETTINGS(signal);
    const { code, lines } = await waitForEnd(instance.start({ before }));
    expect({ code, reason: lines.at(-1)?.reason }).toEqual(expected);
  }

  it("is a planned stop if it asks for one", async () => {
    await doTest("SIGTERM", { code: 0, reason: "SIGTERM" });
    await doTest("SIGINT", { code: 0, reason: "SIGINT" });
  });

  it("does not end the process otherwise", async () => {
    await doTest("SIGHUP", { code: 1, reason: "startFailed" });
    await doTest("SIGUSR2", { code: 1, reason: "startFailed" });
  });
});

describe("an end on an error", () => {
  async function doTest(options: ProcessOptions, expected: Partial<Line>) {
    const instance = await createInstance();
    const { code, lines } = await waitForEnd(instance.start(options));
    expect(code).toBe(1);
    expect(lines.at(-1)).toMatchObject({ event: 1022, ...expected });
  }

  it("has a line if the settings are missing or not valid", async () => {
    await doTest({}, { reason: "startFailed", code: "faultyFile" });
    await doTest({ settings: { role: "none" } }, { reason: "startFailed" });
  });

  it("has a line if no settings are named", () =>
    doTest({ before: "delete process.env.NUTMEGREEL_SETTINGS;" }, {
      reason: "startFailed",
      message: "NUTMEGREEL_SETTINGS is not set",
    }));

  it("has a line if the data folder cannot be used", () =>
    doTest({ settings: { role: "control", dataFolder: "/dev/null/data" } }, {
      instance: "entry-1",
      reason: "startFailed",
    }));

  it("has a line if no code caught it", () =>
    doTest({
      before: `setTimeout(() => { throw new RangeError("odd"); }, 1_500);`,
      settings: {},
    }, {
      instance: "entry-1",
      reason: "uncaughtException",
      error: "RangeError",
      message: "odd",
    }));

  it("has a line if it rejected a promise that no code awaited", () =>
    doTest({
      before: `setTimeout(() => void Promise.reject("odd"), 1_500);`,
      settings: {},
    }, {
      instance: "entry-1",
      reason: "unhandledRejection",
      message: expect.stringContaining("odd"),
    }));

  it("has a line although nobody reads the output until then", async () => {
    const instance = await createInstance();
    const child = instance.start({
      before: `setTimeout(() => {
        process.stdout.write("x".repeat(4_000_000));
        throw new Error("odd");
      }, 1_500);`,
      settings: {},
    });
    const errors = text(child.stderr!);
    const [output, code] = await new Promise<[Promise<string>, number | null]>(
      (resolve) =>
        child.once("exit", (code) => resolve([text(child.stdout!), code])),
    );
    expect(code).toBe(1);
    // A pipe that is too full for a long line may still take a short one.
    const all = `${await output}\n${await errors}`;
    const lines = parseLines(all);
    expect(lines.at(-1)).toMatchObject({
      event: 1022,
      reason: "uncaughtException",
    });
  });
});

describe("an end by a signal", () => {
  async function doTest(signal: NodeJS.Signals) {
    const instance = await createInstance();
    const child = instance.start({ settings: {} });
    await waitForEvent(child, 2001);
    child.kill(signal);
    const { code, lines } = await waitForEnd(child);
    expect(code).toBe(0);
    expect(lines.at(-1)).toMatchObject({
      event: 1021,
      instance: "entry-1",
      reason: signal,
    });
  }

  it("has a line that names the signal", async () => {
    await doTest("SIGTERM");
    await doTest("SIGINT");
  });

  it("comes although the reader of the output has closed it", async () => {
    const instance = await createInstance();
    const child = instance.start({ settings: {} });
    await waitForEvent(child, 2001);
    child.stdout!.destroy();
    child.kill("SIGHUP");
    child.kill("SIGUSR2");
    await new Promise((resolve) => setTimeout(resolve, 500));
    expect(child.exitCode).toBeNull();
    child.kill("SIGTERM");
    const [errors] = await Promise.all([
      text(child.stderr!),
      once(child, "exit"),
    ]);
    expect(child.exitCode).toBe(0);
    expect(parseLines(errors).at(-1)).toMatchObject({ event: 1021 });
  });
});

describe("an end without a line", () => {
  async function doTest(
    options: ProcessOptions,
    endProcess: (child: ChildProcess) => void,
  ) {
    const instance = await createInstance();
    const { settings } = options;
    const first = instance.start(options);
    await waitForEvent(first, 2001);
    endProcess(first);
    await once(first, "exit");
    const second = instance.start({ settings });
    await waitForEvent(second, 1023);
    second.kill("SIGTERM");
    await waitForEnd(second);
    const third = instance.start({ settings });
    const output = waitForEnd(third);
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    third.kill("SIGTERM");
    const events = (await output).lines.map(({ event }) => event);
    expect(events).toContain(2001);
    expect(events).not.toContain(1023);
  }

  it("by SIGKILL is reported by the next process", async () => {
    await doTest({ settings: {} }, (child) => child.kill("SIGKILL"));
    const folder = mkdtempSync(join(tmpdir(), "process-ends-data-"));
    const settings = { role: "control", dataFolder: join(folder, "data") };
    await doTest({ settings }, (child) => child.kill("SIGKILL"));
    rmSync(folder, { recursive: true });
  });

  it("by a full heap is reported by the next process", () =>
    doTest({
      settings: {},
      nodeOptions: ["--max-old-space-size=40"],
      before: `setTimeout(() => {
        const kept = [];
        for (;;) kept.push(new Array(1_000).fill(kept.length));
      }, 1_500);`,
    }, () => {}));

  it("by a heap that fills has a line before", async () => {
    const instance = await createInstance();
    const child = instance.start({
      settings: {},
      nodeOptions: ["--max-semi-space-size=2", "--max-old-space-size=110"],
      before: `const kept = [];
        setInterval(() => {
          for (let i = 0; i < 750; i += 1) {
            kept.push(new Array(1_000).fill(kept.length));
          }
        }, 100);`,
    });
    const { lines } = await waitForEnd(child);
    expect(child.exitCode).not.toBe(0);
    expect(lines.map(({ event }) => event)).toContain(1025);
  });
});

it("metrics show resources with their limits", async () => {
  const instance = await createInstance();
  const child = instance.start({ settings: { limits: { memoryMb: 346 } } });
  await waitForEvent(child, 2001);
  const read = async () => {
    for (;;) {
      await new Promise((resolve) => setTimeout(resolve, 200));
      const page = await fetch(`http://${instance.metrics}/metrics`)
        .then((response) => response.text(), () => "");
      if (page.includes("loopDelayMs")) return page;
    }
  };
  const page = await read();
  expect(page).toContain("nutmegreel_process_memoryLimitBytes 362807296");
  expect(page).toContain("nutmegreel_process_loopDelayLimitMs 3000");
  expect(page).toMatch(/nutmegreel_process_heapUsedBytes [1-9]/);
  expect(page).toMatch(/nutmegreel_process_residentBytes [1-9]/);
});
