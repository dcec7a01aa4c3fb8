/** Randomised starts of single machines of a fleet beside traffic. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FleetReceiver } from "../../fakes/fleet_receiver.ts";
import type { FleetReplica } from "../../fakes/fleet_replica.ts";
import { FleetRole } from "../../src/core/fleet/mod.ts";
import {
  FleetDeployment,
  type FleetMachine,
  sleep,
} from "../../tests/support/fleet_deployment.ts";
import { FLEET_NAMES, fleetPolicy } from "../../tests/support/fleet_policy.ts";
import { LoopbackNet } from "../../tests/support/loopback_net.ts";
import type { StartedProcess } from "../../tests/support/process_group.ts";
import { FleetChecks } from "../fleet/fleet_checks.ts";
import { FleetClients } from "../fleet/fleet_clients.ts";
import { StartLauncher } from "./start_launcher.ts";
import { StartProbe } from "./start_probe.ts";
import { START_STATES } from "./start_states.ts";
import { StartTrial, type StartTrialOptions } from "./start_trial.ts";

/** Options of {@link StartSoak}. */
export interface StartSoakOptions {
  /** Seed of the states; the timing of the processes is not reproducible. */
  readonly seed: number;
  /** Duration of the starts, in milliseconds. */
  readonly lengthMs: number;
  /** States to use; all by default. */
  readonly states?: readonly string[] | undefined;
  /** Program of the build before, which all machines run at first. */
  readonly oldProgram?: string | undefined;
  /** How one of the engines answers requests; as the others by default. */
  readonly faultyTarget?: "closes" | "floods" | undefined;
  readonly log: (line: string) => void;
}

/** What a run has shown. */
export interface StartSoakResult {
  /** What instances must not have done, with machine and states. */
  readonly findings: readonly string[];
  /** Number of trials. */
  readonly starts: number;
  /** Number of processes that a hangup ended before the program ran. */
  readonly earlyEnds: number;
  /** Number of calls that sound instances answered. */
  readonly answered: number;
  /** Number of calls that sound instances refused or did not answer. */
  readonly refused: number;
}

const KEY = "key-of-the-park";
const { engines, apps, model } = FLEET_NAMES;
/** Event of an end that an error caused. */
const PROCESS_FAILED = '"event":1022,';
const OVERLAP_PROBABILITY = 0.4;
/** Time after which the platform starts an ended process again. */
const RESTART_DELAY_MS = 500;
/** Time after which all instances know the targets. */
const CERTAIN_MS = 1_000;
/** Time after the last start within which all pending work must complete. */
const RECOVERY_TIMEOUT_MS = 25_000;

/** Starts a fleet as deployed, and single machines of it in odd states. */
export class StartSoak {
  readonly #options: StartSoakOptions;
  readonly #net: LoopbackNet;
  readonly #launcher: StartLauncher;
  readonly #fleet: FleetDeployment;
  readonly #replicas: FleetReplica[];
  readonly #checks: FleetChecks;
  readonly #clients: FleetClients;
  readonly #probe: StartProbe;
  readonly #findings: string[] = [];
  readonly #ordered = new Set<StartedProcess>();
  readonly #trials = new Map<FleetMachine, StartTrial>();
  #starts = 0;
  #earlyEnds = 0;
  #isStopping = false;

  private constructor(
    options: StartSoakOptions,
    parts: { readonly net: LoopbackNet; readonly receiver: FleetReceiver },
  ) {
    this.#options = options;
    this.#net = parts.net;
    this.#launcher = new StartLauncher((machine, process) =>
      this.#onEnd(machine, process)
    );
    this.#fleet = new FleetDeployment({
      net: parts.net,
      controls: 3,
      ledgers: 3,
      entries: 3,
      receiver: parts.receiver.address,
      program: options.oldProgram,
      launcher: this.#launcher,
    });
    this.#replicas = [
      ...[1, 2, 3].map(() => this.#createReplica([model])),
      ...[1, 2, 3].map(() => this.#createReplica([])),
    ];
    this.#checks = new FleetChecks(this.#replicas);
    this.#clients = this.#createClients();
    this.#probe = new StartProbe({
      fleet: this.#fleet,
      key: KEY,
      isSound: (machine) => !this.#trials.has(machine) && !this.#isStopping,
      onFinding: (text) => this.#onFinding(text),
    });
  }

  /** Performs a run on new processes. */
  static async run(options: StartSoakOptions): Promise<StartSoakResult> {
    const receiver = await new FleetReceiver().start();
    const net = await LoopbackNet.claim();
    const soak = new StartSoak(options, { net, receiver });
    try {
      await soak.#run();
    } catch (err) {
      soak.#onFinding((err as Error).message);
    } finally {
      await soak.#stop();
      receiver.stop();
    }
    return {
      findings: soak.#findings,
      starts: soak.#starts,
      earlyEnds: soak.#earlyEnds,
      answered: soak.#probe.answered,
      refused: soak.#probe.refused,
    };
  }

  async #run(): Promise<void> {
    await this.#fleet.startAll(fleetPolicy({ version: 1, keys: [KEY] }));
    this.#checks.onAcked(1);
    for (const replica of this.#replicas) await replica.start();
    const [faulty] = this.#replicas;
    const { faultyTarget } = this.#options;
    if (faultyTarget !== undefined) faulty[faultyTarget] = true;
    await sleep(CERTAIN_MS);
    const work = [this.#clients.run(), this.#probe.run()];
    const endsAt = Date.now() + this.#options.lengthMs;
    await Promise.all([
      this.#runTrials([FleetRole.Control, FleetRole.Ledger], endsAt),
      this.#runTrials([FleetRole.Entry], endsAt),
    ]);
    this.#clients.stop();
    this.#probe.stop();
    await Promise.all(work);
    this.#options.log(
      `requests at the faulty target: ${faulty.arrivals.length}`,
    );
  }

  /** Starts machines with some roles, one after the other. */
  async #runTrials(
    roles: readonly FleetRole[],
    endsAt: number,
  ): Promise<void> {
    const random = this.#createRandom(roles.length);
    while (Date.now() < endsAt) {
      const role = pick(roles, random);
      const machine = pick(this.#fleet.machinesWithRole(role), random);
      const names = this.#pickStates(role, random);
      this.#options.log(`start ${machine.name} ${names.join("+")}`);
      this.#starts += 1;
      const trial = this.#createTrial({ machine, names, random });
      this.#trials.set(machine, trial);
      await trial.run();
      this.#trials.delete(machine);
    }
  }

  #createTrial(
    parts: Pick<StartTrialOptions, "machine" | "names" | "random">,
  ): StartTrial {
    const { machine } = parts;
    return new StartTrial({
      ...parts,
      fleet: this.#fleet,
      launcher: this.#launcher,
      net: this.#net,
      onOrdered: (process) => this.#ordered.add(process),
      restoreSettings: () =>
        this.#launcher.alter(machine, []).writeSettings(machine),
      onFinding: (text) => this.#onFinding(text, machine),
    });
  }

  /** Picks a state of a role, sometimes with another one of another kind. */
  #pickStates(role: FleetRole, random: () => number): string[] {
    const all = this.#options.states ?? Object.keys(START_STATES);
    const names = all.filter((name) => START_STATES[name].roles.includes(role));
    if (names.length === 0) return [];
    const first = pick(names, random);
    const second = pick(names, random);
    const isOverlapped = random() < OVERLAP_PROBABILITY &&
      START_STATES[first].kind !== START_STATES[second].kind;
    return isOverlapped ? [first, second] : [first];
  }

  /** Starts a process again that ended by itself, as the platform does. */
  #onEnd(machine: FleetMachine, process: StartedProcess): void {
    if (this.#isStopping || this.#ordered.has(process)) return;
    const { exitCode, signalCode } = process.child;
    const mayEnd = this.#trials.get(machine)?.mayEnd(process);
    const isTooEarly = signalCode === "SIGHUP" && process.lines.length === 0;
    if (isTooEarly) this.#earlyEnds += 1;
    const line =
      process.lines.findLast((one) => one.includes(PROCESS_FAILED)) ??
        `without a last line: ${process.lines.at(-1)}`;
    const text = `ended by itself: ${exitCode ?? signalCode} ${line}`;
    if (!isTooEarly && !mayEnd) this.#onFinding(text, machine);
    setTimeout(() => {
      const isCurrent = machine.process === process;
      if (isCurrent && !this.#isStopping) this.#fleet.start(machine);
    }, RESTART_DELAY_MS);
  }

  #onFinding(text: string, machine?: FleetMachine): void {
    const place = machine === undefined
      ? ""
      : `${machine.name} [${this.#trials.get(machine)?.name ?? "no state"}] `;
    this.#options.log(`finding ${place}${text}`);
    this.#findings.push(`${place}${text}`);
  }

  #createReplica(models: readonly string[]): FleetReplica {
    return this.#fleet.createTarget({
      service: models.length > 0 ? engines : apps,
      models,
      loadMs: 300,
    });
  }

  #createClients(): FleetClients {
    return new FleetClients({
      fleet: this.#fleet,
      checks: this.#checks,
      key: KEY,
      timeoutMs: this.#options.lengthMs + RECOVERY_TIMEOUT_MS,
      random: this.#createRandom(0),
      isServed: () => false,
      onError: (err) => this.#onFinding((err as Error).message),
      log: this.#options.log,
    });
  }

  /** Creates numbers of the seed for one of the parties of a run. */
  #createRandom(party: number): () => number {
    const generator = xoroshiro128plus(this.#options.seed * 3 + party);
    return () => uniformFloat64(generator);
  }

  async #stop(): Promise<void> {
    this.#isStopping = true;
    this.#clients.stop();
    this.#probe.stop();
    if (this.#findings.length > 0) {
      for (const line of this.#fleet.logLines) this.#options.log(line);
    }
    await this.#fleet.stop();
    for (const replica of this.#replicas) replica.crash();
  }
}

function pick<T>(all: readonly T[], random: () => number): T {
  return all[Math.floor(random() * all.length)];
}
