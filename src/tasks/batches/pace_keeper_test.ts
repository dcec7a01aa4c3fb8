import { mkdir, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { KnownPaces } from "../../core/batches/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { FrameCodec } from "../storage/mod.ts";
import { BatchMethod } from "./batch_port.ts";
import { PaceFile } from "./pace_file.ts";
import { PaceKeeper } from "./pace_keeper.ts";

type Handler = (params: unknown) => unknown;

const PACES: KnownPaces = {
  targets: [
    { id: "t1", service: "s", incarnation: 1, paceMs: 17, ageMs: 0 },
  ],
  services: [{
    service: "s",
    completed: 30,
    runs: 28,
    events: 500,
    estimatedEvents: 500,
    estimatedTokens: 9_000,
    prompts: {
      uncached: { events: 4, samples: 20 },
      cached: { events: 1, samples: 9 },
    },
    ageMs: 0,
  }],
};

describe(PaceKeeper.name, () => {
  let folder: string;
  let handlers: Map<string, Map<string, Handler>>;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "paces-"));
    handlers = new Map();
  });

  afterEach(() => rm(folder, { recursive: true, force: true }));

  /** Creates the keeper of an instance that reaches all others. */
  function createKeeper(id: string, term?: number) {
    const own = new Map<string, Handler>();
    handlers.set(id, own);
    const hub = {
      handle: (method: string, handler: Handler) => own.set(method, handler),
      getPresence: () => ({ incarnation: "1" }),
      request: async (
        to: string,
        method: string,
        { params }: { params: unknown },
      ) => {
        const handler = handlers.get(to)?.get(method);
        if (handler === undefined) throw new Error("notRun");
        return await handler(structuredClone(params));
      },
    };
    return new PaceKeeper({
      node: {
        hub: hub as never,
        linkedMembers: () =>
          [...handlers.keys()].filter((other) => other !== id)
            .map((other) => ({ id: other, member: {} as never })),
        logger: new Logger({ instance: id, level: "error" }),
      },
      dataFolder: join(folder, id),
      leadsTerm: () => term,
      save: () => PACES,
      load: () => {},
      now: () => performance.now(),
    });
  }

  const filePath = (id: string) => join(folder, id, "paces");
  const knownAt = (keeper: PaceKeeper) =>
    keeper.takeOver().targets.map(({ paceMs }) => paceMs);

  /** Checks what the file of an instance holds. */
  async function doFileTest(expected: readonly number[]) {
    const stored = await new PaceFile(join(folder, "b")).read();
    const paces = stored?.targets.map(({ paceMs }) => paceMs) ?? [];
    expect(paces).toEqual(expected);
  }

  it("brings what a leader has learnt to another instance", async () => {
    const follower = createKeeper("b");
    createKeeper("a", 3).send();
    await vi.waitFor(() => expect(knownAt(follower)).toEqual([17]));
    const [estimate] = follower.takeOver().services;
    expect(estimate).toMatchObject({ events: 500, completed: 30 });
  });

  // Failure: an instance of an earlier build does not know the method.
  it("reaches the others beside one that refuses", async () => {
    const leader = createKeeper("a", 3);
    handlers.set("old", new Map());
    const follower = createKeeper("b");
    leader.send();
    await vi.waitFor(() => expect(knownAt(follower)).toEqual([17]));
  });

  it("ignores a malformed message", async () => {
    const keeper = createKeeper("b");
    const handler = handlers.get("b")?.get(BatchMethod.Paces);
    const targets = [{ ...PACES.targets[0], paceMs: "fast" }];
    expect(await handler?.({ term: 1, ...PACES, targets })).toBe(false);
    expect(knownAt(keeper)).toEqual([]);
  });

  // Failure: all instances lose power.
  it("reads after a restart what it has stored", async () => {
    const leader = createKeeper("b", 3);
    leader.send();
    await leader.store();
    await doFileTest([17]);
    const restarted = createKeeper("b");
    restarted.start();
    await vi.waitFor(() => expect(knownAt(restarted)).toEqual([17]));
    restarted.stop();
  });

  it("counts a missing file as empty", () => doFileTest([]));

  it("counts a damaged file as empty", async () => {
    const leader = createKeeper("b", 3);
    leader.send();
    await leader.store();
    const bytes = await readFile(filePath("b"));
    bytes[20] ^= 1;
    await writeFile(filePath("b"), bytes);
    await doFileTest([]);
  });

  it("counts a file of another format as empty", async () => {
    await mkdir(join(folder, "b"));
    const file = { format: 2, savedAt: Date.now(), ...PACES };
    await writeFile(filePath("b"), new FrameCodec().encode(file));
    await doFileTest([]);
  });

  // Failure: the disk is full; the data folder cannot even be created.
  it("keeps paces in memory and sends them if it cannot store them", async () => {
    await writeFile(join(folder, "a"), "");
    const leader = createKeeper("a", 3);
    const follower = createKeeper("b");
    leader.send();
    await leader.store();
    expect(knownAt(leader)).toEqual([17]);
    await vi.waitFor(() => expect(knownAt(follower)).toEqual([17]));
    await rm(join(folder, "a"));
    await leader.store();
    expect((await readFile(filePath("a"))).length).toBeGreaterThan(0);
  });
});
