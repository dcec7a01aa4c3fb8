/** Requests that come late in the grace of a planned stop. */
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { type FleetMachine, sleep } from "./support/fleet_deployment.ts";
import { FLEET_KEY, FleetFixture } from "./support/fleet_fixture.ts";
import { FLEET_NAMES } from "./support/fleet_policy.ts";

const { host, apps, plain, once } = FLEET_NAMES;
const CALLERS_PORT = 17_001;
/** Time from the signal until a late request, in milliseconds. */
const LATE_MS = 6_500;
const TIMEOUT_MS = 20_000;

describe("an entry instance that is stopped", () => {
  let fixture: FleetFixture;
  let entry: FleetMachine;
  let target: FleetReplica;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    fixture = await FleetFixture
      .start({ controls: 3, ledgers: 3, entries: 2 });
    [entry] = fixture.fleet.machinesWithRole(FleetRole.Entry);
  }, 60_000);

  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    await fixture.stop();
  });

  async function startTarget(workMs: number): Promise<void> {
    target = fixture.createTarget({ service: apps, workMs });
    await target.start();
    await sleep(1_000);
  }

  /** Opens a connection, and begins a request by its first bytes. */
  function beginRequest(path: string, id: string) {
    const socket = connect(CALLERS_PORT, entry.id);
    sockets.push(socket);
    let response = "";
    let isClosed = false;
    socket.on("data", (chunk) => response += chunk);
    socket.on("close", () => isClosed = true);
    socket.on("error", () => {});
    const lines = [
      `POST ${path}${id} HTTP/1.1`,
      `Host: ${host}`,
      `Authorization: Bearer ${FLEET_KEY}`,
      `Request-Id: ${id}`,
      "Deadline-Ms: 3000",
      "Content-Length: 0",
    ];
    socket.write(lines.join("\r\n"));
    return {
      send: () => socket.write("\r\n\r\n"),
      untilClosed: async () => {
        await vi.waitUntil(() => isClosed, { timeout: TIMEOUT_MS });
        return response;
      },
    };
  }

  async function doTest(
    path: string,
    { workMs, delayMs }: { workMs: number; delayMs: number },
  ) {
    await startTarget(workMs);
    const request = beginRequest(path, "late");
    await sleep(200);
    fixture.fleet.signal(entry, "SIGTERM");
    await sleep(delayMs);
    request.send();
    const response = await request.untilClosed();
    const runs = target.runs.filter(({ request: id }) => id === "late").length;
    return { status: Number(/^HTTP\/1.1 (\d+)/.exec(response)?.[1]), runs };
  }

  // Guards against requests that are passed on and cut by the end of the grace.
  it(
    "refuses a late request that may not be repeated, and does not run it",
    async () => {
      const options = { workMs: 2_500, delayMs: LATE_MS };
      expect(await doTest(once, options)).toEqual({ status: 503, runs: 0 });
    },
    60_000,
  );

  it("answers a late request that it passes on before it ends", async () => {
    const options = { workMs: 2_500, delayMs: LATE_MS };
    expect(await doTest(plain, options)).toEqual({ status: 504, runs: 1 });
  }, 60_000);

  it("serves a late request that ends in time", async () => {
    const options = { workMs: 50, delayMs: LATE_MS - 2_500 };
    expect(await doTest(once, options)).toEqual({ status: 200, runs: 1 });
  }, 60_000);

  // Guards against a second signal that ends the process without its drain.
  it("serves on after a second signal", async () => {
    await startTarget(1_000);
    const request = beginRequest(once, "late");
    request.send();
    await vi.waitUntil(() => target.runs.length > 0, { timeout: TIMEOUT_MS });
    fixture.fleet.signal(entry, "SIGTERM");
    await sleep(100);
    fixture.fleet.signal(entry, "SIGTERM");
    expect(await request.untilClosed()).toMatch(/^HTTP\/1.1 200/);
  }, 60_000);
});
