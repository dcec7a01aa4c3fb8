/** The whole path over real processes. */
import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  Deployment,
  keyOf,
  OPERATOR_TOKEN,
  type StartedInstance,
} from "./support/deployment.ts";
import { FakeTrainer } from "../fakes/trainer.ts";
import { FakeEngine } from "../fakes/engine.ts";

/** Parts of the answers that the tests look at. */
interface AnswerBody {
  readonly error: {
    readonly code: string;
    readonly verdict: string;
    readonly message: string;
  };
  readonly choices: { readonly message: { readonly content: string } }[];
  readonly key: string;
  readonly answer: string;
}

async function bodyOf(res: Response): Promise<AnswerBody> {
  return await res.json() as AnswerBody;
}

const CHAT = {
  model: "planner",
  messages: [{ role: "user", content: "Who feeds the elephants" }],
};

describe("one instance", () => {
  const deployment = new Deployment();
  let instance: StartedInstance;
  let engine: FakeEngine;

  beforeAll(async () => {
    instance = await deployment.startInstance({
      http: { maxBodyBytes: 20_000 },
      logLevel: "debug",
    });
    engine = new FakeEngine({
      id: "e1",
      pools: ["planner", "dispatch", "opening"],
      zone: "nl-1a",
      weightVersion: 7,
      announceTo: [instance.url],
    });
    await engine.start();
  });

  afterAll(async () => {
    engine.stop();
    await deployment.stop();
  });

  function ask(path: string, options: {
    body?: unknown;
    key?: string;
    method?: string;
    headers?: Record<string, string>;
  }) {
    const headers: Record<string, string> = { ...options.headers };
    if (options.key !== undefined) {
      headers.authorization = `Bearer ${options.key}`;
    }
    const body = typeof options.body === "string"
      ? options.body
      : JSON.stringify(options.body);
    return fetch(instance.url + path, {
      method: options.method ?? "POST",
      headers,
      body,
    });
  }

  async function doRefusalTest(
    options: Parameters<typeof ask>[1],
    expected: { status: number; code: string; path?: string },
  ) {
    const res = await ask(expected.path ?? "/v1/chat/completions", options);
    const { error } = await bodyOf(res);
    expect(res.status).toBe(expected.status);
    expect(error.code).toBe(expected.code);
    expect(error.verdict).toBe("notRun");
    expect(res.headers.get("x-nutmegreel-verdict")).toBe("notRun");
  }

  /** Waits until the engine runs nothing: what runs then is the test's own. */
  async function untilEngineIdle(): Promise<void> {
    while (engine.running > 0) await new Promise((r) => setTimeout(r, 5));
  }

  it("answers a whole request", async () => {
    const res = await ask("/v1/chat/completions", {
      body: CHAT,
      key: keyOf("artis"),
    });
    const body = await bodyOf(res);
    expect(res.status).toBe(200);
    expect(body.choices[0].message.content).toContain("t15");
  });

  it("streams an answer to its stated end", async () => {
    const res = await ask("/v1/chat/completions", {
      body: { ...CHAT, stream: true },
      key: keyOf("artis"),
    });
    const text = await res.text();
    expect(res.headers.get("content-type")).toBe("text/event-stream");
    expect(text.trimEnd().endsWith("data: [DONE]")).toBe(true);
  });

  it("shows no caller's key to a target", () => {
    expect(engine.seenAuthorization.length).toBeGreaterThan(0);
    expect(new Set(engine.seenAuthorization)).toEqual(new Set([""]));
  });

  it("refuses a request without a key", () =>
    doRefusalTest({ body: CHAT }, { status: 401, code: "keyMissing" }));

  it("refuses a wrong key", () =>
    doRefusalTest(
      { body: CHAT, key: keyOf("artis") + "x" },
      { status: 401, code: "keyUnknown" },
    ));

  it("refuses another workspace's route", () =>
    doRefusalTest(
      { body: { ...CHAT, model: "private" }, key: keyOf("artis") },
      { status: 403, code: "workspaceNotOnRoute" },
    ));

  it("refuses a malformed body", () =>
    doRefusalTest(
      { body: "{", key: keyOf("artis") },
      { status: 400, code: "malformedRequest" },
    ));

  it("refuses a body that is too large", () =>
    doRefusalTest(
      { body: "x".repeat(30_000), key: keyOf("artis") },
      { status: 413, code: "bodyTooLarge" },
    ));

  it("refuses a key that stands in the body", () =>
    doRefusalTest(
      { body: { ...CHAT, user: keyOf("artis") }, key: keyOf("artis") },
      { status: 400, code: "malformedRequest" },
    ));

  it("refuses a step with every fault named", async () => {
    const res = await ask("/v1/steps", {
      body: { id: "a b", route: "planner", groups: [] },
      key: keyOf("artis"),
    });
    const { error } = await bodyOf(res);
    expect(error.message).toMatch(/id: .*groups: /);
    expect(error.verdict).toBe("notRun");
  });

  it("refuses operators without their token", () =>
    doRefusalTest(
      { method: "GET" },
      { status: 401, code: "operatorTokenInvalid", path: "/operator/status" },
    ));

  it("answers a broken request line and a truncated body", async () => {
    const answers = await Promise.all(
      ["GARBAGE\r\n\r\n", "POST /v1/steps HTTP/1.1\r\nbad header\r\n\r\n"]
        .map((text) => rawRequest(instance.url, text)),
    );
    for (const answer of answers) {
      expect(answer).toContain("400 Bad Request");
      expect(answer).toContain('"verdict":"notRun"');
    }
  });

  it("delivers a step once, with the reported versions", async () => {
    const trainer = new FakeTrainer({
      entries: [instance.url],
      key: keyOf("artis"),
    });
    await trainer.announce("planner", 7);
    const samples = await trainer.run({
      id: "s1",
      route: "planner",
      groups: [
        { id: "a", samples: 5, body: { messages: CHAT.messages } },
        { id: "b", samples: 3, body: { messages: CHAT.messages } },
      ],
    });
    expect(trainer.count).toEqual({
      expected: 8,
      delivered: 8,
      duplicates: 0,
      lost: 0,
      unversioned: 0,
      stale: 0,
    });
    expect(new Set(samples.flatMap((s) => s.versions))).toEqual(new Set([7]));
  });

  it("keeps a step from another workspace", () =>
    doRefusalTest(
      { method: "GET", key: keyOf("blijdorp") },
      { status: 404, code: "notFound", path: "/v1/steps/s1/samples" },
    ));

  it("runs a call under an idempotency key once", async () => {
    const before = engine.served;
    const headers = { "idempotency-key": "call-1" };
    const options = { body: CHAT, key: keyOf("artis"), headers };
    const answers = await Promise.all(
      [1, 2, 3].map(() => ask("/v1/chat/completions", options)),
    );
    const statuses = answers.map((res) => res.status).sort();
    expect(statuses).toEqual([200, 409, 409]);
    const first = answers.find((res) => res.status === 200);
    const again = await ask("/v1/chat/completions", options);
    expect(await again.text()).toBe(await first?.text());
    expect(engine.served).toBe(before + 1);
    const other = await ask("/v1/chat/completions", {
      ...options,
      body: { ...CHAT, max_tokens: 3 },
    });
    expect(other.status).toBe(422);
  });

  it("ends a connected caller whose key is withdrawn", async () => {
    const created = await ask("/operator/keys", {
      key: OPERATOR_TOKEN,
      body: { id: "artis-2", workspace: "artis" },
    });
    const { key } = await bodyOf(created);
    await untilEngineIdle();
    const running = ask("/v1/chat/completions", {
      body: { ...CHAT, stream: true, max_tokens: 10_000 },
      key,
    }).then((res) => res.text());
    const settled = running.catch(() => "broken");
    while (engine.running === 0) await new Promise((r) => setTimeout(r, 5));
    const res = await ask("/operator/keys/artis-2", {
      key: OPERATOR_TOKEN,
      method: "DELETE",
    });
    expect((await bodyOf(res)).answer).toBe("accepted");
    expect(await settled).not.toContain("[DONE]");
    const refused = await ask("/v1/chat/completions", { body: CHAT, key });
    expect((await bodyOf(refused)).error.code).toBe("keyWithdrawn");
  });

  it("writes no key and no prompt to its log", () => {
    const log = instance.lines.join("\n");
    expect(log).not.toContain(keyOf("artis").split(".")[2]);
    expect(log).not.toContain("elephants");
  });

  it("answers what it has begun before it stops", async () => {
    await untilEngineIdle();
    const running = ask("/v1/chat/completions", {
      body: { ...CHAT, stream: true, max_tokens: 100 },
      key: keyOf("artis"),
    });
    while (engine.running === 0) await new Promise((r) => setTimeout(r, 5));
    instance.child.kill("SIGTERM");
    const text = await (await running).text();
    expect(text.trimEnd().endsWith("data: [DONE]")).toBe(true);
    expect(await instance.ended()).toBe(0);
  });
});

describe("serve", () => {
  it("names every fault of its settings and does not start", async () => {
    const deployment = new Deployment();
    await expect(
      deployment.startInstance({
        listen: { host: "localhost", port: -1 },
        surplus: 1,
      }),
    ).rejects.toThrow();
    await deployment.stop();
  });
});

function rawRequest(url: string, text: string): Promise<string> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve, reject) => {
    let answer = "";
    const socket = connect(Number(port), hostname, () => socket.write(text));
    socket.on("data", (part) => answer += part);
    socket.on("close", () => resolve(answer));
    socket.on("error", reject);
  });
}
