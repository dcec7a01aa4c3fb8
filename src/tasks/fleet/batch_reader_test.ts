import { describe, expect, it } from "vitest";
import type { ResultPage } from "../../core/batches/mod.ts";
import { FleetRole, Roster } from "../../core/fleet/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { BatchMethod, type ReadParams } from "../batches/mod.ts";
import { BatchReader, type BatchReaderOptions } from "./batch_reader.ts";

const PAGE: ResultPage = {
  total: 3,
  next: 1,
  results: [{ id: "i1", state: "completed", text: "t", versions: [1] }],
};
const EMPTY_PAGE: ResultPage = { total: 3, next: 0, results: [] };
const PARAMS = { workspace: "w", batch: "b", after: 0, waitMs: 1_000 };

interface Case {
  /** What the replica replies; an error if it does not answer. */
  readonly replica: ResultPage | undefined | Error;
  readonly replicaTakesMs?: number;
  readonly dataCentre?: string;
  readonly reads?: number;
}

describe(BatchReader.name, () => {
  /** Reads, and gets the instances asked with their waits, and the last page. */
  async function doTest(
    { replica, replicaTakesMs = 0, dataCentre = "a", reads = 1 }: Case,
  ) {
    let now = 0;
    const asked: [string, number][] = [];
    const roster = new Roster().mergeEntries([{
      id: "replica",
      name: "replica",
      role: FleetRole.Ledger,
      dataCentre: "a",
      leadsTerm: undefined,
      isVoter: true,
    }], 0);
    const node = {
      settings: { id: "10.0.0.1", dataCentre },
      roster,
      metrics: new Metrics({ tags: {} }),
      get now() {
        return now;
      },
      hub: {
        request: (
          id: string,
          method: string,
          { params }: { params: ReadParams },
        ) => {
          expect(method).toBe(BatchMethod.ReadStored);
          asked.push([id, params.waitMs]);
          now += replicaTakesMs;
          return replica instanceof Error
            ? Promise.reject(replica)
            : Promise.resolve(replica);
        },
      },
    } as unknown as BatchReaderOptions["node"];
    const reader = new BatchReader({
      node,
      readLeader: ({ waitMs }) => {
        asked.push(["leader", waitMs]);
        return Promise.resolve(EMPTY_PAGE);
      },
    });
    let page: ResultPage = EMPTY_PAGE;
    for (let i = 0; i < reads; i += 1) page = await reader.read(PARAMS);
    return { asked, page };
  }

  it("reads from the replica of the data centre", async () => {
    const { asked, page } = await doTest({ replica: PAGE });
    expect(asked).toEqual([["replica", 300]]);
    expect(page).toEqual(PAGE);
  });

  it("reads from the leader where the data centre has no replica", async () => {
    const { asked } = await doTest({ replica: PAGE, dataCentre: "b" });
    expect(asked).toEqual([["leader", 1_000]]);
  });

  it("lets only the leader say that there are no results", async () => {
    const { asked, page } = await doTest({
      replica: undefined,
      replicaTakesMs: 300,
    });
    expect(asked).toEqual([["replica", 300], ["leader", 700]]);
    expect(page).toEqual(EMPTY_PAGE);
  });

  it("does not ask a silent replica again at once", async () => {
    const { asked } = await doTest({
      replica: new Error("Timeout"),
      replicaTakesMs: 450,
      reads: 2,
    });
    expect(asked).toEqual([["replica", 300], ["leader", 550], [
      "leader",
      1_000,
    ]]);
  });

  it("reads what it has read before from its cache", async () => {
    const { asked, page } = await doTest({ replica: PAGE, reads: 3 });
    expect(asked).toHaveLength(1);
    expect(page).toEqual(PAGE);
  });
});
