import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  FILLED_BATCHES,
  LEDGER_IDS,
  LedgerGroup,
} from "../../../tests/support/ledger_group.ts";
import { TextBackfill } from "./text_backfill.ts";

describe(TextBackfill.name, () => {
  let group: LedgerGroup;
  /** Instance that loses its disk, which is not the leader's. */
  let lost: string;

  beforeEach(async () => {
    group = await LedgerGroup.start();
    await group.fill();
    for (const id of LEDGER_IDS) await group.untilMoved(id);
    const leader = await group.untilLed();
    lost = LEDGER_IDS.find((id) => group.driverOf(id) !== leader)!;
  });
  afterEach(() => group.stopAll());

  /** Loses a disk; the new replica votes, and lacks texts. */
  async function becomePartial(id = lost): Promise<void> {
    await group.loseDisk(id);
    await group.untilVoter(id);
    const { state, isPartial } = group.driverOf(id);
    expect(state.missingBytes).toBeGreaterThan(0);
    expect(isPartial).toBe(true);
  }

  // Guards against a quorum that waits until a replica has all texts.
  it("leaves the vote to a replica that lacks texts", async () => {
    let partBytes = 0;
    group.onSent = (message) => {
      if (message.type === "snapshotPartRequest") {
        partBytes += JSON.stringify(message.parts).length;
      }
    };
    await becomePartial();
    expect(partBytes).toBeGreaterThan(0);
    expect(partBytes).toBeLessThan(group.driverOf(lost).state.missingBytes / 2);
    await group.fill(FILLED_BATCHES);
    await group.check(lost, 2 * FILLED_BATCHES);
  });

  it("fetches all texts and stores them, also for a restart", async () => {
    await becomePartial();
    await group.untilComplete(lost);
    const requests = group.textRequests;
    await group.stop(lost);
    await group.start(lost);
    await group.untilHeld(lost, FILLED_BATCHES);
    expect(group.driverOf(lost).isPartial).toBe(false);
    await group.check(lost, FILLED_BATCHES);
    expect(group.textRequests).toBe(requests);
  });

  it("goes on after a restart in between", async () => {
    await becomePartial();
    await group.stop(lost);
    await group.start(lost);
    await group.untilHeld(lost, FILLED_BATCHES);
    expect(group.driverOf(lost).isPartial).toBe(true);
    await group.untilComplete(lost);
    await group.check(lost, FILLED_BATCHES);
  });

  it("leaves reads to replicas that have the texts", async () => {
    await becomePartial();
    await group.check(lost, FILLED_BATCHES);
    group.serves = () => false;
    await expect(group.check(lost, FILLED_BATCHES)).rejects.toThrow("text");
  });

  it("fetches from whichever replica has a text", async () => {
    await becomePartial();
    const leader = await group.untilLed();
    group.serves = (id) => group.driverOf(id) !== leader;
    await group.untilComplete(lost);
    await group.check(lost, FILLED_BATCHES);
  });

  // Guards against texts that are lost with the second of two disks.
  it("keeps all texts through the loss of each disk in turn", async () => {
    for (const id of LEDGER_IDS) {
      await becomePartial(id);
      await group.untilComplete(id);
    }
    for (const id of LEDGER_IDS) await group.check(id, FILLED_BATCHES);
  });

  it("is led by a replica that lacks texts if the others lose their disks", async () => {
    const [first, second] = LEDGER_IDS.filter((id) => id !== lost);
    await becomePartial();
    await becomePartial(first);
    expect(group.driverOf(lost).isPartial).toBe(true);
    await group.untilComplete(lost);
    await becomePartial(second);
    await group.untilComplete(first);
    await group.untilComplete(second);
    for (const id of LEDGER_IDS) await group.check(id, FILLED_BATCHES);
  });

  it("goes on while snapshots are made and batches are forgotten", async () => {
    await becomePartial();
    const driver = group.driverOf(lost);
    driver.compact();
    await group.fill(FILLED_BATCHES);
    const batches = Array.from({ length: 4 }, (_, i) => `b-${i}`);
    await group.apply({ type: "forget", batches });
    await group.untilComplete(lost);
    await group.untilHeld(lost, 2 * FILLED_BATCHES - batches.length);
    await group.stop(lost);
    await group.start(lost);
    await group.untilHeld(lost, 2 * FILLED_BATCHES - batches.length);
    expect(group.driverOf(lost).isPartial).toBe(false);
  });
});
