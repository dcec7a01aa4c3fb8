import { describe, expect, it } from "vitest";
import { createPolicy } from "../../tests/support/policy_document.ts";
import { createReport } from "../../tests/support/target_report.ts";
import { decodeNotice } from "./fleet_notice_schema.ts";

const FAR_MS = 86_400_000;

describe(decodeNotice.name, () => {
  function doTest(value: unknown, expected: unknown, faultCount: number) {
    const { notice, faults } = decodeNotice(value);
    expect(notice).toEqual(expected);
    expect(faults).toHaveLength(faultCount);
  }

  const sound = createReport();
  const list = { type: "targets", mark: undefined, isWhole: true };
  const member = { id: "10.0.0.1", name: "a", role: "entry", dataCentre: "z" };
  const roster = { type: "roster", retiring: [] };

  it("decodes what instances send to what they mean", () => {
    const mark = { life: "ab", change: 7 };
    const reports = [sound, { ...sound, id: "t2", coldMs: 5 }];
    for (
      const notice of [
        { ...list, mark, reports },
        { ...roster, members: [member], senders: ["10.0.0.1"] },
        { type: "policy", document: createPolicy() },
        { type: "limit", target: "t", incarnation: 1, maxPerSecond: 2.5 },
        { type: "limit", target: "t", incarnation: 1, maxPerSecond: undefined },
        { type: "evacuations", version: 2, dataCentres: ["z"] },
        {
          type: "suspicions",
          version: 2,
          changes: [{ fingerprint: "f", suspicion: "clear", deaths: 0 }],
        },
      ]
    ) doTest(notice, notice, 0);
  });

  it("leaves out single targets that no report can describe", () => {
    const odd = [
      null,
      [],
      { id: "t1" },
      { ...sound, address: "10.1.2.3:99999" },
      { ...sound, address: "999.1.2.3:80" },
      { ...sound, address: "10.1.2.3:0" },
      { ...sound, slots: 1e15 },
      { ...sound, sequence: 1e300 },
      { ...sound, incarnation: Date.now(), sequence: 2 ** 32 },
      { ...sound, incarnation: Date.now() + FAR_MS },
      { ...sound, coldMs: 1e300 },
      { ...sound, versions: { m: 2 ** 53 - 1 } },
      { ...sound, state: "other" },
      { ...sound, dataCentre: [[]] },
    ];
    const reports = [...odd, sound];
    doTest({ ...list, reports }, { ...list, reports: [sound] }, odd.length);
  });

  it("drops fields that it does not know, whatever they hold", () =>
    doTest(
      { ...list, reports: [{ ...sound, other: [[[]]] }] },
      { ...list, reports: [sound] },
      0,
    ));

  it("leaves out single members without an address", () =>
    doTest(
      { ...roster, members: [null, { ...member, id: "bad id" }, member] },
      { ...roster, members: [member] },
      2,
    ));

  it("refuses a list of evacuations of which a part is malformed", () =>
    doTest(
      { type: "evacuations", version: 1, dataCentres: ["z", 7] },
      undefined,
      1,
    ));

  it("refuses what is no notice", () => {
    for (const value of [null, 7, "a", [], {}, { type: "other" }]) {
      doTest(value, undefined, 1);
    }
  });
});
