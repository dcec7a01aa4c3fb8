import { describe, expect, it } from "vitest";
import { Path } from "./path.ts";
import { PathTable } from "./path_table.ts";

const LATER_MS = 500;

describe(PathTable.name, () => {
  /** Applies events and compares the paths to some addresses afterwards. */
  function doTest(
    steps: (table: PathTable) => void,
    expected: Readonly<Record<string, Path>> & { isCutOff?: never },
    isCutOff = false,
  ) {
    const table = new PathTable();
    steps(table);
    const paths = Object.fromEntries(
      Object.keys(expected).map((address) => [address, table.pathTo(address)]),
    );
    expect({ ...paths, isCutOff: table.isCutOff })
      .toEqual({ ...expected, isCutOff });
  }

  it("goes directly at first", () => doTest(() => {}, { a: Path.Direct }));

  it("relays to a lost target only", () =>
    doTest((table) => table.onLost("a", 0), {
      a: Path.Relayed,
      b: Path.Direct,
    }));

  it("relays to all targets after several were lost in a row", () =>
    doTest(
      (table) => {
        table.onLost("a", 0);
        table.onLost("b", 0);
      },
      { a: Path.Relayed, c: Path.Relayed },
      true,
    ));

  it("is not cut off if it has connected in between", () =>
    doTest((table) => {
      table.onLost("a", 0);
      table.onDirect("c");
      table.onLost("b", 0);
    }, { a: Path.Relayed, b: Path.Relayed, c: Path.Direct }));

  it("goes directly again to a target that it has connected to", () =>
    doTest((table) => {
      table.onLost("a", 0);
      table.onLost("b", 0);
      table.onDirect("a");
    }, { a: Path.Direct, b: Path.Relayed, c: Path.Direct }));

  it("removes targets that no longer exist", () =>
    doTest((table) => {
      table.onLost("a", 0);
      table.onLost("b", 0);
      table.keepOnly(new Set(["b"]));
    }, { a: Path.Direct, b: Path.Relayed }));

  it("tries one target an interval while it is cut off", () => {
    const table = new PathTable();
    table.onLost("a", 0);
    table.onLost("b", 0);
    const take = (now: number) =>
      ["a", "b", "c"].filter((address) => table.takeTrial(address, now));
    expect(take(LATER_MS)).toEqual(["a"]);
    expect(take(LATER_MS + 1)).toEqual([]);
    expect(take(2 * LATER_MS)).toEqual(["a"]);
  });

  it("tries each lost target on its own while it reaches others", () => {
    const table = new PathTable();
    table.onLost("a", 0);
    table.onDirect("c");
    table.onLost("b", 0);
    const take = (now: number) =>
      ["a", "b", "c"].filter((address) => table.takeTrial(address, now));
    expect(take(1)).toEqual([]);
    expect(take(LATER_MS)).toEqual(["a", "b"]);
  });

  it("tries all lost targets at once after the first one is found", () => {
    const table = new PathTable();
    table.onLost("a", 0);
    table.onLost("b", 0);
    table.onDirect("a");
    expect(table.takeTrial("b", 1)).toBe(true);
  });

  describe("attempts that others cannot serve either", () => {
    function doTest(
      steps: (table: PathTable) => void,
      expected: readonly boolean[],
    ) {
      const table = new PathTable();
      table.onLost("a", 0);
      table.onLost("b", 0);
      steps(table);
      const times = [0, 1, LATER_MS, LATER_MS + 1];
      expect(times.map((now) => table.allowAttempt(now))).toEqual(expected);
    }

    it("are allowed once an interval after several targets", () =>
      doTest((table) => {
        table.onUnreached("a").onUnreached("b");
      }, [true, false, true, false]));

    it("are all allowed after a single target", () =>
      doTest((table) => {
        table.onUnreached("a").onUnreached("a");
      }, [true, true, true, true]));

    it("are all allowed once a target was reached", () =>
      doTest((table) => {
        table.onUnreached("a").onUnreached("b").onReached();
      }, [true, true, true, true]));

    it("are all allowed while the instance connects directly", () =>
      doTest((table) => {
        table.onUnreached("a").onUnreached("b");
        table.onDirect("a");
      }, [true, true, true, true]));
  });
});
