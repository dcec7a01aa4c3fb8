import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { HeaderName } from "../platform/http_names.ts";
import { TargetClient } from "../platform/target_client.ts";
import { LatencyTracker } from "../src/core/calls/mod.ts";
import { type WorkItem, WorkKind } from "../src/core/dispatch/mod.ts";
import { PolicyView, RouteKind } from "../src/core/policy/mod.ts";
import { TargetRegistry } from "../src/core/registry/mod.ts";
import { ExpectedTimePicker, TargetPhase } from "../src/core/routing/mod.ts";
import type { RefusalError } from "../src/core/verdict/mod.ts";
import { Logger } from "../src/logging/mod.ts";
import { Metrics } from "../src/metrics/mod.ts";
import {
  CallRun,
  NO_CRASH_GUARD,
  type ResponseStream,
} from "../src/tasks/calls/mod.ts";
import {
  DispatchTask,
  type JobResult,
  type JobSink,
  REQUEST_ID_HEADER,
} from "../src/tasks/targets/mod.ts";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createCall } from "./support/call_request.ts";
import { CutKind } from "./support/cut_links.ts";
import { LoopbackNet } from "./support/loopback_net.ts";
import { createPolicy, createRoute } from "./support/policy_document.ts";
import {
  type CountingTarget,
  type RelayingInstance,
  startInstances,
  startTarget,
  stopInstance,
  stopTarget,
} from "./support/relaying_instances.ts";
import { createReport } from "./support/target_report.ts";

const TIMEOUT_MS = 5_000;
const CALLS = 4;
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
/** Longer than a kept connection counts as alive without an answer. */
const QUIET_MS = 1_200;

/** The first of several instances has lost all targets; the others reach them. */
describe("a stranded instance", () => {
  let net: LoopbackNet;
  let targets: CountingTarget[];
  let instances: RelayingInstance[];

  beforeEach(async () => {
    net = await LoopbackNet.claim();
  });

  afterEach(() => {
    for (const instance of instances) stopInstance(instance);
    for (const target of targets) stopTarget(target);
    net.release();
  });

  async function start(idHeader: string, count = 3): Promise<void> {
    const handler: Parameters<typeof startTarget>[1] = (req, res) => {
      if (req.url === "/health") {
        res.setHeader("content-type", "application/json");
        res.end('{"incarnation":"1","running":0,"waiting":0}');
        return;
      }
      res.setHeader("content-type", "text/event-stream");
      res.setHeader("server-stamp", "t1");
      res.write(EVENTS[0]);
      setTimeout(() => res.end(EVENTS[1]), 10);
    };
    targets = [
      await startTarget(idHeader, handler),
      await startTarget(idHeader, handler),
    ];
    instances = await startInstances(net, { count, targets });
  }

  /** Gets how often each request ran. */
  const runsOf = (id: string) =>
    targets.flatMap((target) => target.ran).filter((ran) => ran === id).length;

  describe("of a fleet", () => {
    let client: TargetClient;
    const latencies = new LatencyTracker();

    beforeEach(async () => {
      await start(HeaderName.RequestId);
      client = new TargetClient(instances[0].paths);
    });

    /** Runs a call at the first instance; gets its status or verdict. */
    async function call(
      kind: RouteKind,
      stream?: ResponseStream,
    ): Promise<{ id: string; end: number | string }> {
      const id = randomUUID();
      const registry = new TargetRegistry();
      for (const [i, { address }] of targets.entries()) {
        registry.merge(createReport({ id: `t${i}`, address }), 0);
      }
      const route = createRoute({
        kind,
        timeoutMs: TIMEOUT_MS,
        objectiveMs: 100,
        maxAttempts: 3,
        isAnonymous: true,
      });
      const run = new CallRun({
        targets: client,
        registry,
        latencies,
        crashes: NO_CRASH_GUARD,
        rates: {
          isLimited: () => false,
          acquire: () => Promise.reject(new Error("Unexpected permit")),
        },
        logger: new Logger({ instance: "test", level: "error" }),
        metrics: new Metrics({ tags: {} }),
        dataCentre: "a",
        onFirstRun: () => {},
        onSigns: () => {},
        awaitLease: () => Promise.resolve(true),
      }, {
        call: createCall({ id, headers: [["Request-Id", id]] }),
        admission: {
          route,
          workspace: undefined,
          policy: new PolicyView(createPolicy({ routes: [route] })),
        },
        signal: new AbortController().signal,
        stream,
      });
      try {
        return { id, end: (await run.run()).status };
      } catch (err) {
        return { id, end: (err as RefusalError).verdict };
      }
    }

    /** Cuts the instance after a first call, and expects all calls served. */
    async function doTest(
      cut: CutKind,
      kind: RouteKind,
      quietMs = 0,
    ): Promise<void> {
      expect(await call(kind)).toMatchObject({ end: 200 });
      instances[0].links.cut(cut);
      await sleep(quietMs);
      for (let i = 0; i < CALLS; i += 1) {
        const { id, end } = await call(kind);
        expect({ i, end }).toEqual({ i, end: 200 });
        if (kind === RouteKind.NonIdempotent) expect(runsOf(id)).toBe(1);
      }
    }

    it("serves calls while its connections hang", () =>
      doTest(CutKind.Hang, RouteKind.Idempotent));

    it("serves calls while its connections are reset", () =>
      doTest(CutKind.Reset, RouteKind.Idempotent));

    it("serves calls while new connections are refused", () =>
      doTest(CutKind.RefuseNew, RouteKind.Idempotent));

    it("serves calls while its open connections alone hang", () =>
      doTest(CutKind.HangOpen, RouteKind.Idempotent));

    it("runs a call once that must not be repeated, while connections hang", () =>
      doTest(CutKind.Hang, RouteKind.NonIdempotent, QUIET_MS));

    it("runs a call once that must not be repeated, while open ones hang", () =>
      doTest(CutKind.HangOpen, RouteKind.NonIdempotent, QUIET_MS));

    it("streams while its connections hang", async () => {
      instances[0].links.cut(CutKind.Hang);
      let text = "";
      const { end } = await call(RouteKind.Streaming, {
        onHead: () => {},
        onData: (chunk) => {
          text += Buffer.from(chunk).toString();
          return true;
        },
        drained: () => Promise.resolve(),
      });
      expect({ end, text }).toEqual({ end: 200, text: EVENTS.join("") });
    });

    it("takes no target for dead that others reach", async () => {
      instances[0].links.cut(CutKind.Reset);
      expect(await client.isRefusing(targets[0].address)).toBe(false);
    });

    it("takes a target for dead that nobody reaches", async () => {
      for (const { links } of instances) links.cut(CutKind.Reset);
      expect(await client.isRefusing(targets[0].address)).toBe(true);
    });
  });

  describe("of a cluster", () => {
    let dispatch: DispatchTask;

    beforeEach(async () => {
      await start(REQUEST_ID_HEADER);
      dispatch = new DispatchTask({
        picker: new ExpectedTimePicker(xoroshiro128plus(1)),
        random: () => 0,
        getWeight: () => 1,
        getLimits: () => ({}),
        logger: new Logger({ instance: "test", level: "error" }),
        metrics: new Metrics({ tags: {} }),
        now: Date.now,
        paths: instances[0].paths,
        probeTimeoutMs: TIMEOUT_MS,
      });
      for (const [i, { address }] of targets.entries()) {
        dispatch.announce({
          id: `t${i}`,
          incarnation: "1",
          url: `http://${address}`,
          pools: ["p"],
          zone: "z",
        });
      }
    });

    afterEach(() => dispatch.stop());

    /** Runs a call or a sample. */
    function run(kind: WorkKind): Promise<JobResult> {
      const id = randomUUID();
      const item: WorkItem = {
        id,
        kind,
        workspace: "w",
        route: "r",
        pool: "p",
        cost: 1,
        tokens: 1,
        prefixTokens: 0,
        fingerprint: id,
        idempotent: true,
        maxAttempts: 3,
        deadline: Date.now() + TIMEOUT_MS,
      };
      return new Promise((resolve) =>
        dispatch.submit({
          item,
          request: {
            path: "/p",
            method: "POST",
            headers: {},
            body: Buffer.from("{}"),
            timeoutMs: TIMEOUT_MS,
          },
          createSink: () => new WholeSink(),
          onEnd: resolve,
        })
      );
    }

    async function doTest(cut: CutKind, kind: WorkKind): Promise<void> {
      expect(await run(kind)).toMatchObject({ type: "completed" });
      instances[0].links.cut(cut);
      await sleep(QUIET_MS);
      for (let i = 0; i < CALLS; i += 1) {
        expect(await run(kind)).toMatchObject({ type: "completed" });
      }
    }

    it("serves calls while its connections hang", () =>
      doTest(CutKind.Hang, WorkKind.Call));

    it("generates samples while its connections are reset", () =>
      doTest(CutKind.Reset, WorkKind.Sample));

    it("takes no probed target for dead that others reach", async () => {
      instances[0].links.cut(CutKind.Reset);
      expect(await dispatch.probe("t0")).toMatchObject({ type: "answered" });
      expect(dispatch.dispatcher.targets.get("t0")?.phase)
        .toBe(TargetPhase.Serving);
    });
  });
});

/** Takes any response that ends regularly for a complete one. */
class WholeSink implements JobSink {
  readonly hasResponded = false;
  readonly tokens = 1;

  onHead(): void {}

  onData(): boolean {
    return true;
  }

  isComplete(): boolean {
    return true;
  }
}
