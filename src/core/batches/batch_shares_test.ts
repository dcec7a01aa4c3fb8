import { describe, expect, it } from "vitest";
import {
  type BatchFigures,
  simulateBatchOrder,
  type SimulatedWorkspace,
} from "../../../tests/support/batch_order_simulation.ts";
import type { WaitingItem } from "./batch_record.ts";
import { mergeByShares } from "./batch_shares.ts";
import { type OrderInput, orderItems } from "./item_order.ts";

/** Orders batches by due time alone, with overdue ones last. */
function orderByDueTime(input: OrderInput): WaitingItem[] {
  const dueOf = ({ spec }: OrderInput["records"][number]) =>
    spec.acceptedAt + spec.objectiveMs;
  return [...input.records]
    .sort((a, b) =>
      Number(input.now > dueOf(a)) - Number(input.now > dueOf(b)) ||
      dueOf(a) - dueOf(b)
    )
    .flatMap((record) => orderItems({ ...input, records: [record] }));
}

const ORDERS = { dueTime: orderByDueTime, shares: orderItems };
const UNEVEN: readonly SimulatedWorkspace[] = [
  { name: "large", groups: 40 },
  { name: "small", groups: 6 },
  { name: "other", groups: 6 },
];

function meanOf(figures: readonly BatchFigures[], workspace: string): number {
  const shares = figures.filter((batch) => batch.workspace === workspace);
  return shares.reduce((sum, { inTime }) => sum + inTime, 0) / shares.length;
}

function longestWaitOf(figures: readonly BatchFigures[]): number {
  return Math.max(...figures.map(({ firstRunMs }) => firstRunMs));
}

describe(mergeByShares.name, () => {
  function doTest(
    workspaces: readonly SimulatedWorkspace[],
    capacity: number,
    check: (shares: BatchFigures[], dueTime: BatchFigures[]) => void,
  ) {
    for (const seed of [3, 5]) {
      const [dueTime, shares] = Object.entries(ORDERS).map(([name, order]) => {
        const figures = simulateBatchOrder({
          workspaces,
          capacity,
          order,
          seed,
        });
        for (const workspace of workspaces) {
          const batches = figures
            .filter((batch) => batch.workspace === workspace.name);
          console.info(
            `| ${capacity} | ${seed} | ${name} | ${workspace.name} | ` +
              `${meanOf(figures, workspace.name).toFixed(2)} | ` +
              `${batches.map((b) => b.inTime.toFixed(2)).join(" ")} | ` +
              `${Math.max(...batches.map((b) => b.firstRunMs))} |`,
          );
        }
        return figures;
      });
      check(shares, dueTime);
    }
  }

  it("gives small workspaces their share at 60% of the demand", () =>
    doTest(UNEVEN, 0.6, (shares, dueTime) => {
      expect(meanOf(shares, "small")).toBeGreaterThan(0.85);
      expect(meanOf(shares, "other")).toBeGreaterThan(0.85);
      expect(meanOf(shares, "large")).toBeGreaterThan(meanOf(dueTime, "large"));
      expect(longestWaitOf(shares)).toBeLessThan(5_000);
    }));

  it("completes all in time where there is capacity for all", () =>
    doTest(UNEVEN, 1.2, (shares) => {
      expect(shares.every(({ inTime }) => inTime === 1)).toBe(true);
    }));

  it("lets the most urgent workspace go first and starves none", () =>
    doTest(
      [
        { name: "urgent", groups: 20, priority: 0 },
        { name: "usual", groups: 20, priority: 1 },
        { name: "late", groups: 20, priority: 2 },
      ],
      0.6,
      (shares) => {
        expect(meanOf(shares, "urgent")).toBeGreaterThan(0.95);
        expect(meanOf(shares, "usual")).toBeGreaterThan(meanOf(shares, "late"));
        expect(longestWaitOf(shares)).toBeLessThan(5_000);
      },
    ));
});
