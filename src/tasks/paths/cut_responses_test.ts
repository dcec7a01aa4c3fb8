/** Responses of targets that stop before their end. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  createResponseKinds,
  cutEverywhere,
  type NamedCut,
  type ResponseKind,
} from "../../../tests/support/cut_responses.ts";
import { CuttingTarget } from "../../../tests/support/cutting_target.ts";
import { readResponse } from "../../../tests/support/received_response.ts";
import { runAll } from "../../../tests/support/run_all.ts";
import { TargetConnections } from "./target_connections.ts";
import { TargetPaths } from "./target_paths.ts";

const TIMEOUT_MS = 5_000;
const SILENCE_MS = 60;
const PARTS = ["first part", "second"];

type Way = Parameters<typeof cutEverywhere>[1];

/** Gets whether bytes that make a whole response may be taken for broken. */
function mayBeBroken(way: Way): boolean {
  // A reset may overtake them; those of an error may be no valid response.
  return way === "reset" || way === "error";
}

describe("a response that is cut at any byte", () => {
  const target = new CuttingTarget();
  let address: string;
  let connections: TargetConnections;

  beforeAll(async () => {
    address = await target.start();
    connections = new TargetConnections({
      paths: new TargetPaths({ connectTimeoutMs: TIMEOUT_MS }),
      idleTimeoutMs: TIMEOUT_MS,
    });
  });

  afterAll(() => {
    connections.closeIdleExcept(new Set());
    target.stop();
  });

  /** Gets the body of a complete response, or undefined. */
  async function send(cut: NamedCut): Promise<string | undefined> {
    const name = encodeURIComponent(cut.name);
    target.script(name, [cut]);
    const timeoutMs = cut.end === "open" ? SILENCE_MS : TIMEOUT_MS;
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

  async function doTest(
    kind: ResponseKind,
    way: Way,
  ): Promise<string[]> {
    const faults: string[] = [];
    await runAll(cutEverywhere(kind, way), async (cut) => {
      const sent = readResponse(cut.bytes, cut.end);
      const isComplete = sent?.isComplete === true;
      const expected = isComplete ? sent.body.toString() : undefined;
      const received = await send(cut);
      if (received === expected) return;
      if (received === undefined && mayBeBroken(way)) return;
      faults.push(`${cut.name}: ${received}, not ${expected}`);
    });
    return faults;
  }

  it.each(["closed", "reset", "open", "error"] as const)(
    "is broken unless the target has ended it (%s)",
    async (way) => {
      const kinds = createResponseKinds({ parts: PARTS });
      const faults: string[] = [];
      for (const kind of kinds) faults.push(...await doTest(kind, way));
      expect(faults).toEqual([]);
    },
  );
});
