/** Responses of targets that stop before their end. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  createResponseKinds,
  cutEverywhere,
  cutKinds,
  type CutWay,
  mayBeBroken,
  type NamedCut,
} from "../../../tests/support/cut_responses.ts";
import { CuttingTarget } from "../../../tests/support/cutting_target.ts";
import { readResponse } from "../../../tests/support/received_response.ts";
import { LoopbackNet } from "../../../tests/support/loopback_net.ts";
import {
  type RelayingInstance,
  startInstances,
  stopInstance,
} from "../../../tests/support/relaying_instances.ts";
import { runAll } from "../../../tests/support/run_all.ts";
import { dialTcp } from "./dial.ts";
import { TargetConnections } from "./target_connections.ts";
import { TargetPaths } from "./target_paths.ts";

const TIMEOUT_MS = 5_000;
const SILENCE_MS = 60;
/** Nothing listens there. */
const CLOSED = { host: "127.0.0.1", port: 1 };
const PARTS = ["first part", "second"];

describe.each(["direct", "relayed"] as const)(
  "a response on a %s path that is cut at any byte",
  (path) => {
    const target = new CuttingTarget();
    let address: string;
    let connections: TargetConnections;
    let net: LoopbackNet;
    let instances: RelayingInstance[] = [];

    beforeAll(async () => {
      address = await target.start();
      net = await LoopbackNet.claim();
      connections = new TargetConnections({
        paths: path === "direct"
          ? new TargetPaths({ connectTimeoutMs: TIMEOUT_MS })
          : await startRelay(),
        idleTimeoutMs: TIMEOUT_MS,
      });
    });

    afterAll(() => {
      connections.closeIdleExcept(new Set());
      for (const instance of instances) stopInstance(instance);
      target.stop();
      net.release();
    });

    /** Starts two instances of which the first is cut off from the target. */
    async function startRelay(): Promise<TargetPaths> {
      const targets = [{ address }];
      const dials = [() => dialTcp(CLOSED), dialTcp];
      instances = await startInstances(net, { count: 2, targets, dials });
      return instances[0].paths;
    }

    /** Gets the body of a complete response, or undefined. */
    async function send(cut: NamedCut): Promise<string | undefined> {
      const isWhole = readResponse(cut.bytes, cut.end)?.isComplete === true;
      const name = encodeURIComponent(cut.name);
      target.script(name, [cut]);
      const isSilent = cut.end === "open" && !isWhole;
      const timeoutMs = isSilent ? SILENCE_MS : TIMEOUT_MS;
      const signal = AbortSignal.timeout(timeoutMs);
      const options = { maxConnections: 1_000, signal };
      try {
        return await connections.use(address, options, async (connection) => {
          const { body } = await connection.client.request({
            method: "POST",
            path: "/",
            headers: { case: name },
            signal,
          });
          const text = await body.text();
          connection.markComplete();
          return text;
        });
      } catch {
        return undefined;
      }
    }

    async function doTest(way: CutWay): Promise<void> {
      const kinds = createResponseKinds({ parts: PARTS });
      const cuts = path === "direct"
        ? kinds.flatMap((kind) => cutEverywhere(kind, way))
        : cutKinds(kinds, way);
      const faults: string[] = [];
      await runAll(cuts, async (cut) => {
        const sent = readResponse(cut.bytes, cut.end);
        const isComplete = sent?.isComplete === true;
        const expected = isComplete ? sent.body.toString() : undefined;
        const received = await send(cut);
        if (received === expected) return;
        if (received === undefined && mayBeBroken(way)) return;
        faults.push(`${cut.name}: ${received}, not ${expected}`);
      });
      expect(faults).toEqual([]);
    }

    it.each(["closed", "reset", "open", "error"] as const)(
      "is broken unless the target has ended it (%s)",
      (way) => doTest(way),
    );
  },
);
