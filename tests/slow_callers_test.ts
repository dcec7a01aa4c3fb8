/** Callers that stop sending in the middle of a request. */
import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  Deployment,
  keyOf,
  type StartedInstance,
} from "./support/deployment.ts";

describe("incomplete requests", () => {
  const deployment = new Deployment();
  let instance: StartedInstance;
  beforeAll(async () => {
    instance = await deployment.startInstance({
      http: { headersTimeoutMs: 400, bodyTimeoutMs: 400 },
    });
  });
  afterAll(() => deployment.stop());

  /** Sends part of a request and reads until the instance disconnects. */
  function sendPartialRequest(text: string): Promise<string> {
    const { hostname, port } = new URL(instance.url);
    return new Promise((resolve, reject) => {
      let response = "";
      const socket = connect(Number(port), hostname, () => socket.write(text));
      socket.on("data", (part) => response += part);
      socket.on("close", () => resolve(response));
      socket.on("error", reject);
    });
  }

  it("are refused when the headers time out", async () => {
    const response = await sendPartialRequest(
      "POST /v1/steps HTTP/1.1\r\nhost: x\r\n",
    );
    expect(response).toContain('"verdict":"notRun"');
  });

  it("are refused when the body times out", async () => {
    const response = await sendPartialRequest([
      "POST /v1/chat/completions HTTP/1.1",
      "host: x",
      `authorization: Bearer ${keyOf("artis")}`,
      "content-length: 100",
      "",
      '{"model":',
    ].join("\r\n"));
    expect(response).toContain("bodyTruncated");
    expect(response).toContain('"verdict":"notRun"');
  });

  it("do not block other callers", async () => {
    const res = await fetch(`${instance.url}/health`);
    expect(await res.json()).toMatchObject({ status: "serving" });
  });
});
