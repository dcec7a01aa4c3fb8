import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { EventFields } from "../logging/mod.ts";
import { Listener, ListenError } from "./listener.ts";

const HOST = "127.0.0.1";
/** Documentation address, which no interface has. */
const ABSENT_HOST = "192.0.2.1";
const SOME_ATTEMPTS_MS = 250;

describe(Listener.name, () => {
  let holder: Server;
  let server: Server;
  let events: [name: string, fields: EventFields | undefined][];
  const namesOf = () => events.map(([name]) => name);

  beforeEach(async () => {
    events = [];
    server = createServer((_req, res) => res.end());
    holder = createServer();
    await new Promise<void>((resolve) => holder.listen(0, HOST, resolve));
  });

  afterEach(() => {
    for (const each of [server, holder]) each.close();
  });

  function listenerAt(host: string, port: number): Listener {
    const logger = {
      event: (name: string, fields?: EventFields) => {
        events.push([name, fields]);
      },
    };
    return new Listener({
      server,
      address: { host, port },
      use: "callers",
      logger: logger as never,
    });
  }

  const heldPort = () => (holder.address() as AddressInfo).port;

  async function wait(ms: number): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, ms));
  }

  async function expectConnection(port: number): Promise<void> {
    const socket = connect(port, HOST);
    await new Promise((resolve, reject) => {
      socket.once("connect", resolve).once("error", reject);
    });
    socket.destroy();
  }

  it("listens without a line if the address is free", async () => {
    await listenerAt(HOST, 0).open();
    await expectConnection((server.address() as AddressInfo).port);
    expect(events).toEqual([]);
  });

  it("waits for a port that another process holds", async () => {
    const port = heldPort();
    const opened = listenerAt(HOST, port).open();
    await wait(SOME_ATTEMPTS_MS);
    expect(namesOf()).toEqual(["listenerWaits"]);
    expect(events[0][1])
      .toMatchObject({ use: "callers", address: `${HOST}:${port}` });
    holder.close();
    await opened;
    await expectConnection(port);
    expect(namesOf()).toEqual(["listenerWaits", "listenerOpened"]);
    expect(server.listenerCount("listening")).toBeLessThanOrEqual(1);
  });

  it("waits for an address that comes up later than the process", async () => {
    const listener = listenerAt(ABSENT_HOST, heldPort());
    const opened = listener.open();
    await wait(SOME_ATTEMPTS_MS);
    expect(namesOf()).toEqual(["listenerWaits"]);
    listener.stop();
    await expect(opened).rejects.toThrow("aborted");
  });

  it("does not open after it was stopped", async () => {
    const listener = listenerAt(HOST, heldPort());
    const opened = listener.open();
    await wait(0);
    listener.stop();
    holder.close();
    await expect(opened).rejects.toThrow("aborted");
    expect(listener.isStopped).toBe(true);
    expect(server.listening).toBe(false);
  });

  it("gives up an address that no wait makes valid", async () => {
    await expect(listenerAt(HOST, 65_536).open()).rejects.toThrow(ListenError);
    expect(events).toEqual([]);
  });

  it("keeps a listener whose connections cannot be accepted", async () => {
    await listenerAt(HOST, 0).open();
    for (let i = 0; i < 3; i += 1) {
      server.emit("error", new Error("accept EMFILE"));
    }
    expect(namesOf()).toEqual(["listenerFailed"]);
    await expectConnection((server.address() as AddressInfo).port);
  });
});
