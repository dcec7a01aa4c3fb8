import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LoopbackNet } from "../../../tests/support/loopback_net.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { fleetSettingsSchema } from "../../settings/mod.ts";
import { FleetNode } from "./fleet_node.ts";

/** Below the range of ephemeral ports. */
const PEER_PORT = 20_100;
const WAIT = { timeout: 20_000, interval: 5 };

describe(FleetNode.name, () => {
  let net: LoopbackNet;
  let nodes: FleetNode[];

  beforeEach(async () => {
    net = await LoopbackNet.claim();
    nodes = [];
  });
  afterEach(() => {
    vi.restoreAllMocks();
    for (const node of nodes) node.stop();
    net.release();
  });

  async function start(
    host: number,
    role: FleetRole,
    seeds: readonly string[],
  ): Promise<FleetNode> {
    const node = new FleetNode({
      settings: fleetSettingsSchema.parse({
        id: net.addressOf(host),
        name: `node-${host}`,
        dataCentre: "a",
        role,
        peerPort: PEER_PORT,
        seeds: seeds.map((seed) => `${seed}:${PEER_PORT}`),
        isFirstStart: true,
        tolerance: 0,
        listen: {},
        times: {
          revokeMs: 5_000,
          reportIntervalMs: 500,
          graceS: 8,
          usageWindowS: 5,
          usageDueS: 10,
          keepResultsS: 40,
          contactMs: 3_000,
        },
      }),
      logger: new Logger({ instance: "test", level: "error" }),
      metrics: new Metrics({ tags: {} }),
      describe: () => ({
        replica: undefined,
        leadsTerm: undefined,
        policyRevision: 0,
        targetsSeen: {},
      }),
    });
    nodes.push(node);
    await node.start();
    return node;
  }

  // Guards against an instance that joins its group late after a start.
  it("links to members that it has just learnt of, without a timer", async () => {
    vi.spyOn(globalThis, "setInterval").mockReturnValue({} as never);
    const control = await start(2, FleetRole.Control, []);
    const { id: seed } = control.settings;
    const other = await start(3, FleetRole.Ledger, []);
    const joining = await start(4, FleetRole.Ledger, [seed]);
    const { id } = joining.settings;
    await vi.waitFor(() => expect(control.hub.isLinked(id)).toBe(true), WAIT);
    const { name, dataCentre, role } = other.settings;
    const member = { id: other.settings.id, name, dataCentre, role };
    control.notify([id], {
      type: "roster",
      members: [{ ...member, leadsTerm: undefined }],
      retiring: [],
    });
    await vi.waitFor(() => expect(other.hub.isLinked(id)).toBe(true), WAIT);
  });
});
