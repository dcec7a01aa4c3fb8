import { createServer, type Server } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { LoopbackNet } from "./loopback_net.ts";

const PORT = 16_500;
const CLAIM_COUNT = 20;

describe(LoopbackNet.name, () => {
  const nets: LoopbackNet[] = [];
  const servers: Server[] = [];
  afterEach(() => {
    for (const server of servers.splice(0)) server.close();
    for (const net of nets.splice(0)) net.release();
  });

  async function claim(): Promise<LoopbackNet> {
    const net = await LoopbackNet.claim();
    nets.push(net);
    return net;
  }

  it("gives each claim different addresses", async () => {
    const claims = await Promise.all(
      Array.from({ length: CLAIM_COUNT }, claim),
    );
    const hosts = claims.map((net) => net.addressOf(2));
    expect(new Set(hosts).size).toBe(CLAIM_COUNT);
  });

  it("lets two claims listen on the same port", async () => {
    for (const net of [await claim(), await claim()]) {
      const server = createServer();
      servers.push(server);
      await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(PORT, net.addressOf(2), resolve);
      });
    }
    expect(servers.map((server) => server.listening)).toEqual([true, true]);
  });
});
