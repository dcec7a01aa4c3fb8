import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { drainListener, listenOn } from "./http_listener.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
const DRAIN_TIMEOUT_MS = 5_000;
const ANSWER_DELAY_MS = 60;
const SEND_DELAY_MS = 40;
const SHORT_TIMEOUT_MS = 200;
const WAITING_CONNECTIONS = 20;

describe(drainListener.name, () => {
  let server: Server;

  beforeEach(async () => {
    server = createServer((_req, res) =>
      void setTimeout(() => res.end("whole"), ANSWER_DELAY_MS)
    );
    await listenOn(server, { host: "127.0.0.1", port: 0 });
  });

  afterEach(() => server.closeAllConnections());

  async function openConnection(): Promise<Socket> {
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    await new Promise((resolve) => socket.once("connect", resolve));
    return socket;
  }

  function readAll(socket: Socket): Promise<string> {
    return new Promise((resolve, reject) => {
      let text = "";
      socket.on("data", (chunk) => text += chunk);
      socket.on("error", reject);
      socket.on("close", () => resolve(text));
    });
  }

  async function doTest(send: (socket: Socket) => Promise<unknown>) {
    const socket = await openConnection();
    const received = readAll(socket);
    const sent = send(socket);
    const drained = drainListener(server, DRAIN_TIMEOUT_MS);
    await sent;
    expect(await received).toMatch(/^HTTP\/1\.1 200 [^]*whole$/);
    expect(await drained).toBe(true);
  }

  it("answers a request in progress", () =>
    doTest((socket) => {
      socket.write(REQUEST);
      return sleep(0);
    }));

  it("answers a connection that sends its request after the stop", () =>
    doTest(async (socket) => {
      await sleep(SEND_DELAY_MS);
      socket.write(REQUEST);
    }));

  it("answers a request whose rest arrives after the stop", () =>
    doTest(async (socket) => {
      socket.write(REQUEST.slice(0, 20));
      await sleep(SEND_DELAY_MS);
      socket.write(REQUEST.slice(20));
    }));

  it("answers connections that wait for acceptance", async () => {
    const { port } = server.address() as AddressInfo;
    const sockets = Array.from(
      { length: WAITING_CONNECTIONS },
      () => connect(port, "127.0.0.1"),
    );
    const received = Promise.all(sockets.map(readAll));
    for (const socket of sockets) socket.write(REQUEST);
    expect(await drainListener(server, DRAIN_TIMEOUT_MS)).toBe(true);
    for (const text of await received) {
      expect(text).toMatch(/^HTTP\/1\.1 200 [^]*whole$/);
    }
  });

  it("gives up on a connection that stays silent", async () => {
    await openConnection();
    expect(await drainListener(server, SHORT_TIMEOUT_MS)).toBe(false);
  });
});
