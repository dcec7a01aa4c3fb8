import { describe, expect, it } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import { type FleetNotice, FleetRole } from "../../core/fleet/mod.ts";
import { TargetRegistry, type TargetReport } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { FleetPublisher } from "./fleet_publisher.ts";
import { TargetDirectory } from "./target_directory.ts";

interface SentNotice {
  readonly role: FleetRole;
  readonly notice: FleetNotice;
}

describe(TargetDirectory.name, () => {
  /** A directory whose notices are recorded. */
  class Setup {
    readonly sent: SentNotice[] = [];
    readonly directory: TargetDirectory;
    now = 0;

    constructor() {
      const registry = new TargetRegistry();
      const node = {
        logger: new Logger({ instance: "test", level: "error" }),
        notifyRole: (role: FleetRole, notice: FleetNotice) =>
          this.sent.push({ role, notice }),
      } as never;
      const now = () => this.now;
      const publisher = new FleetPublisher({
        node,
        registry,
        state: () => undefined as never,
        leadsTerm: () => undefined,
        now,
      });
      const onChanged = () => {};
      this.directory = new TargetDirectory({
        node,
        registry,
        publisher,
        now,
        onChanged,
      });
    }

    report(at: number, fields: Partial<TargetReport>): this {
      this.now = at;
      this.sent.length = 0;
      this.directory.merge(createReport(fields));
      return this;
    }

    /** Gets the cold times sent to instances of a role. */
    coldTimesTo(role: FleetRole): (number | undefined)[] {
      return this.sent.flatMap(({ role: to, notice }) =>
        to === role && notice.type === "targets"
          ? notice.reports.map(({ coldMs }) => coldMs)
          : []
      );
    }

    rolesToldCold(): string[] {
      return this.sent.filter(({ notice }) => notice.type === "cold")
        .map(({ role }) => role).sort();
    }
  }

  it("publishes a cold time once, not each report that counts it down", () => {
    const setup = new Setup().report(0, { sequence: 1, coldMs: 3_000 });
    expect(setup.coldTimesTo(FleetRole.Entry)).toEqual([3_000]);
    expect(setup.coldTimesTo(FleetRole.Ledger)).toEqual([3_000]);
    setup.report(300, { sequence: 2, coldMs: 2_700 });
    expect(setup.coldTimesTo(FleetRole.Entry)).toEqual([]);
    setup.report(600, { sequence: 3, coldMs: 5_000 });
    expect(setup.coldTimesTo(FleetRole.Entry)).toEqual([5_000]);
    setup.report(900, { sequence: 4, coldMs: 0 });
    expect(setup.coldTimesTo(FleetRole.Entry)).toEqual([0]);
  });

  it("publishes a changed target with the cold time that is left", () => {
    const setup = new Setup().report(0, { sequence: 1, coldMs: 3_000 });
    setup.now = 1_000;
    setup.sent.length = 0;
    setup.directory.markLeaving("t1", 1);
    expect(setup.coldTimesTo(FleetRole.Entry)).toEqual([2_000]);
  });

  // Guards against calls to a target whose deregistration had no effect.
  it("does not acknowledge that a target leaves which it does not know", () => {
    const { directory, sent } = new Setup();
    expect(() => directory.remove("t1", 1)).toThrow(
      expect.objectContaining({ reason: "controlUnavailable", status: 503 }),
    );
    expect(sent).toEqual([]);
  });

  it("acknowledges again that a target has left", () => {
    const { directory, sent } = new Setup().report(0, {});
    directory.remove("t1", 1);
    expect(sent.length).toBeGreaterThan(0);
    sent.length = 0;
    directory.remove("t1", 1);
    expect(sent).toEqual([]);
  });

  const cold = {
    type: "cold",
    target: "t1",
    incarnation: 1,
    coldMs: 2_000,
  } as const;

  it("passes on what a response named, once and not back and forth", () => {
    const setup = new Setup().report(0, { coldMs: 0 });
    setup.directory.onNotice({ ...cold, isForwarded: false });
    expect(setup.rolesToldCold()).toEqual(["control", "entry", "ledger"]);
    setup.sent.length = 0;
    setup.now = 50;
    setup.directory.onNotice({ ...cold, isForwarded: true });
    expect(setup.rolesToldCold()).toEqual([]);
    setup.now = 1_000;
    setup.directory.onNotice({ ...cold, isForwarded: true });
    expect(setup.rolesToldCold()).toEqual(["entry", "ledger"]);
  });
});
