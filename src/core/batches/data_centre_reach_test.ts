import { describe, expect, it } from "vitest";
import { DataCentreReach } from "./data_centre_reach.ts";

describe(DataCentreReach.name, () => {
  function doTest(
    record: (reach: DataCentreReach) => void,
    { now, expected }: { readonly now: number; readonly expected: boolean },
  ) {
    const reach = new DataCentreReach();
    record(reach);
    expect(reach.isUnreachable("a", now)).toBe(expected);
  }

  const timeOut = (reach: DataCentreReach, id: string, at: number) =>
    reach.onUnanswered({ id, dataCentre: "a" }, at);

  it("takes a data centre for unreachable once two targets time out", () => {
    doTest((reach) => {
      timeOut(reach, "t1", 0);
      timeOut(reach, "t2", 100);
    }, { now: 200, expected: true });
  });

  // Guards against the loss of a data centre's capacity to one dead target.
  it("does not for repeated timeouts of one target", () => {
    doTest((reach) => {
      timeOut(reach, "t1", 0);
      timeOut(reach, "t1", 100);
    }, { now: 200, expected: false });
  });

  it("does not once another target there answers", () => {
    doTest((reach) => {
      timeOut(reach, "t1", 0);
      timeOut(reach, "t2", 100);
      reach.onAnswered("a");
    }, { now: 200, expected: false });
  });

  it("tries its targets again after a while", () => {
    doTest((reach) => {
      timeOut(reach, "t1", 0);
      timeOut(reach, "t2", 100);
    }, { now: 2_050, expected: false });
  });
});
