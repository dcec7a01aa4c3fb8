/** Callers that stop in the middle of a request. */
import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  Deployment,
  keyOf,
  type StartedInstance,
} from "./support/deployment.ts";

describe("slow callers", () => {
  const deployment = new Deployment();
  let instance: StartedInstance;
  beforeAll(async () => {
    instance = await deployment.startInstance({
      http: { headersTimeoutMs: 400, bodyTimeoutMs: 400 },
    });
  });
  afterAll(() => deployment.stop());

  /** Sends a part of a request and waits until the instance hangs up. */
  function partial(text: string): Promise<string> {
    const { hostname, port } = new URL(instance.url);
    return new Promise((resolve, reject) => {
      let answer = "";
      const socket = connect(Number(port), hostname, () => socket.write(text));
      socket.on("data", (part) => answer += part);
      socket.on("close", () => resolve(answer));
      socket.on("error", reject);
    });
  }

  it("are cut off in the middle of their headers", async () => {
    const answer = await partial("POST /v1/steps HTTP/1.1\r\nhost: x\r\n");
    expect(answer).toContain('"verdict":"notRun"');
  });

  it("are refused in the middle of their body", async () => {
    const answer = await partial([
      "POST /v1/chat/completions HTTP/1.1",
      "host: x",
      `authorization: Bearer ${keyOf("artis")}`,
      "content-length: 100",
      "",
      '{"model":',
    ].join("\r\n"));
    expect(answer).toContain("bodyTruncated");
    expect(answer).toContain('"verdict":"notRun"');
  });

  it("do not keep others from being served", async () => {
    const res = await fetch(`${instance.url}/health`);
    expect(await res.json()).toMatchObject({ status: "serving" });
  });
});
