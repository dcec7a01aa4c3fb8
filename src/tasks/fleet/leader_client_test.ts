import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { FleetRole } from "../../core/fleet/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { LeaderClient } from "./leader_client.ts";

const MEMBERS = ["a", "b", "c"];

describe(LeaderClient.name, () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  /** Gets whether a request succeeds while only some members are linked. */
  async function doTest(
    known: string | undefined,
    linked: readonly string[],
  ): Promise<boolean | undefined> {
    const client = new LeaderClient({
      hub: {
        isLinked: (id) => linked.includes(id),
        request: async (id, _method, { timeoutMs }) => {
          if (id === "c" && linked.includes(id)) return true;
          if (!linked.includes(id)) {
            await new Promise((resolve) => setTimeout(resolve, timeoutMs));
          }
          throw new RefusalError(
            RefusalReason.ControlUnavailable,
            Verdict.NotRun,
          );
        },
      },
      leaderOf: () => known,
      membersOf: () => MEMBERS,
    });
    let isServed: boolean | undefined;
    client.request(FleetRole.Control, "m", {
      params: {},
      timeoutMs: 900,
      attemptMs: 450,
    }).then(() => isServed = true, () => isServed = false);
    await vi.advanceTimersByTimeAsync(1_000);
    return isServed;
  }

  // Guards against requests that wait for members that are down until their
  // time is up, beside a linked member that leads.
  it("asks linked members first where the known leader is down", async () => {
    expect(await doTest("a", ["c"])).toBe(true);
    expect(await doTest(undefined, ["b", "c"])).toBe(true);
  });

  it("fails if the leader is not linked in time", async () => {
    expect(await doTest("a", ["b"])).toBe(false);
  });
});
