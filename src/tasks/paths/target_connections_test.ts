import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Client } from "undici";
import { BlockedListener } from "../../../tests/support/blocked_listener.ts";
import { TargetConnections } from "./target_connections.ts";
import { TargetPaths } from "./target_paths.ts";

const PAUSE_MS = 100;
/** More than the buffers of the kernel and of the HTTP client hold. */
const MUCH = "x".repeat(16_777_216);
const OPTIONS = {
  paths: new TargetPaths({ connectTimeoutMs: 500 }),
  idleTimeoutMs: 1_000,
};
const ONE = { maxConnections: 1 };

describe("a response that ends with its connection", () => {
  let server: Server;
  let sent: Socket;
  let body = "";

  beforeEach(async () => {
    server = createServer((socket) => {
      sent = socket.on("error", () => {});
      socket.once("data", () => socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  afterEach(() => {
    sent.destroy();
    server.close();
  });

  function getAddress(): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Reads a response that the target ends in a way once its head is read. */
  async function doTest(
    client: Pick<Client, "request">,
    end: () => void,
    pauseMs = 0,
  ): Promise<"whole" | "broken"> {
    const response = await client.request({
      origin: `http://${getAddress()}`,
      method: "GET",
      path: "/",
    } as never);
    await sleep(pauseMs);
    setTimeout(end, PAUSE_MS);
    await sleep(pauseMs);
    try {
      await response.body.arrayBuffer();
      return "whole";
    } catch {
      return "broken";
    }
  }

  const reset = () => sent.resetAndDestroy();
  const createClient = () =>
    new TargetConnections(OPTIONS).acquire(getAddress(), ONE).client;

  it("is broken if the target resets it", async () => {
    body = "part";
    expect(await doTest(createClient(), reset)).toBe("broken");
  });

  it("is broken if the target resets it while its reading is paused", async () => {
    body = MUCH;
    expect(await doTest(createClient(), reset, 2 * PAUSE_MS)).toBe("broken");
  });

  it("is complete if the target closes it", async () => {
    body = "all";
    expect(await doTest(createClient(), () => sent.end())).toBe("whole");
  });

  it("is broken if it is cancelled while its reading is paused", async () => {
    body = MUCH;
    const connections = new TargetConnections(OPTIONS);
    const connection = connections.acquire(getAddress(), ONE);
    const abort = new AbortController();
    connection.resetOnAbort(abort.signal);
    const cancel = () => abort.abort();
    expect(await doTest(connection.client, cancel, 2 * PAUSE_MS)).toBe(
      "broken",
    );
  });
});

describe("a connection attempt without an answer", () => {
  const TIMEOUT_MS = 400;
  /** Timers of one process fire in the order in which they are due. */
  const LATER_MS = 2 * TIMEOUT_MS;

  it("ends at its timeout", async () => {
    const listener = await BlockedListener.start();
    const connections = new TargetConnections({
      paths: new TargetPaths({ connectTimeoutMs: TIMEOUT_MS }),
      idleTimeoutMs: TIMEOUT_MS,
    });
    const attempt = connections.acquire(listener.address, ONE).client
      .request({ method: "GET", path: "/" })
      .then(() => "answered", (err) => err.code);
    const later = sleep(LATER_MS).then(() => "later");
    expect(await Promise.race([attempt, later]))
      .toBe("UND_ERR_CONNECT_TIMEOUT");
    await listener.stop();
  });
});
