import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  it,
  vi,
} from "vitest";
import { FaultProxy, LinkState } from "../../../soak/fleet/fault_proxy.ts";
import { BlockedListener } from "../../../tests/support/blocked_listener.ts";
import { LoopbackNet } from "../../../tests/support/loopback_net.ts";
import { RefusalReason, Verdict } from "../../core/verdict/mod.ts";
import { RefusalError } from "../../core/verdict/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { BulkLinks } from "./bulk_links.ts";
import { dialPeer, PeerPath } from "./peer_dialer.ts";
import { PeerHub } from "./peer_hub.ts";
import { LinkMemory } from "./link_memory.ts";
import { PeerLink } from "./peer_link.ts";

/** Ports above this one are used; below the range of ephemeral ports. */
const FIRST_PORT = 20_000;
/** Fourth number of the address on which the hubs listen. */
const HOST_NUMBER = 2;
/** Size of a message that is not compressed, and waits in the send buffer. */
const UNCOMPRESSED_BYTES = 5_000_000;

describe(PeerHub.name, () => {
  const stops: (() => void)[] = [];
  let net: LoopbackNet;
  let host: string;
  let portsUsed = 0;
  beforeAll(async () => {
    net = await LoopbackNet.claim();
    host = net.addressOf(HOST_NUMBER);
  });
  afterAll(() => net.release());
  afterEach(() => stops.splice(0).forEach((stop) => stop()));

  /** Gets a port that nothing outside the test listens on. */
  function nextPort(): number {
    portsUsed += 1;
    return FIRST_PORT + portsUsed;
  }

  /** Starts a hub that finds the other instances by the given ports. */
  async function start(
    id: string,
    port: number,
    others: Readonly<Record<string, number>>,
    takesBulk?: boolean,
  ): Promise<PeerHub> {
    const hub = new PeerHub({
      settings: {
        id,
        dataCentre: "a",
        peers: [],
        peerListen: { host, port },
        tls: {},
      },
      findPeer: (other) => ({
        id: other,
        dataCentre: "a",
        address: { host, port: others[other] },
        control: false,
      }),
      logger: new Logger({ instance: id, level: "error" }),
      metrics: new Metrics({ tags: {} }),
      presence: () => ({
        ledger: id,
        incarnation: id,
        isDraining: false,
        takesBulk,
      }),
      presenceRecipients: () => undefined,
    });
    stops.push(() => hub.stop());
    await hub.start();
    return hub;
  }

  async function doTest(
    handler: (params: unknown) => unknown,
    expected: unknown,
  ) {
    const [a, b, unusedPort] = [nextPort(), nextPort(), nextPort()];
    const requester = await start("a", a, { b });
    const responder = await start("b", b, { a: unusedPort });
    responder.handle("echo", handler);
    const options = { params: { n: 1 }, timeoutMs: 2_000 };
    const answer = await requester.request("b", "echo", options)
      .catch((err: RefusalError) => [err.reason, err.verdict]);
    expect(answer).toEqual(expected);
  }

  it("replies although it cannot dial the requesting instance", () =>
    doTest((params) => params, { n: 1 }));

  it("forwards refusals with their verdicts", () =>
    doTest(() => {
      throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun);
    }, [RefusalReason.NotFound, Verdict.NotRun]));

  it("sends on a link that the other instance has dialled", async () => {
    const [a, b, unusedPort] = [nextPort(), nextPort(), nextPort()];
    const dialler = await start("a", a, { b });
    const other = await start("b", b, { a: unusedPort });
    dialler.keepLink("b").handle("echo", (params) => params);
    const notices: unknown[] = [];
    dialler.on("notice", (from, notice) => notices.push([from, notice]));
    await vi.waitFor(() => expect(other.isLinked("a")).toBe(true), 5_000);
    await vi.waitFor(() => expect(dialler.isPresent("b")).toBe(true), 5_000);
    const options = { params: { n: 1 }, timeoutMs: 2_000 };
    expect(await other.request("a", "echo", options)).toEqual({ n: 1 });
    const body = { type: "roster", members: [], retiring: [] } as const;
    expect(other.send("a", { channel: "notice", body })).toBe(true);
    await vi.waitFor(() => expect(notices).toEqual([["b", body]]), 5_000);
  });

  it("closes only the redundant one of two links", async () => {
    const [a, b] = [nextPort(), nextPort()];
    const first = await start("a", a, { b });
    const second = await start("b", b, { a });
    second.dropRedundantLink("a");
    first.keepLink("b");
    second.keepLink("a");
    await vi.waitFor(() => expect(second.isLinked("a")).toBe(true), 5_000);
    await vi.waitFor(() => expect(first.isLinked("b")).toBe(true), 5_000);
    second.dropRedundantLink("a");
    expect(second.isLinked("a")).toBe(true);
    first.handle("echo", (params) => params);
    const options = { params: 1, timeoutMs: 2_000 };
    expect(await second.request("a", "echo", options)).toBe(1);
  });

  // Guards against messages that are lost with a link that is replaced.
  it("delivers what was sent on a redundant link before it is closed", async () => {
    const [a, b] = [nextPort(), nextPort()];
    const first = await start("a", a, { b });
    const second = await start("b", b, { a });
    const received: unknown[] = [];
    first.on("notice", (_, notice) => received.push(notice));
    const events = vi.spyOn(Logger.prototype, "event");
    stops.push(() => events.mockRestore());
    first.keepLink("b");
    await vi.waitFor(() => expect(second.isLinked("a")).toBe(true), 5_000);
    second.keepLink("a");
    await vi.waitFor(
      () => expect(events).toHaveBeenCalledWith("peerUp", { peer: "a" }),
      5_000,
    );
    const text = "x".repeat(UNCOMPRESSED_BYTES);
    const body = { type: "roster", members: [], retiring: [text] } as const;
    const sent = Array.from(
      { length: 5 },
      () => second.send("a", { channel: "notice", body }),
    );
    second.dropRedundantLink("a");
    expect(sent).toEqual(Array(5).fill(true));
    await vi.waitFor(() => expect(received).toHaveLength(5), 5_000);
    await vi.waitFor(
      () => expect(events).toHaveBeenCalledWith("peerDown", { peer: "a" }),
      5_000,
    );
    expect(second.isLinked("a")).toBe(true);
  });

  async function doTestBulk(takesBulk: boolean, expectedSends: number) {
    const [a, b] = [nextPort(), nextPort()];
    const sender = await start("a", a, { b });
    const receiver = await start("b", b, { a }, takesBulk);
    const received: unknown[] = [];
    receiver.on("notice", (_, notice) => received.push(notice));
    sender.keepLink("b");
    await vi.waitFor(() => expect(sender.isPresent("b")).toBe(true), 5_000);
    const body = { type: "roster", members: [], retiring: [] } as const;
    const sent = vi.spyOn(BulkLinks.prototype, "send");
    stops.push(() => sent.mockRestore());
    for (let i = 0; i < 20; i += 1) {
      sender.sendBulk("b", { channel: "notice", body });
    }
    await vi.waitFor(() => expect(received).toHaveLength(20), 5_000);
    expect(sent.mock.calls.length).toBe(expectedSends);
    expect(sender.isLinked("b")).toBe(true);
  }

  it("sends large messages beside the link", () => doTestBulk(true, 20));

  it("sends them on the link to an instance that takes no others", () =>
    doTestBulk(false, 0));

  it("reports not run if the other instance is unreachable", async () => {
    const [a, b] = [nextPort(), nextPort()];
    const requester = await start("a", a, { b });
    const options = { params: {}, timeoutMs: 300 };
    await expect(requester.request("b", "echo", options))
      .rejects.toMatchObject({ verdict: Verdict.NotRun });
  });

  it("closes an accepted link that has become silent", async () => {
    const b = nextPort();
    const other = await start("b", b, {});
    const address = { host, port: b };
    const silent = new PeerLink({
      self: "a",
      peer: { id: "b", dataCentre: "a", address, control: false },
      secret: "",
      security: () => undefined,
      memory: new LinkMemory({
        metrics: new Metrics({ tags: {} }),
        onOverrun: () => {},
      }),
      onChange: () => {},
      onSent: () => {},
      onReceived: () => {},
      onMessage: () => {},
    });
    stops.push(() => silent.stop());
    await vi.waitFor(() => expect(other.isLinked("a")).toBe(true), 5_000);
    await vi.waitFor(() => expect(silent.isUp).toBe(false), 5_000);
  });

  it("closes a dialled link that has become silent and redials", async () => {
    const [a, b, proxyPort] = [
      nextPort(),
      nextPort(),
      nextPort(),
    ];
    const proxy = await new FaultProxy({
      host,
      port: proxyPort,
      targetPort: b,
    }).start();
    stops.push(() => proxy.stop());
    const requester = await start("a", a, { b: proxyPort });
    const responder = await start("b", b, { a });
    responder.handle("echo", (params) => params);
    const sendRequest = () =>
      requester.request("b", "echo", { params: 1, timeoutMs: 1_000 });
    expect(await sendRequest()).toBe(1);
    proxy.setState(LinkState.Silent);
    await expect(sendRequest()).rejects.toMatchObject({
      verdict: Verdict.MayHaveRun,
    });
    while (requester.isLinked("b")) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    proxy.reset();
    proxy.setState(LinkState.Clear);
    while (!requester.isLinked("b")) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    expect(await sendRequest()).toBe(1);
  });
});

describe(dialPeer.name, () => {
  /** Longer than a handshake may take. */
  const LATER_MS = 3_000;

  it("gives up an attempt that is not answered", async () => {
    const listener = await BlockedListener.start();
    const [host, port] = listener.address.split(":");
    const { socket } = dialPeer({
      self: "a",
      peer: {
        id: "b",
        dataCentre: "a",
        address: { host, port: Number(port) },
        control: false,
      },
      secret: "",
      security: () => undefined,
      path: PeerPath.Link,
      onAuthenticated: () => {},
    });
    const ended = await Promise.race([
      new Promise((resolve) => socket.once("close", () => resolve("closed"))),
      new Promise((resolve) => setTimeout(() => resolve("later"), LATER_MS)),
    ]);
    expect(ended).toBe("closed");
    await listener.stop();
  });
});
