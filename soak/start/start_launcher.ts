/** Starts processes as the platform does, in altered surroundings. */
import { writeFileSync } from "node:fs";
import {
  FLEET_PROGRAM,
  type FleetMachine,
} from "../../tests/support/fleet_deployment.ts";
import type {
  FleetLauncher,
  LaunchInput,
} from "../../tests/support/fleet_launcher.ts";
import type { StartedProcess } from "../../tests/support/process_group.ts";
import { FleetRole } from "../../src/core/fleet/mod.ts";
import { DeployFile } from "./deploy_file.ts";
import type { PlainSettings } from "./settings_template.ts";

/** What differs at a start from the platform's way. */
export interface StartAlteration {
  /** Changes the settings before they are rendered. */
  readonly settings?: (settings: PlainSettings) => PlainSettings;
  /** Changes the text of the settings file. */
  readonly text?: (text: string) => string;
  /** Changes the command. */
  readonly command?: (command: readonly string[]) => readonly string[];
}

/** Ports of the platform's machines. */
export const DEPLOYED_PORTS = {
  peers: 7660,
  callers: 8405,
  readiness: 8406,
  control: 8407,
  metrics: 9464,
} as const;

/** Starts the commands of the deploy file, and tells of each end. */
export class StartLauncher implements FleetLauncher {
  readonly ports = DEPLOYED_PORTS;
  readonly #deployFile = new DeployFile();
  readonly #alterations = new Map<FleetMachine, readonly StartAlteration[]>();
  readonly #inputs = new Map<FleetMachine, LaunchInput>();
  readonly #onEnd: (machine: FleetMachine, process: StartedProcess) => void;

  /** Creates a launcher that calls a listener after the end of any process. */
  constructor(
    onEnd: (machine: FleetMachine, process: StartedProcess) => void,
  ) {
    this.#onEnd = onEnd;
  }

  /** Sets what differs at the next starts of a machine. */
  alter(machine: FleetMachine, alterations: readonly StartAlteration[]): this {
    this.#alterations.set(machine, alterations);
    return this;
  }

  /** Writes the settings of a machine that was started before. */
  writeSettings(machine: FleetMachine): void {
    const input = this.#inputs.get(machine);
    if (input !== undefined) this.#write(input);
  }

  launch(input: LaunchInput): StartedProcess {
    const { machine, group, file } = input;
    this.#inputs.set(machine, input);
    this.#write(input);
    const words = this.#deployFile.commandOf(machine.role);
    if (machine.program !== FLEET_PROGRAM) {
      words.splice(-1, 1, `dist/${machine.program}.mjs`);
    }
    const command = this.#alterationsOf(machine)
      .reduce<readonly string[]>(
        (all, { command }) => command?.(all) ?? all,
        words,
      );
    const { PATH, HOME } = process.env;
    const env = { PATH, HOME, NUTMEGREEL_SETTINGS: file };
    const started = group.startCommand(command, env);
    started.waitForExit().then(() => this.#onEnd(machine, started));
    return started;
  }

  #write(input: LaunchInput): void {
    const alterations = this.#alterationsOf(input.machine);
    const settings = alterations.reduce<PlainSettings>(
      (all, { settings }) => settings?.(all) ?? all,
      plainSettingsOf(input),
    );
    const text = alterations.reduce(
      (all, { text }) => text?.(all) ?? all,
      this.#deployFile.render(input.machine.role, settings),
    );
    writeFileSync(input.file, text);
  }

  #alterationsOf(machine: FleetMachine): readonly StartAlteration[] {
    return this.#alterations.get(machine) ?? [];
  }
}

/** Gets what the platform knows of a machine. */
function plainSettingsOf(input: LaunchInput): PlainSettings {
  const { machine, seeds, isFirstStart, receiver } = input;
  const { id, name, zone, role, folder } = machine;
  const isEntry = role === FleetRole.Entry;
  const isControl = role === FleetRole.Control;
  return {
    ip: id,
    node: name,
    zone,
    zones: { a: "region", b: "region", c: "region" },
    role,
    internalPorts: [DEPLOYED_PORTS.peers, DEPLOYED_PORTS.peers + 1],
    seeds,
    firstStart: isFirstStart,
    faultTolerance: { machines: 1 },
    dataDir: isEntry ? "" : `${folder}/data`,
    cloud: { address: receiver, dutyPerS: 50, duties: ["usage"] },
    listen: {
      front: isEntry ? `${id}:${DEPLOYED_PORTS.callers}` : "",
      ready: isEntry ? `${id}:${DEPLOYED_PORTS.readiness}` : "",
      control: isControl ? `${id}:${DEPLOYED_PORTS.control}` : "",
    },
    bounds: {
      leaseMs: 3_000,
      fencing: true,
      revokeMs: 5_000,
      graceS: 8,
      reportWindowS: 2,
      usageLateS: 4,
      statusS: 120,
      contactMs: 3_000,
    },
    heartbeatMs: 300,
  };
}
