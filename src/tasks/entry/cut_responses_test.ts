/** Calls to services and models whose responses stop before their end. */
import { createServer, type Server } from "node:http";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  createResponseKinds,
  cutKinds,
  type CutWay,
  mayBeBroken,
  type NamedCut,
  type ResponseKindOptions,
} from "../../../tests/support/cut_responses.ts";
import { CuttingTarget } from "../../../tests/support/cutting_target.ts";
import { sendRaw } from "../../../tests/support/raw_caller.ts";
import {
  readResponse,
  type ReceivedResponse,
} from "../../../tests/support/received_response.ts";
import { runAll } from "../../../tests/support/run_all.ts";
import { listen } from "../../../tests/support/target_requests.ts";
import { ExpectedTimePicker } from "../../core/routing/mod.ts";
import type { RouteSettings } from "../../core/configuration/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { DispatchTask } from "../targets/mod.ts";
import { CallTask, type CallTaskOptions } from "./call_task.ts";

const TIMEOUT_MS = 20_000;
const MAX_BYTES = 65_536;
const ROUTE = {
  service: "s",
  idempotent: false,
  maxAttempts: 1,
  timeoutMs: TIMEOUT_MS,
} as unknown as RouteSettings;
const FRAMINGS: ReadonlySet<string> = new Set([
  "length",
  "chunked, close",
  "neither",
  "chunked after 103, close",
]);
const EVENTS = ['data: {"a":1}\n\n', 'data: {"b":2}\n\n', "data: [DONE]\n\n"];
const STREAM = {
  headers: ["Content-Type: text/event-stream"],
  parts: EVENTS,
};
const BODY = {
  headers: ["Content-Type: application/json"],
  parts: ['{"a":', '"b"}'],
};
/** The event by which a stream says that it failed, as its last one. */
const ERROR_EVENT = /(^|\n\n)event: error\ndata: \{"error":.*\}\n\n$/;

describe("a caller of a service whose response is cut at any byte", () => {
  const target = new CuttingTarget();
  const logger = new Logger({ instance: "test", level: "error" });
  const metrics = new Metrics({ tags: {} });
  let targetAddress: string;
  let server: Server;
  let address: string;

  beforeAll(async () => {
    targetAddress = await target.start();
    server = createServer(async (req, res) => {
      const dispatch = createDispatch();
      res.once("close", () => dispatch.stop());
      const body = Buffer.from(String(req.headers.traceparent));
      const call = { req, res, key: undefined, routeId: "r", route: ROUTE };
      await createCalls(dispatch).run({ ...call, path: "/p", body });
    });
    address = await listen(server);
  });

  afterAll(() => {
    target.stop();
    server.close();
  });

  function createDispatch(): DispatchTask {
    return new DispatchTask({
      picker: new ExpectedTimePicker(xoroshiro128plus(1)),
      random: () => 0,
      getWeight: () => 1,
      getLimits: () => ({}),
      logger,
      metrics,
      now: Date.now,
      probeTimeoutMs: TIMEOUT_MS,
    }).announce({
      id: "t1",
      incarnation: "1",
      url: `http://${targetAddress}`,
      pools: ["r"],
      zone: "z",
    });
  }

  function createCalls(dispatch: DispatchTask): CallTask {
    return new CallTask({
      dispatch,
      guard: undefined as unknown as CallTaskOptions["guard"],
      owner: "test",
      usage: { add: () => {} } as unknown as CallTaskOptions["usage"],
      metrics,
      now: Date.now,
      maxAnswerBytes: MAX_BYTES,
    });
  }

  async function send(
    cut: NamedCut,
    version: string,
  ): Promise<ReceivedResponse | undefined> {
    const name = encodeURIComponent(cut.name);
    target.script(name, [cut]);
    const { bytes, end } = await sendRaw(
      address,
      [
        `POST / HTTP/${version}`,
        "Host: h",
        `Traceparent: ${name}`,
        "Connection: close",
        "Content-Length: 0",
        "",
        "",
      ].join("\r\n"),
    );
    return readResponse(bytes, end);
  }

  async function doTest(
    response: ResponseKindOptions,
    way: CutWay,
    version = "1.1",
  ): Promise<void> {
    const whole = response.parts.join("");
    const faults: string[] = [];
    const kinds = createResponseKinds(response)
      .filter(({ name }) => FRAMINGS.has(name));
    await runAll(cutKinds(kinds, way), async (cut) => {
      const received = await send(cut, version);
      const sent = readResponse(cut.bytes, cut.end);
      const isWhole = sent?.isComplete === true &&
        (response !== STREAM || sent.body.toString() === whole);
      const fault = findFault(received, sent, isWhole) ??
        (isWhole && received?.status !== 200 && !mayBeBroken(way)
          ? "is not passed on"
          : undefined);
      if (fault !== undefined) faults.push(`${cut.name}: ${fault}`);
    });
    expect(faults).toEqual([]);
  }

  it.each(["closed", "reset"] as const)(
    "gets no more of a stream than there is (%s)",
    (way) => doTest(STREAM, way),
  );

  it.each(["closed", "reset"] as const)(
    "gets no more of a body than there is (%s)",
    (way) => doTest(BODY, way),
  );

  it("of HTTP/1.0 sees that a stream breaks off", () =>
    doTest(STREAM, "closed", "1.0"));
});

/** Finds what a caller may not get; undefined if there is nothing. */
function findFault(
  received: ReceivedResponse | undefined,
  sent: ReceivedResponse | undefined,
  isWhole: boolean,
): string | undefined {
  if (received === undefined || received.status !== 200) return undefined;
  const text = received.body.toString();
  const error = ERROR_EVENT.exec(text);
  const part = error === null ? text : text.slice(0, error.index) + error[1];
  if (sent === undefined || !sent.body.toString().startsWith(part)) {
    return `other text: ${text}`;
  }
  if (error !== null && isWhole) return `an error at its end: ${text}`;
  if (received.isComplete && !isWhole) return `looks complete: ${text}`;
  return undefined;
}
