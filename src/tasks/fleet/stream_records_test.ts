import { describe, expect, it } from "vitest";
import { sleep } from "../../../fakes/engine.ts";
import type { CallRequest } from "../../core/calls/mod.ts";
import type { StreamRecord } from "../../core/continuation/mod.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { FleetMethod } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";
import { StreamService } from "./stream_service.ts";
import { StreamRecords } from "./stream_records.ts";

type Handler = (params: unknown, from: string) => unknown;

/** Longest time of a search, in milliseconds. */
const FIND_MS = 600;
/** Answer time of a control instance on a busy machine, in milliseconds. */
const BUSY_MS = 300;
/** Time in which what a control instance has missed is sent again. */
const RESENT_MS = 1_200;
const CONTROLS = ["c1", "c2", "c3", "c4"];

/** Instances that reach each other by their identifiers. */
class StandInNet {
  readonly handlers = new Map<string, Map<string, Handler>>();
  readonly down = new Set<string>();
  /** Incarnation of all control instances. */
  incarnation = "1";
  /** Time that each answer takes, in milliseconds. */
  answerMs = 0;
  /** Numbers of requests by method. */
  readonly counts = new Map<string, number>();

  /** Creates an instance that is linked to some control instances. */
  createNode(id: string, controls: readonly string[]): FleetNode {
    const own = new Map<string, Handler>();
    this.handlers.set(id, own);
    const hub = {
      handle: (method: string, handler: Handler) => {
        own.set(method, handler);
        return hub;
      },
      request: (to: string, method: string, { params }: { params: unknown }) =>
        this.#request(id, to, { method, params }),
      getPresence: () => ({ incarnation: this.incarnation }),
    };
    const node = {
      hub,
      linkedMembers: (role: FleetRole) =>
        role === FleetRole.Control ? controls.map((to) => ({ id: to })) : [],
      roster: { membersOf: () => controls.map((to) => ({ id: to })) },
      settings: { id, seeds: CONTROLS },
      logger: new Logger({ instance: id, level: "error" }),
      metrics: new Metrics({ tags: {} }),
      get now() {
        return performance.now();
      },
    };
    return node as unknown as FleetNode;
  }

  /** Starts control instances that know nothing, each linked to all others. */
  startControls(): void {
    for (const id of CONTROLS) {
      new StreamService(
        this.createNode(id, CONTROLS.filter((one) => one !== id)),
      );
    }
  }

  async #request(
    from: string,
    to: string,
    { method, params }: { method: string; params: unknown },
  ): Promise<unknown> {
    this.counts.set(method, (this.counts.get(method) ?? 0) + 1);
    const handler = this.handlers.get(to)?.get(method);
    if (this.answerMs > 0) await sleep(this.answerMs);
    if (this.down.has(to) || handler === undefined) {
      throw new Error(`No answer of ${to}`);
    }
    return await handler(params, from);
  }
}

describe(StreamRecords.name, () => {
  const key = { workspace: "w", request: "r" };
  const record = {
    ...key,
    writer: { service: "s", software: "v1" },
    keepMs: 60_000,
  };

  /** Records a stream at one entry instance and seeks it at another one. */
  async function doTest(
    options: {
      links: string[];
      otherLinks: string[];
      down?: string[];
      /** Called before the stream is recorded. */
      before?: (net: StandInNet) => void;
      /** Called after the stream is recorded. */
      after?: (net: StandInNet) => Promise<void>;
      /** Called while it is sought. */
      during?: () => Promise<void>;
    },
    expected: boolean,
    sought = key,
  ) {
    const net = new StandInNet();
    net.startControls();
    options.before?.(net);
    await new StreamRecords(net.createNode("e1", options.links)).add(record);
    for (const id of options.down ?? []) net.down.add(id);
    await options.after?.(net);
    const other = new StreamRecords(net.createNode("e2", options.otherLinks));
    const found = other.find(sought, FIND_MS);
    await options.during?.();
    const { writer } = await found;
    expect(writer).toEqual(expected ? record.writer : undefined);
  }

  it("finds a stream that another instance recorded", () =>
    doTest({ links: ["c1", "c2"], otherLinks: ["c2"] }, true));

  it("finds it through control instances that do not know it", () =>
    doTest({ links: ["c1", "c2"], otherLinks: ["c3", "c4"] }, true));

  it("finds it after a control instance is lost", () =>
    doTest(
      { links: ["c1", "c2"], otherLinks: ["c1", "c3"], down: ["c1"] },
      true,
    ));

  it("finds nothing while it is cut off from control", () =>
    doTest({ links: ["c1"], otherLinks: [] }, false));

  it("finds no stream of another workspace", () =>
    doTest({ links: ["c1"], otherLinks: ["c1"] }, false, {
      ...key,
      workspace: "other",
    }));

  it("goes on if no control instance records a stream", async () => {
    const records = new StreamRecords(new StandInNet().createNode("e1", []));
    await records.add(record);
    const { writer } = await records.find(key, FIND_MS);
    expect(writer).toEqual(record.writer);
  });

  it("finds a stream at an instance that is linked during the search", () => {
    const otherLinks: string[] = [];
    const during = async () => {
      await sleep(BUSY_MS);
      otherLinks.push("c2");
    };
    return doTest({ links: ["c1"], otherLinks, during }, true);
  });

  it("finds a stream at control instances that answer late", () => {
    const after = (net: StandInNet) => {
      net.answerMs = BUSY_MS;
      return Promise.resolve();
    };
    return doTest({ links: ["c1"], otherLinks: ["c1", "c2"], after }, true);
  });

  it("finds a stream recorded while no control instance was linked", () => {
    const links: string[] = [];
    const after = () => {
      links.push("c1");
      return sleep(RESENT_MS);
    };
    return doTest({ links, otherLinks: ["c1"], after }, true);
  });

  it("finds a stream that no control instance acknowledged in time", () => {
    const before = (net: StandInNet) => void net.down.add("c1");
    const after = (net: StandInNet) => {
      net.down.clear();
      return sleep(RESENT_MS);
    };
    return doTest({ links: ["c1"], otherLinks: ["c1"], before, after }, true);
  });

  it("finds a stream after all control instances have started again", () => {
    const after = (net: StandInNet) => {
      net.startControls();
      net.incarnation = "2";
      return sleep(RESENT_MS);
    };
    return doTest({ links: ["c1", "c2"], otherLinks: ["c3"], after }, true);
  });

  it("finds a stream whose record comes while it is sought", async () => {
    const net = new StandInNet();
    net.startControls();
    net.down.add("c3");
    const other = new StreamRecords(net.createNode("e2", ["c1", "c2"]));
    const found = other.find(key, FIND_MS);
    await sleep(BUSY_MS);
    await new StreamRecords(net.createNode("e1", ["c1"])).add(record);
    expect((await found).writer).toEqual(record.writer);
  });

  it("does not wait for what all control instances do not know", async () => {
    const net = new StandInNet();
    net.startControls();
    const other = new StreamRecords(net.createNode("e2", ["c1", "c2"]));
    const answer = await other.find(key, Infinity);
    expect(answer).toEqual({ writer: undefined, isCertain: true });
    expect(net.counts.get(FleetMethod.FindStream)).toBe(2 * CONTROLS.length);
  });

  it("is not certain while a control instance does not answer", async () => {
    const net = new StandInNet();
    net.startControls();
    net.down.add("c4");
    const other = new StreamRecords(net.createNode("e2", ["c1"]));
    const answer = await other.find(key, FIND_MS);
    expect(answer).toEqual({ writer: undefined, isCertain: false });
  });

  it("keeps a stream for callers that return after its request's time", async () => {
    const net = new StandInNet();
    const kept: StreamRecord[] = [];
    net.createNode("c1", []).hub.handle(
      FleetMethod.RecordStream,
      (params) => kept.push(params as StreamRecord),
    );
    const { workspace, request, writer } = record;
    await new StreamRecords(net.createNode("e1", ["c1"])).record(
      { id: request, timeoutMs: 4_000 } as CallRequest,
      { route: { timeoutMs: 3_000 }, workspace: { name: workspace } } as never,
      writer,
    );
    expect(kept).toMatchObject([{ ...key, writer }]);
    expect(kept[0].keepMs).toBeGreaterThan(10_000);
  });

  it("sends nothing again that control instances have", async () => {
    const net = new StandInNet();
    net.startControls();
    await new StreamRecords(net.createNode("e1", ["c1", "c2"])).add(record);
    await sleep(RESENT_MS);
    expect(Object.fromEntries(net.counts))
      .toEqual({ [FleetMethod.RecordStream]: 2 });
  });
});
