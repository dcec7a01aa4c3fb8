import { createServer, type Server } from "node:http";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { WebSocket, WebSocketServer } from "ws";
import { listen } from "../../../tests/support/target_requests.ts";
import { Metrics } from "../../metrics/mod.ts";
import { LinkMemory, MAX_MESSAGE_BYTES } from "./link_memory.ts";
import { sendEncoded } from "./peer_link.ts";

const HANDSHAKE_BYTES = 131_072;
const SENT_BYTES = 10_000_000;
const UNSENT_BYTES = 67_108_864;
const TIMEOUT_MS = 20_000;
/** Part of a message without its end. */
const PART = { fin: false, binary: true };

describe(LinkMemory.name, () => {
  let server: Server;
  let address: string;
  let memory: LinkMemory;
  let overruns: string[];
  let trusts: (() => void)[];
  let messageCount: number;
  let onFirstMessage: () => void;
  const clients: WebSocket[] = [];

  beforeEach(async () => {
    overruns = [];
    trusts = [];
    messageCount = 0;
    onFirstMessage = () => {};
    memory = new LinkMemory({
      metrics: new Metrics({ tags: {} }),
      onOverrun: (detail) => overruns.push(detail),
    });
    server = createServer();
    new WebSocketServer({ server }).on("connection", (socket, req) => {
      socket.on("error", () => {});
      socket.on("message", () => messageCount += 1);
      socket.once("message", () => onFirstMessage());
      trusts.push(memory.watch(socket, req.socket, `c${trusts.length + 1}`));
    });
    address = await listen(server);
  });

  afterEach(() => {
    for (const client of clients.splice(0)) client.terminate();
    server.closeAllConnections();
    server.close();
  });

  async function connect(isTrusted: boolean): Promise<WebSocket> {
    const client = new WebSocket(`ws://${address}`);
    clients.push(client);
    client.on("error", () => {});
    await new Promise((resolve) => client.once("open", resolve));
    await vi.waitFor(() => expect(trusts).toHaveLength(clients.length));
    if (isTrusted) trusts.at(-1)?.();
    return client;
  }

  async function untilHeld(bytes: number): Promise<void> {
    await vi.waitFor(
      () => expect(memory.heldBytes).toBeGreaterThan(bytes),
      TIMEOUT_MS,
    );
  }

  it("closes a connection that sends much before it is authenticated", async () => {
    const client = await connect(false);
    client.send(Buffer.alloc(2 * HANDSHAKE_BYTES), PART);
    await new Promise((resolve) => client.once("close", resolve));
    expect(overruns).toEqual([
      "message too large from c1; connection closed",
    ]);
    expect(memory.heldBytes).toBe(0);
  });

  it("keeps one whose messages come with the end of its handshake", async () => {
    const client = await connect(false);
    onFirstMessage = () => trusts[0]();
    client.send("proof");
    client.send(Buffer.alloc(SENT_BYTES));
    await vi.waitFor(() => expect(messageCount).toBe(2), TIMEOUT_MS);
    expect(overruns).toEqual([]);
  });

  it("counts no messages that are whole", async () => {
    const client = await connect(true);
    client.send(Buffer.alloc(SENT_BYTES), PART);
    await untilHeld(SENT_BYTES);
    client.send(Buffer.alloc(1));
    await vi.waitFor(() => expect(messageCount).toBe(1), TIMEOUT_MS);
    expect(memory.heldBytes).toBe(0);
    expect(overruns).toEqual([]);
  });

  it("closes the one with the largest part, and keeps others", async () => {
    const [small, large] = [await connect(true), await connect(true)];
    small.send(Buffer.alloc(SENT_BYTES), PART);
    await untilHeld(SENT_BYTES);
    large.send(Buffer.alloc(MAX_MESSAGE_BYTES - SENT_BYTES), PART);
    await new Promise((resolve) => large.once("close", resolve));
    expect(overruns).toEqual([
      "message without an end from c2; connection closed",
    ]);
    small.send(Buffer.alloc(1));
    await vi.waitFor(() => expect(messageCount).toBe(1), TIMEOUT_MS);
  });

  it("drops messages to those that do not read once much is unsent", () => {
    const sent: string[] = [];
    const createSocket = (name: string, bufferedAmount: number) =>
      ({
        bufferedAmount,
        send: () => sent.push(name),
      }) as unknown as WebSocket;
    const send = (socket: WebSocket, bytes: number) =>
      sendEncoded(socket, {
        encode: () => Buffer.alloc(bytes),
        onSent: () => {},
        memory,
      });
    expect(send(createSocket("large", 0), UNSENT_BYTES + 1)).toBe(true);
    expect(send(createSocket("unread", 1), 1)).toBe(false);
    expect(send(createSocket("read", 0), 1)).toBe(true);
    expect(sent).toEqual(["large", "read"]);
  });
});
