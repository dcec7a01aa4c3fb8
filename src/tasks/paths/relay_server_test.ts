import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CutKind } from "../../../tests/support/cut_links.ts";
import { LoopbackNet } from "../../../tests/support/loopback_net.ts";
import {
  type CountingTarget,
  type RelayingInstance,
  startInstances,
  startTarget,
  stopInstance,
  stopTarget,
  type TargetHandler,
} from "../../../tests/support/relaying_instances.ts";
import { Path } from "../../core/paths/mod.ts";
import { RelayServer } from "./relay_server.ts";
import { TargetConnections } from "./target_connections.ts";

const TIMEOUT_MS = 5_000;
const IDLE_TIMEOUT_MS = 60_000;
const ID_HEADER = "x-id";
/** More than the buffers of two connections hold. */
const MUCH = Buffer.alloc(33_554_432, "x");
const SUSPENDED_MS = 3_000;
/** Longer than the interval between trials of a lost path. */
const TRIAL_MS = 700;

describe(RelayServer.name, () => {
  let net: LoopbackNet;
  let target: CountingTarget;
  let instances: RelayingInstance[];
  let connections: TargetConnections;

  beforeEach(async () => {
    net = await LoopbackNet.claim();
  });

  afterEach(() => {
    for (const instance of instances) stopInstance(instance);
    stopTarget(target);
    net.release();
  });

  /** Starts instances of which the first is cut off. */
  async function start(handler: TargetHandler, count = 2): Promise<void> {
    target = await startTarget(ID_HEADER, handler);
    instances = await startInstances(net, { count, targets: [target] });
    instances[0].links.cut(CutKind.Reset);
    const { paths } = instances[0];
    connections = new TargetConnections({
      paths,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
    });
  }

  /** Sends a request; gets its body, or the code of its error. */
  async function send(
    signal: AbortSignal = AbortSignal.timeout(TIMEOUT_MS),
  ): Promise<{ body?: string; code?: string; path?: Path }> {
    const options = { maxConnections: 4, signal };
    try {
      return await connections.use(target.address, options, async (used) => {
        const { body } = await used.client
          .request({ method: "GET", path: "/", signal });
        const text = await body.text();
        used.markComplete();
        return { body: text, path: used.path };
      });
    } catch (err) {
      return { code: (err as { code?: string }).code ?? String(err) };
    }
  }

  async function doTest(
    handler: TargetHandler,
    expected: Awaited<ReturnType<typeof send>>,
    during: () => void | Promise<void> = () => {},
  ): Promise<void> {
    await start(handler);
    const sent = send();
    await during();
    expect(await sent).toEqual(expected);
  }

  const untilRunning = () =>
    vi.waitFor(() => expect(target.ran).toHaveLength(1), TIMEOUT_MS);

  it("forwards a response", () =>
    doTest((_req, res) => res.end("ok"), { body: "ok", path: Path.Relayed }));

  it("forwards a large response", () =>
    doTest((_req, res) => res.end(MUCH), {
      body: MUCH.toString(),
      path: Path.Relayed,
    }));

  it("forwards the end of a response that ends with its connection", () =>
    doTest((_req, res) => {
      res.removeHeader("transfer-encoding");
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
      res.write("all");
      res.end();
    }, { body: "all", path: Path.Relayed }));

  it("forwards a reset, which is no end of a response", () =>
    doTest(
      (_req, res) => {
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
        res.write("part");
        setTimeout(() => res.socket?.resetAndDestroy(), 50);
      },
      { code: "UND_ERR_SOCKET" },
    ));

  it("is ended if the target sends empty lines without end", () =>
    doTest(({ socket }) => {
      const sendOn = () => {
        while (!socket.destroyed && socket.write("\r\n".repeat(32_768)));
        socket.once("drain", sendOn);
      };
      sendOn();
    }, { code: "responseTooLarge" }));

  it("is no end of a response if it is lost", () =>
    doTest(
      (_req, res) => {
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
        res.write("part");
      },
      { code: "UND_ERR_SOCKET" },
      async () => {
        await untilRunning();
        stopInstance(instances[1]);
      },
    ));

  it("drops what has arrived while its process was suspended", () =>
    doTest(() => {}, { code: "UND_ERR_SOCKET" }, async () => {
      await untilRunning();
      instances[1].suspend(SUSPENDED_MS);
    }));

  it("resets the connection to the target of a cancelled request", async () => {
    await start(() => {});
    const abort = new AbortController();
    const sent = send(abort.signal);
    await untilRunning();
    const [socket] = target.sockets;
    const ended = new Promise((resolve) => {
      socket.on("error", (err: NodeJS.ErrnoException) => resolve(err.code));
      socket.on("end", () => resolve("closed"));
    });
    abort.abort();
    expect(await ended).toBe("ECONNRESET");
    expect(await sent).not.toHaveProperty("body");
  });

  it("refuses an instance that it knows no target for", async () => {
    await start((_req, res) => res.end("ok"));
    const unknown = "127.0.0.1:2";
    await expect(instances[0].paths.open(unknown)).rejects
      .toMatchObject({ code: "EHOSTUNREACH" });
  });

  it("does not forward again what it has forwarded", async () => {
    await start((_req, res) => res.end("ok"), 3);
    instances[1].links.cut(CutKind.Reset);
    instances[2].links.cut(CutKind.Reset);
    expect(await send()).toEqual({ code: "ECONNREFUSED" });
    await vi.waitFor(
      () =>
        expect(instances.map(({ relays }) => relays.size)).toEqual([0, 0, 0]),
      TIMEOUT_MS,
    );
    expect(target.ran).toEqual([]);
  });

  it("finishes requests while it drains, and takes no further ones", async () => {
    let respond = () => {};
    await start((_req, res) => {
      respond = () => res.end("ok");
    });
    const sent = send();
    await untilRunning();
    const drained = instances[1].relays.drain(TIMEOUT_MS);
    await sleep(50);
    respond();
    expect(await sent).toEqual({ body: "ok", path: Path.Relayed });
    await drained;
    expect(instances[1].relays.size).toBe(0);
    expect(await send()).toEqual({ code: "EHOSTUNREACH" });
  });

  it("closes idle connections when it drains", async () => {
    await start((_req, res) => res.end("ok"));
    expect(await send()).toMatchObject({ body: "ok" });
    expect(instances[1].relays.size).toBe(1);
    await instances[1].relays.drain(TIMEOUT_MS);
    expect(instances[1].relays.size).toBe(0);
  });

  it("is not used any more once the cut has ended", async () => {
    await start((_req, res) => res.end("ok"));
    expect(await send()).toMatchObject({ path: Path.Relayed });
    instances[0].links.heal();
    await sleep(TRIAL_MS);
    await send();
    await vi.waitFor(
      async () => expect(await send()).toMatchObject({ path: Path.Direct }),
      TIMEOUT_MS,
    );
    await vi.waitFor(
      () => expect(instances[1].relays.size).toBe(0),
      TIMEOUT_MS,
    );
  });

  it("tries a lost path once an interval, however many requests there are", async () => {
    await start((_req, res) => res.end("ok"));
    await send();
    const { dialled } = instances[0].links;
    for (let i = 0; i < 20; i += 1) await send();
    expect(instances[0].links.dialled - dialled).toBeLessThanOrEqual(1);
  });
});
