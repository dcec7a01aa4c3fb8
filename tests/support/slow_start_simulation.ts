/** Simulation of a cold target and of the instances that send it requests. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import TinyQueue from "tinyqueue";
import { ControlContact } from "../../src/core/fleet/mod.ts";
import {
  RegistryChange,
  reportAt,
  TargetRegistry,
  type TargetReport,
} from "../../src/core/registry/mod.ts";
import { Logger } from "../../src/logging/mod.ts";
import { Metrics } from "../../src/metrics/mod.ts";
import { ColdTargets } from "../../src/tasks/fleet/cold_targets.ts";
import { PermitService } from "../../src/tasks/fleet/permit_service.ts";
import { TargetLimiter } from "../../src/tasks/fleet/target_limiter.ts";
import { createPolicy } from "./policy_document.ts";
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

interface Event {
  readonly at: number;
  readonly run: () => void;
}

interface Control {
  readonly registry: TargetRegistry;
  grant: (params: unknown) => unknown;
}

interface Sender {
  readonly id: string;
  readonly registry: TargetRegistry;
  readonly limiter: TargetLimiter;
  readonly cutFrom: number;
  readonly cutUntil: number;
}

/** Numbers drawn before use: the first ones of similar seeds are similar. */
const WARM_UP_DRAWS = 20;
const SERVICE = "engines";
const INCARNATION = 2;
const HEARTBEAT_MS = 300;
const MAX_HEARTBEAT_DELAY_MS = 250;
/** Time until all instances have heard of the target. */
const FIRST_KNOWN_MS = MAX_HEARTBEAT_DELAY_MS + 2 * 100;
const MAX_REPEAT_DELAY_MS = 2_000;
const MAX_NOTICE_DELAY_MS = 100;
const MAX_TRANSIT_MS = 45;
const MAX_PAUSE_MS = 600;
const MAX_CALL_WAIT_MS = 150;
const TICK_MS = 50;
const MAX_SENDERS = 12;
const MAX_TARGETS = 4;
/** Depth of the chains of promises that a reply of a leader settles. */
const MICROTASKS = 4;
const LOGGER = new Logger({ instance: "test", level: "error" });
const METRICS = new Metrics({ tags: {} });

/** Plays one schedule of messages, cuts and a change of leader. */
export class SlowStartSimulation {
  readonly #faults: SlowStartFaults;
  readonly #generator;
  readonly #events = new TinyQueue<Event>([], (a, b) => a.at - b.at);
  readonly #arrivals: number[] = [];
  readonly #controls: Control[] = [];
  readonly #senders: Sender[] = [];
  readonly #requestsPerS: number;
  readonly #isUndisturbed: boolean;
  #now = 0;
  #coldUntil: number;
  #arrived = 0;
  /** Whether the last event lets asynchronous code of an instance go on. */
  #mayContinue = false;
  /** Time at which the first leader's lease ends, and the second one leads. */
  readonly #leaseEnd: number;
  readonly #secondFrom: number;

  constructor(seed: number, faults: SlowStartFaults = {}) {
    this.#faults = faults;
    this.#generator = xoroshiro128plus(seed);
    for (let i = 0; i < WARM_UP_DRAWS; i += 1) this.#random();
    this.#requestsPerS = 1 + this.#random() * 19;
    this.#coldUntil = 1_500 + this.#random() * 1_500;
    this.#isUndisturbed = this.#random() < 0.1;
    this.#leaseEnd = this.#isUndisturbed ? Infinity : this.#random() * 2_500;
    this.#secondFrom = this.#leaseEnd + this.#random() * 800;
    this.#addControls();
    this.#addSenders();
  }

  /** Runs the schedule until the target is warm. */
  async run(): Promise<SlowStartResult> {
    this.#sendHeartbeats();
    if (this.#random() < 0.3) this.#extendCold();
    for (const sender of this.#senders.slice(1)) this.#call(sender);
    this.#runBatches();
    while (this.#events.length > 0) {
      const { at, run } = this.#events.pop()!;
      if (at >= this.#coldUntil) break;
      this.#now = at;
      this.#mayContinue = false;
      run();
      if (!this.#mayContinue) continue;
      for (let i = 0; i < MICROTASKS; i += 1) await undefined;
    }
    return {
      requestsPerS: this.#requestsPerS,
      arrivals: this.#arrivals.filter((at) => at < this.#coldUntil)
        .sort((a, b) => a - b),
      coldMs: this.#coldUntil,
      isUndisturbed: this.#isUndisturbed,
    };
  }

  #random(): number {
    return uniformFloat64(this.#generator);
  }

  #after(delayMs: number, run: () => void): void {
    this.#events.push({ at: this.#now + delayMs, run });
  }

  #policy() {
    const slowStart = {
      durationMs: 3_000,
      requestsPerS: this.#requestsPerS,
    };
    return createPolicy({
      services: [{
        name: SERVICE,
        healthPath: "/",
        maxConnections: 64,
        models: [],
        scaling: undefined,
        slowStart,
      }],
    });
  }

  #addControls(): void {
    const policy = this.#policy();
    const deposedAt = this.#leaseEnd + this.#random() * 2_000;
    const leads = [
      () => this.#now < deposedAt,
      () => this.#now >= this.#secondFrom,
    ];
    const ends = [this.#leaseEnd, Infinity];
    for (const [i, isLeader] of leads.entries()) {
      const control: Control = {
        registry: new TargetRegistry(),
        grant: () => undefined,
      };
      new PermitService({
        node: {
          logger: LOGGER,
          metrics: METRICS,
          hub: {
            handle: (_method: string, grant: Control["grant"]) => {
              control.grant = grant;
            },
          } as never,
        },
        registry: control.registry,
        policy: () => policy,
        leadsTerm: () => isLeader() ? i + 1 : undefined,
        leaseEnd: () => this.#faults.ignoresLease ? Infinity : ends[i],
        maxTargets: MAX_TARGETS,
        now: () => this.#now,
      });
      this.#controls.push(control);
    }
  }

  #addSenders(): void {
    const count = 2 + Math.floor(this.#random() * (MAX_SENDERS - 1));
    const ids = Array.from({ length: count }, (_, i) => `s-${i}`);
    const cutShare = this.#isUndisturbed ? 0 : this.#random();
    const [service] = this.#policy().services;
    for (const id of ids) {
      const registry = new TargetRegistry();
      const cutFrom = this.#random() < cutShare
        ? this.#random() * 1_500
        : Infinity;
      const cutUntil = cutFrom + this.#random() * 3_000;
      const contact = new ControlContact()
        .update(true, -Infinity)
        .update(true, 0);
      this.#updateContact(contact, cutFrom, cutUntil);
      const now = () => this.#now;
      const options = { registry, now, logger: LOGGER, metrics: METRICS };
      const limiter = new TargetLimiter({
        registry,
        now,
        maxTargets: MAX_TARGETS,
        instance: id,
        cold: new ColdTargets({
          ...options,
          getService: () => service,
          outdatedMs: () => this.#outdatedMs(contact),
        }),
        node: {
          logger: LOGGER,
          metrics: METRICS,
          senders: this.#faults.knowsNoSenders ? [id] : ids,
          requestLeader: (_role, _method, { params, timeoutMs }) =>
            this.#request(id, params, timeoutMs),
        },
      });
      this.#senders.push({ id, registry, limiter, cutFrom, cutUntil });
    }
  }

  /** Records the cut of a sender's links, from its start on. */
  #updateContact(contact: ControlContact, from: number, until: number): void {
    if (from === Infinity) return;
    this.#after(from, () => contact.update(false, this.#now));
    this.#after(until + 1, () => contact.update(true, this.#now));
  }

  #outdatedMs(contact: ControlContact): number {
    return this.#faults.ignoresCut ? 0 : this.#now - contact.knownAt(this.#now);
  }

  #isCutOff({ cutFrom, cutUntil }: Sender): boolean {
    return this.#now >= cutFrom && this.#now < cutUntil;
  }

  /** Sends a request for permits; a reply after the time-out is lost. */
  #request(
    from: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const sender = this.#senders.find(({ id }) => id === from)!;
    return new Promise((resolve, reject) => {
      let isSettled = false;
      const settle = (end: () => void) => {
        this.#mayContinue ||= !isSettled;
        isSettled = true;
        end();
      };
      const maxMs = this.#random() < 0.1 ? 150 : 10;
      const thereMs = this.#random() * maxMs;
      const backMs = this.#random() * maxMs;
      this.#after(
        timeoutMs,
        () => settle(() => reject(new Error("Timed out"))),
      );
      if (this.#isCutOff(sender)) return;
      this.#after(thereMs, () => {
        const isOldKnown = this.#now < this.#secondFrom ||
          this.#random() < 0.5;
        const { grant } = this.#controls[isOldKnown ? 0 : 1];
        try {
          const reply = grant(params);
          this.#after(backMs, () => settle(() => resolve(reply)));
        } catch (err) {
          this.#after(backMs, () => settle(() => reject(err)));
        }
      });
    });
  }

  #sendHeartbeats(): void {
    this.#after(
      FIRST_KNOWN_MS + this.#random() * 1_000,
      () => this.#receive(createReport({ id: "t", incarnation: 1, coldMs: 0 })),
    );
    let sequence = 0;
    const send = () => {
      sequence += 1;
      const report = createReport({
        id: "t",
        service: SERVICE,
        incarnation: INCARNATION,
        sequence,
        coldMs: Math.max(0, this.#coldUntil - this.#now),
      });
      this.#after(
        this.#random() * MAX_HEARTBEAT_DELAY_MS,
        () => this.#receive(report),
      );
      if (this.#random() < 0.2) {
        this.#after(
          this.#random() * MAX_REPEAT_DELAY_MS,
          () => this.#receive(report),
        );
      }
      this.#after(HEARTBEAT_MS, send);
    };
    send();
  }

  /** Keeps the target cold for longer than its first reports say. */
  #extendCold(): void {
    const latest = this.#coldUntil - 1_000;
    this.#after(this.#random() * latest, () => {
      this.#coldUntil += this.#random() * 1_500;
    });
  }

  /** Gives a report to a control instance, and by it to the other one. */
  #receive(report: TargetReport): void {
    const first = this.#random() < 0.5 ? 0 : 1;
    this.#merge(this.#controls[first], report);
    this.#after(
      this.#random() * MAX_NOTICE_DELAY_MS,
      () => this.#merge(this.#controls[1 - first], report),
    );
  }

  #merge({ registry }: Control, report: TargetReport): void {
    const change = registry.merge(this.#numbered(report), this.#now);
    if (change !== RegistryChange.Changed) return;
    for (const sender of this.#senders) this.#notify(sender, registry);
  }

  #numbered(report: TargetReport): TargetReport {
    if (!this.#faults.ignoresSequence) return report;
    this.#arrived += 1;
    return { ...report, incarnation: INCARNATION, sequence: this.#arrived };
  }

  /** Sends what a control instance knows; a cut instance gets it later. */
  #notify(sender: Sender, registry: TargetRegistry): void {
    const delayMs = this.#random() * MAX_NOTICE_DELAY_MS;
    if (this.#isCutOff(sender)) {
      this.#after(
        sender.cutUntil - this.#now + delayMs + 1,
        () => this.#notify(sender, registry),
      );
      return;
    }
    const report = reportAt(registry.get("t")!, this.#now);
    this.#after(delayMs, () => sender.registry.merge(report, this.#now));
  }

  /** Sends calls from an instance again and again. */
  #call(sender: Sender): void {
    const next = () => {
      this.#mayContinue = true;
      this.#attempt(sender);
      this.#after(60 + this.#random() * 240, next);
    };
    next();
  }

  async #attempt({ registry, limiter }: Sender): Promise<void> {
    const target = registry.get("t")?.report;
    if (target === undefined) return;
    if (!limiter.isLimited(target)) return this.#send();
    const maxWaitMs = this.#random() * MAX_CALL_WAIT_MS;
    const { permit } = await limiter.acquire([target], maxWaitMs);
    if (permit === undefined) return;
    const pauseMs = this.#random() < 0.05 ? this.#random() * MAX_PAUSE_MS : 0;
    this.#after(permit.afterMs + pauseMs, () => {
      if (permit.isValid?.() !== false) this.#send();
    });
  }

  /** Places items from one instance, and from another one after a change. */
  #runBatches(): void {
    const changesAt = this.#random() * 3_000;
    const tick = () => {
      const [first, second] = this.#senders;
      const { registry, limiter } = this.#now < changesAt ? first : second;
      const target = registry.get("t")?.report;
      const pauseMs = this.#random() < 0.05 ? this.#random() * MAX_PAUSE_MS : 0;
      this.#after(TICK_MS + pauseMs, tick);
      if (target === undefined) return;
      while (limiter.storedPermits(target) > 0) {
        limiter.useStored(target);
        this.#send();
      }
      this.#mayContinue = true;
      limiter.fetch([target], 4).then(() => {}, () => {});
    };
    tick();
  }

  #send(): void {
    this.#arrivals.push(this.#now + this.#random() * MAX_TRANSIT_MS);
  }
}
