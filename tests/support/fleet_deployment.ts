/** A fleet of real processes on loopback, and its operator. */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { FleetRole } from "../../src/core/fleet/mod.ts";
import type { LoopbackNet } from "./loopback_net.ts";
import { ProcessGroup, type StartedProcess } from "./process_group.ts";

/** Options of {@link FleetDeployment}. */
export interface FleetDeploymentOptions {
  /** Addresses of the machines; the deployment releases them at its end. */
  readonly net: LoopbackNet;
  readonly controls: number;
  readonly ledgers: number;
  readonly entries: number;
  /** Address of the receiver of usage and orders. */
  readonly receiver?: string;
  /** Whether a proxy stands before each instance's port for the others. */
  readonly isProxied?: boolean;
}

/** An instance of the deployment. */
export interface FleetMachine {
  readonly name: string;
  readonly role: FleetRole;
  readonly id: string;
  readonly zone: string;
  readonly folder: string;
  process: StartedProcess | undefined;
}

const PEER_PORT = 17_000;
const PEER_LISTEN_PORT = 17_010;
const CALLERS_PORT = 17_001;
const READINESS_PORT = 17_002;
const CONTROL_PORT = 17_003;
const ZONES = ["a", "b", "c"];
const ATTEMPT_MS = 1_000;
const PAUSE_MS = 100;
const READY_TIMEOUT_MS = 20_000;

/** Number of the first machine of each role within the net. */
const FIRST_NUMBER: Readonly<Record<FleetRole, number>> = {
  [FleetRole.Control]: 10,
  [FleetRole.Ledger]: 30,
  [FleetRole.Entry]: 50,
};

/** Owns the processes and folders of a fleet. */
export class FleetDeployment {
  readonly machines: readonly FleetMachine[];
  readonly #options: FleetDeploymentOptions;
  readonly #group = new ProcessGroup();
  readonly #folder = mkdtempSync(join(tmpdir(), "fleet-"));

  /** Creates a deployment whose processes do not run yet. */
  constructor(options: FleetDeploymentOptions) {
    this.#options = options;
    const { controls, ledgers, entries } = options;
    this.machines = [
      ...this.#createMachines(FleetRole.Control, controls),
      ...this.#createMachines(FleetRole.Ledger, ledgers),
      ...this.#createMachines(FleetRole.Entry, entries),
    ];
  }

  /** Gets the machines of a role. */
  of(role: FleetRole): FleetMachine[] {
    return this.machines.filter((machine) => machine.role === role);
  }

  /** Gets the addresses for operators and targets. */
  get controls(): string[] {
    return this.of(FleetRole.Control).map(({ id }) => `${id}:${CONTROL_PORT}`);
  }

  /** Gets the addresses for callers. */
  get entries(): string[] {
    return this.of(FleetRole.Entry).map(({ id }) => `${id}:${CALLERS_PORT}`);
  }

  /** Starts all machines for the first time and waits until callers may come. */
  async startAll(policy: unknown): Promise<void> {
    for (const machine of this.machines) this.start(machine, true);
    await this.putPolicy(policy, READY_TIMEOUT_MS);
    await this.waitReady();
  }

  /** Starts the process of a machine. */
  start(machine: FleetMachine, isFirstStart = false): void {
    const file = join(machine.folder, "settings.json");
    mkdirSync(machine.folder, { recursive: true });
    writeFileSync(file, JSON.stringify(this.#settings(machine, isFirstStart)));
    machine.process = this.#group.start("fleet", [], {
      NUTMEGREEL_SETTINGS: file,
    });
  }

  /** Sends a signal to the process of a machine. */
  signal(machine: FleetMachine, signal: NodeJS.Signals): void {
    machine.process?.child.kill(signal);
  }

  /** Kills the process of a machine and waits for its end. */
  async kill(machine: FleetMachine): Promise<void> {
    const { process } = machine;
    if (process === undefined) return;
    machine.process = undefined;
    process.child.kill("SIGKILL");
    await process.ended();
  }

  /** Takes away what a machine has stored. */
  wipe(machine: FleetMachine): void {
    rmSync(join(machine.folder, "data"), { recursive: true, force: true });
  }

  /** Waits until every entry instance takes callers. */
  async waitReady(): Promise<void> {
    const endsAt = Date.now() + READY_TIMEOUT_MS;
    for (const { id, name } of this.of(FleetRole.Entry)) {
      while (!await isReady(`http://${id}:${READINESS_PORT}/-/readiness`)) {
        if (Date.now() > endsAt) throw new Error(`${name} is not ready`);
        await sleep(PAUSE_MS);
      }
    }
  }

  /** Sends a policy until it is acknowledged. */
  async putPolicy(policy: unknown, timeoutMs: number): Promise<void> {
    await this.ask("POST", "/-/Config.Replace", { body: policy, timeoutMs });
  }

  /** Reads the policy in force. */
  async readPolicy(timeoutMs: number): Promise<unknown> {
    const text = await this.ask("GET", "/-/Config.Read", { timeoutMs });
    return JSON.parse(text);
  }

  /**
   * Asks control instances in turn until one succeeds.
   * @throws Error where none does in time, or the question is refused.
   */
  async ask(
    method: "GET" | "POST",
    path: string,
    options: { body?: unknown; timeoutMs: number },
  ): Promise<string> {
    const endsAt = Date.now() + options.timeoutMs;
    let last = "nobody answered";
    for (let i = 0; Date.now() < endsAt; i += 1) {
      const control = this.controls[i % this.controls.length];
      try {
        const answer = await request(`http://${control}${path}`, {
          method,
          body: options.body === undefined
            ? null
            : JSON.stringify(options.body),
          signal: AbortSignal.timeout(ATTEMPT_MS),
        });
        const text = await answer.body.text();
        if (answer.statusCode === 200) return text;
        last = `${answer.statusCode} ${text}`;
        if (answer.statusCode < 500) break;
      } catch (err) {
        last = (err as Error).message;
      }
      await sleep(PAUSE_MS);
    }
    throw new Error(`${method} ${path}: ${last}`);
  }

  /** Ends all processes and removes what they stored. */
  async stop(): Promise<void> {
    await this.#group.stop();
    this.#options.net.release();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Gets all lines that were logged. */
  get lines(): string[] {
    return this.machines.flatMap((m) => [...m.process?.lines ?? []]);
  }

  #createMachines(role: FleetRole, count: number): FleetMachine[] {
    return Array.from({ length: count }, (_, i) => ({
      name: `${role}-${i + 1}`,
      role,
      id: this.#options.net.addressOf(FIRST_NUMBER[role] + i),
      zone: ZONES[i % ZONES.length],
      folder: join(this.#folder, `${role}-${i + 1}`),
      process: undefined,
    }));
  }

  #settings(machine: FleetMachine, isFirstStart: boolean): unknown {
    const { id, name, zone, role, folder } = machine;
    const { receiver, isProxied } = this.#options;
    return {
      id,
      name,
      dataCentre: zone,
      role,
      peerPort: PEER_PORT,
      ...(isProxied ? { peerListenPort: PEER_LISTEN_PORT } : {}),
      seeds: this.controls.slice(0, 3),
      isFirstStart,
      tolerance: 1,
      ...(role === FleetRole.Entry ? {} : { dataFolder: join(folder, "data") }),
      listen: {
        callers: role === FleetRole.Entry ? `${id}:${CALLERS_PORT}` : "",
        readiness: role === FleetRole.Entry ? `${id}:${READINESS_PORT}` : "",
        control: role === FleetRole.Control ? `${id}:${CONTROL_PORT}` : "",
      },
      ...(receiver === undefined ? {} : {
        receiver: { address: receiver, callsPerS: 50, duties: ["usage"] },
      }),
      times: {
        revokeMs: 5_000,
        reportIntervalMs: 300,
        graceS: 8,
        usageWindowS: 2,
        usageDueS: 4,
        keepResultsS: 120,
        contactMs: 3_000,
      },
    };
  }
}

/** Port of an instance that others dial, and the one that it listens on. */
export const PROXIED_PORTS = {
  dialled: PEER_PORT,
  listened: PEER_LISTEN_PORT,
} as const;

async function isReady(url: string): Promise<boolean> {
  try {
    const answer = await request(url, {
      signal: AbortSignal.timeout(ATTEMPT_MS),
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    // It does not listen yet.
    return false;
  }
}

/** Waits for a time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
