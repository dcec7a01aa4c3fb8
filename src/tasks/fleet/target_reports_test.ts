import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import { type FleetCommand, FleetState } from "../../core/fleet/mod.ts";
import {
  TargetRegistry,
  type TargetReport,
  TargetState,
} from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { Logger } from "../../logging/mod.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { FleetPublisher } from "./fleet_publisher.ts";
import { TargetDirectory } from "./target_directory.ts";
import { TargetReports } from "./target_reports.ts";

const INSTANCES = 3;
const TARGETS = ["t1", "t2"];

/** A control instance from its start to its end. */
class Life {
  readonly registry = new TargetRegistry();
  readonly reports: TargetReports;
  state: FleetState;

  constructor(log: Log) {
    this.state = new FleetState().load(structuredClone(log.state.save()));
    const publisher = {
      forwardReport: () => {},
      forwardLater: () => {},
      publishTarget: () => {},
      resendTargets: () => {},
    } as unknown as FleetPublisher;
    const logger = new Logger({ instance: "c1", level: "error" });
    const node = { logger, notifyRole: () => {} } as unknown as FleetNode;
    this.reports = new TargetReports({
      directory: new TargetDirectory({
        node,
        registry: this.registry,
        publisher,
        now: () => 0,
        onChanged: () => {},
      }),
      publisher,
      logger,
      state: () => this.state,
      applied: () => log.length,
      readPosition: () => log.readPosition(),
      hasLeader: () => true,
      propose: (command) => log.propose(command),
      wallNow: () => 1_000,
    }).start();
  }

  get ready(): TargetReport[] {
    return this.registry.presentReports
      .filter(({ state }) => state === TargetState.Ready);
  }
}

/** The log that outlives the instances. */
class Log {
  readonly state = new FleetState();
  readonly entries: FleetCommand[] = [];
  lives: Life[] = [];
  hasQuorum = true;
  /** How the leader answers; by default, it stores the command. */
  refusal: RefusalError | undefined;

  constructor() {
    this.restartAll();
  }

  get length(): number {
    return this.entries.length;
  }

  restartAll(): void {
    this.lives = Array.from({ length: INSTANCES }, () => new Life(this));
  }

  restart(i: number): void {
    this.lives[i] = new Life(this);
  }

  readPosition(): Promise<number> {
    return this.hasQuorum
      ? Promise.resolve(this.length)
      : Promise.reject(createUnavailable());
  }

  propose(command: FleetCommand): Promise<unknown> {
    const failure = this.hasQuorum ? this.refusal : createUnavailable();
    if (failure !== undefined) return Promise.reject(failure);
    this.entries.push(command);
    this.state.apply(command);
    for (const life of this.lives) {
      life.state.apply(command);
      life.reports.onApplied(command);
    }
    return Promise.resolve();
  }
}

function createUnavailable(): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, Verdict.NotRun);
}

/** Lets instances that have just started catch up. */
async function settle(): Promise<void> {
  for (let i = 0; i < 5; i += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const REPORT = createReport({ id: "t1", incarnation: 1 });

describe(TargetReports.name, () => {
  async function doTest(
    leave: (reports: TargetReports) => Promise<void>,
  ): Promise<void> {
    const log = new Log();
    await settle();
    await log.lives[0].reports.report(REPORT);
    expect(log.lives[0].ready).toHaveLength(1);
    await leave(log.lives[0].reports);
    expect(log.lives[0].ready).toHaveLength(0);
    log.restartAll();
    const late = { ...REPORT, sequence: REPORT.sequence + 1 };
    // One arrives before the log is read, one after.
    await log.lives[1].reports.report(late);
    await settle();
    await log.lives[2].reports.report(late);
    expect(log.lives.flatMap(({ ready }) => ready)).toEqual([]);
    const again = { ...REPORT, incarnation: 2 };
    await log.lives[2].reports.report(again);
    expect(log.lives[2].ready).toEqual([again]);
  }

  // Guards against targets that are used again after they have left.
  it("remember a deregistration over the loss of all processes", () =>
    doTest((reports) => reports.remove("t1", 1)));

  it("remember a deregistration that names no incarnation", () =>
    doTest((reports) => reports.remove("t1", undefined)));

  it("remember that a target drains over the loss of all processes", () =>
    doTest((reports) =>
      reports.report({
        ...REPORT,
        sequence: REPORT.sequence + 1,
        state: TargetState.Draining,
      })
    ));

  it("acknowledge nothing that is not recorded, but stop its traffic", async () => {
    const log = new Log();
    await settle();
    const { reports } = log.lives[0];
    await reports.report(REPORT);
    log.hasQuorum = false;
    await expect(reports.remove("t1", 1)).rejects
      .toMatchObject({ reason: RefusalReason.ControlUnavailable });
    expect(log.lives[0].ready).toEqual([]);
    log.hasQuorum = true;
    await reports.remove("t1", 1);
    expect(log.state.departures.has("t1", 1)).toBe(true);
  });

  it("record a target that is not known here by its incarnation alone", async () => {
    const log = new Log();
    await log.lives[0].reports.remove("t1", 1);
    expect(log.state.departures.has("t1", 1)).toBe(true);
    await expect(log.lives[0].reports.remove("t2", undefined)).rejects
      .toMatchObject({ status: 503 });
  });

  it("acknowledge as before while the leader is of an earlier build", async () => {
    const log = new Log();
    await settle();
    const { MalformedRequest } = RefusalReason;
    log.refusal = new RefusalError(MalformedRequest, Verdict.NotRun);
    await log.lives[0].reports.report(REPORT);
    await log.lives[0].reports.remove("t1", 1);
    expect(log.lives[0].ready).toEqual([]);
  });

  it("record the targets of a release in few entries, each once", async () => {
    const log = new Log();
    await settle();
    const { reports } = log.lives[0];
    const targets = Array.from({ length: 200 }, (_, i) => `t${i}`);
    await Promise.all(targets.map((id) => reports.remove(id, 1)));
    await Promise.all(targets.map((id) => reports.remove(id, 1)));
    expect(log.length).toBeLessThan(5);
    expect(log.state.departures.all).toHaveLength(targets.length);
  });

  interface Step {
    readonly type: "send" | "sendLate" | "leave" | "born" | "restart" | "lose";
    readonly target: string;
    readonly instance: number;
    readonly pick: number;
  }

  const STEPS = fc.array(
    fc.record({
      type: fc.constantFrom(
        "send" as const,
        "sendLate" as const,
        "leave" as const,
        "born" as const,
        "restart" as const,
        "lose" as const,
      ),
      target: fc.constantFrom(...TARGETS),
      instance: fc.nat(INSTANCES - 1),
      pick: fc.nat(1_000),
    }),
    { maxLength: 25 },
  );

  /** A target with all that it has ever sent. */
  class Sender {
    incarnation = 1;
    left = 0;
    readonly sent: TargetReport[] = [];
    readonly #id: string;

    constructor(id: string) {
      this.#id = id;
    }

    next(): TargetReport {
      const report = createReport({
        id: this.#id,
        address: `10.0.0.${TARGETS.indexOf(this.#id) + 1}:80`,
        incarnation: this.incarnation,
        sequence: this.sent.length + 1,
      });
      this.sent.push(report);
      return report;
    }
  }

  async function playSteps(steps: readonly Step[]): Promise<void> {
    const log = new Log();
    const senders = new Map(TARGETS.map((id) => [id, new Sender(id)]));
    for (const { type, target, instance, pick } of steps) {
      const { reports } = log.lives[instance];
      const sender = senders.get(target)!;
      if (type === "lose") log.restartAll();
      if (type === "restart") log.restart(instance);
      if (type === "born") sender.incarnation += 1;
      if (type === "leave") {
        await reports.remove(target, sender.incarnation);
        sender.left = sender.incarnation;
      }
      if (type === "send" && sender.left < sender.incarnation) {
        await reports.report(sender.next());
        await settle();
        expect(log.lives[instance].registry.get(target)?.report)
          .toMatchObject({ incarnation: sender.incarnation, state: "ready" });
      }
      if (type === "sendLate" && sender.sent.length > 0) {
        await reports.report(sender.sent[pick % sender.sent.length]);
        await settle();
      }
      const used = log.lives.flatMap(({ ready }) => ready)
        .filter(({ id, incarnation }) => incarnation <= senders.get(id)!.left);
      expect({ steps, used }).toEqual({ steps, used: [] });
    }
  }

  it("use no target that has left, and each that has started again", async () => {
    const property = fc.asyncProperty(STEPS, playSteps);
    await fc.assert(property, { numRuns: 300, seed: 59 });
  });
});
