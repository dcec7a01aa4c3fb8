/** Simulation of a cold target and of the instances that send it requests. */
import {
  RegistryChange,
  TargetRegistry,
  type TargetReport,
} from "../../src/core/registry/mod.ts";
import { Logger } from "../../src/logging/mod.ts";
import { Metrics } from "../../src/metrics/mod.ts";
import { PermitService } from "../../src/tasks/fleet/permit_service.ts";
import { createPolicy } from "./policy_document.ts";
import { SimulatedSchedule } from "./simulated_schedule.ts";
import {
  drawPauseMs,
  MAX_NOTICE_DELAY_MS,
  SimulatedSender,
  TARGET,
} from "./simulated_sender.ts";
import { createReport } from "./target_report.ts";

/** Faults of the code under test, by which the simulation is tested itself. */
export interface SlowStartFaults {
  /** Each instance takes itself for the only one that sends requests. */
  readonly knowsNoSenders?: boolean;
  /** A control instance grants permits after its lease has ended. */
  readonly ignoresLease?: boolean;
  /** A cut instance takes targets for warm when the last report says so. */
  readonly ignoresCut?: boolean;
  /** Reports are taken in the order in which they arrive. */
  readonly ignoresSequence?: boolean;
}

/** Result of a schedule. */
export interface SlowStartResult {
  readonly requestsPerS: number;
  /** Times at which requests arrived at the target while it was cold. */
  readonly arrivals: readonly number[];
  readonly coldMs: number;
  /** Whether a leader was reachable for all instances at all times. */
  readonly isUndisturbed: boolean;
}

interface Control {
  readonly registry: TargetRegistry;
  grant: (params: unknown) => unknown;
}

const SERVICE = "engines";
const INCARNATION = 2;
const HEARTBEAT_MS = 300;
const MAX_HEARTBEAT_DELAY_MS = 250;
const REPEATED_SHARE = 0.2;
const MAX_REPEAT_DELAY_MS = 2_000;
/** Time until all instances have received a report of the target. */
const FIRST_KNOWN_MS = MAX_HEARTBEAT_DELAY_MS + 2 * MAX_NOTICE_DELAY_MS;
const MAX_TRANSIT_MS = 45;
const LATE_SHARE = 0.1;
const LATE_MS = 150;
const PROMPT_MS = 10;
const TICK_MS = 50;
const MAX_SENDERS = 12;
const UNDISTURBED_SHARE = 0.1;
const EXTENDED_SHARE = 0.3;

/** Simulates one schedule of messages, cuts and a change of leader. */
export class SlowStartSimulation {
  readonly #faults: SlowStartFaults;
  readonly #schedule: SimulatedSchedule;
  readonly #arrivals: number[] = [];
  readonly #controls: readonly Control[];
  readonly #senders: readonly SimulatedSender[];
  readonly #requestsPerS: number;
  readonly #isUndisturbed: boolean;
  /** Time at which the first leader's lease ends, and the second one leads. */
  readonly #leaseEnd: number;
  readonly #secondFrom: number;
  #coldUntil: number;
  #arrived = 0;

  constructor(seed: number, faults: SlowStartFaults = {}) {
    const schedule = new SimulatedSchedule(seed);
    this.#schedule = schedule;
    this.#faults = faults;
    this.#requestsPerS = 1 + schedule.random() * 19;
    this.#coldUntil = 1_500 + schedule.random() * 1_500;
    this.#isUndisturbed = schedule.random() < UNDISTURBED_SHARE;
    this.#leaseEnd = this.#isUndisturbed ? Infinity : schedule.random() * 2_500;
    this.#secondFrom = this.#leaseEnd + schedule.random() * 800;
    this.#controls = this.#createControls();
    this.#senders = this.#createSenders();
  }

  /** Runs the schedule until the target is warm. */
  async run(): Promise<SlowStartResult> {
    this.#sendReports();
    if (this.#schedule.random() < EXTENDED_SHARE) this.#extendCold();
    for (const sender of this.#senders.slice(1)) sender.sendCalls();
    this.#runBatches();
    await this.#schedule.runUntil(() => this.#coldUntil);
    return {
      requestsPerS: this.#requestsPerS,
      arrivals: this.#arrivals.filter((at) => at < this.#coldUntil)
        .sort((a, b) => a - b),
      coldMs: this.#coldUntil,
      isUndisturbed: this.#isUndisturbed,
    };
  }

  get #policy() {
    return createPolicy({
      services: [{
        name: SERVICE,
        healthPath: "/",
        maxConnections: 64,
        models: [],
        scaling: undefined,
        slowStart: { durationMs: 3_000, requestsPerS: this.#requestsPerS },
      }],
    });
  }

  /** Creates two leaders; the first does not know at once that it is deposed. */
  #createControls(): Control[] {
    const schedule = this.#schedule;
    const deposedAt = this.#leaseEnd + schedule.random() * 2_000;
    const first = () => schedule.now < deposedAt;
    const second = () => schedule.now >= this.#secondFrom;
    return [
      this.#createControl(first, this.#leaseEnd),
      this.#createControl(second, Infinity),
    ];
  }

  #createControl(leads: () => boolean, leaseEnd: number): Control {
    const policy = this.#policy;
    const control: Control = {
      registry: new TargetRegistry(),
      grant: () => undefined,
    };
    const handle = (_method: string, grant: Control["grant"]) => {
      control.grant = grant;
    };
    new PermitService({
      node: {
        logger: new Logger({ instance: "test", level: "error" }),
        metrics: new Metrics({ tags: {} }),
        hub: { handle: handle as never },
      },
      registry: control.registry,
      policy: () => policy,
      leadsTerm: () => leads() ? 1 : undefined,
      leaseEnd: () => this.#faults.ignoresLease ? Infinity : leaseEnd,
      maxTargets: 1,
      now: () => this.#schedule.now,
    });
    return control;
  }

  #createSenders(): SimulatedSender[] {
    const schedule = this.#schedule;
    const count = 2 + Math.floor(schedule.random() * (MAX_SENDERS - 1));
    const ids = Array.from({ length: count }, (_, i) => `s-${i}`);
    const cutShare = this.#isUndisturbed ? 0 : schedule.random();
    const [service] = this.#policy.services;
    return ids.map((id) => {
      const from = schedule.random() < cutShare
        ? schedule.random() * 1_500
        : Infinity;
      const sender: SimulatedSender = new SimulatedSender({
        schedule,
        id,
        senders: this.#faults.knowsNoSenders ? [id] : ids,
        service,
        cut: { from, until: from + schedule.random() * 3_000 },
        ignoresCut: this.#faults.ignoresCut ?? false,
        request: (params, timeoutMs) =>
          this.#request(sender, params, timeoutMs),
        onSent: () =>
          this.#arrivals.push(
            schedule.now + schedule.random() * MAX_TRANSIT_MS,
          ),
      });
      return sender;
    });
  }

  /** Asks a leader for permits; a reply after the time-out is lost. */
  #request(
    sender: SimulatedSender,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const schedule = this.#schedule;
    const maxMs = schedule.random() < LATE_SHARE ? LATE_MS : PROMPT_MS;
    const thereMs = schedule.random() * maxMs;
    const backMs = schedule.random() * maxMs;
    const isAnswered = !sender.isCutOff && thereMs + backMs < timeoutMs;
    return new Promise((resolve, reject) => {
      if (!isAnswered) {
        schedule.after(timeoutMs, () => {
          schedule.settle();
          reject(new Error("Timed out"));
        });
      }
      if (sender.isCutOff) return;
      schedule.after(thereMs, () => {
        const grant = this.#tryGrant(params);
        if (!isAnswered) return;
        schedule.after(backMs, () => {
          schedule.settle();
          if (grant === undefined) reject(new Error("No leader"));
          else resolve(grant);
        });
      });
    });
  }

  /** Gets the reply of the leader that a sender knows; it may be the old one. */
  #tryGrant(params: unknown): unknown {
    const { now } = this.#schedule;
    const isFirstKnown = now < this.#secondFrom ||
      this.#schedule.random() < 0.5;
    try {
      return this.#controls[isFirstKnown ? 0 : 1].grant(params);
    } catch {
      return undefined;
    }
  }

  /** Sends heartbeats, and a late one of an earlier incarnation. */
  #sendReports(): void {
    const schedule = this.#schedule;
    const earlier = createReport({ id: TARGET, incarnation: 1, coldMs: 0 });
    const earlierMs = FIRST_KNOWN_MS + schedule.random() * 1_000;
    schedule.after(earlierMs, () => this.#receive(earlier));
    let sequence = 0;
    const send = () => {
      sequence += 1;
      const report = createReport({
        id: TARGET,
        service: SERVICE,
        incarnation: INCARNATION,
        sequence,
        coldMs: Math.max(0, this.#coldUntil - schedule.now),
      });
      const delayMs = schedule.random() * MAX_HEARTBEAT_DELAY_MS;
      schedule.after(delayMs, () => this.#receive(report));
      if (schedule.random() < REPEATED_SHARE) {
        const repeatMs = schedule.random() * MAX_REPEAT_DELAY_MS;
        schedule.after(repeatMs, () => this.#receive(report));
      }
      schedule.after(HEARTBEAT_MS, send);
    };
    send();
  }

  /** Keeps the target cold for longer than its first reports say. */
  #extendCold(): void {
    const latestMs = this.#coldUntil - 1_000;
    this.#schedule.after(this.#schedule.random() * latestMs, () => {
      this.#coldUntil += this.#schedule.random() * 1_500;
    });
  }

  /** Gives a report to a control instance, and by it to the other one. */
  #receive(report: TargetReport): void {
    const schedule = this.#schedule;
    const first = schedule.random() < 0.5 ? 0 : 1;
    this.#merge(this.#controls[first], report);
    const other = this.#controls[1 - first];
    const delayMs = schedule.random() * MAX_NOTICE_DELAY_MS;
    schedule.after(delayMs, () => this.#merge(other, report));
  }

  #merge({ registry }: Control, report: TargetReport): void {
    const { now } = this.#schedule;
    const change = registry.merge(this.#numbered(report), now);
    if (change !== RegistryChange.Changed) return;
    for (const sender of this.#senders) sender.notify(registry);
  }

  #numbered(report: TargetReport): TargetReport {
    if (!this.#faults.ignoresSequence) return report;
    this.#arrived += 1;
    return { ...report, incarnation: INCARNATION, sequence: this.#arrived };
  }

  /** Places items from one instance, and from another one after a change. */
  #runBatches(): void {
    const schedule = this.#schedule;
    const changesAt = schedule.random() * 3_000;
    const [first, second] = this.#senders;
    const tick = () => {
      (schedule.now < changesAt ? first : second).placeItems();
      schedule.after(TICK_MS + drawPauseMs(schedule), tick);
    };
    tick();
  }
}
