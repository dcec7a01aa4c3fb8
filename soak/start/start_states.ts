/** States of a real machine in which an instance is started. */
import { execFileSync } from "node:child_process";
import { renameSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { FleetRole } from "../../src/core/fleet/mod.ts";
import { sleep } from "../../tests/support/fleet_deployment.ts";
import type { LoopbackNet } from "../../tests/support/loopback_net.ts";
import type { StartedProcess } from "../../tests/support/process_group.ts";
import { PortHolder } from "./port_holder.ts";
import { StartOutcome, type StartState } from "./start_state.ts";
import { DEPLOYED_PORTS } from "./start_launcher.ts";

const { Control, Ledger, Entry } = FleetRole;
const ALL = [Control, Ledger, Entry];
const WITH_DISK = [Control, Ledger];
/** Event of a listener whose address is in use. */
const LISTENER_WAITS = 2004;
/** Event of a log whose disk cannot be used. */
const STORE_FAILED = 1505;
/** Last octets of addresses on which no instance runs. */
const SILENT_OCTET = 200;
const ABSENT_OCTET = 210;
const LITTLE_HEAP_MB = 64;
const MIN_DESCRIPTORS = 40;
const DESCRIPTOR_SPREAD = 40;
const MAX_SIGNAL_DELAY_MS = 700;
const MAX_SIGNALS = 6;
/** Folder in which nobody can create files, root included. */
const UNWRITABLE_FOLDER = "/sys/kernel";

/** All states by name. */
export const START_STATES: Readonly<Record<string, StartState>> = {
  peerPortHeld: heldPort(DEPLOYED_PORTS.peers, ALL),
  callersPortHeld: heldPort(DEPLOYED_PORTS.callers, [Entry]),
  readinessPortHeld: heldPort(DEPLOYED_PORTS.readiness, [Entry]),
  controlPortHeld: heldPort(DEPLOYED_PORTS.control, [Control]),
  metricsPortHeld: heldPort(DEPLOYED_PORTS.metrics, ALL, StartOutcome.Serves),
  peerPortConnected: {
    ...heldPort(DEPLOYED_PORTS.peers, ALL),
    event: undefined,
    begin: async ({ machine }) => {
      const address = { host: machine.id, port: DEPLOYED_PORTS.peers };
      const holder = await new PortHolder().connectFrom(address);
      return { pass: () => holder.release() };
    },
  },
  previousRunning: {
    kind: "data",
    roles: ALL,
    outcome: StartOutcome.Waits,
    keepsPrevious: true,
    begin: ({ machine: { process: previous }, random, onOrdered }) => ({
      pass: async () => {
        if (previous === undefined) return;
        onOrdered(previous);
        previous.child.kill(random() < 0.5 ? "SIGTERM" : "SIGKILL");
        await previous.waitForExit();
      },
    }),
  },
  dataMissing: {
    kind: "data",
    roles: WITH_DISK,
    outcome: StartOutcome.Waits,
    begin: ({ machine }) => {
      rmSync(join(machine.folder, "data"), { recursive: true, force: true });
      return {};
    },
  },
  dataIsFile: replacedData(
    StartOutcome.Ends,
    (path) => writeFileSync(path, ""),
  ),
  dataUnwritable: {
    ...replacedData(
      StartOutcome.Waits,
      (path) => symlinkSync(UNWRITABLE_FOLDER, path),
    ),
    event: STORE_FAILED,
  },
  dataFull: limited("fsize", () => 0, WITH_DISK, "f"),
  seedsSilent: {
    kind: "settings",
    roles: ALL,
    outcome: StartOutcome.Waits,
    begin: async ({ net, restoreSettings }) => {
      const host = net.addressOf(SILENT_OCTET);
      const holder = await listenOrShare(host);
      return {
        settings: (all) => ({ ...all, seeds: [`${host}:1`] }),
        pass: async () => {
          restoreSettings();
          await holder?.release();
        },
      };
    },
  },
  seedsRefusing: otherSeeds((net) => [`${net.addressOf(ABSENT_OCTET)}:1`]),
  seedsAbsent: otherSeeds(() => []),
  settingsHalf: otherText((text) => text.slice(0, text.length / 2)),
  settingsEmpty: otherText(() => ""),
  slowProcessor: {
    kind: "resources",
    roles: ALL,
    outcome: StartOutcome.Waits,
    begin: () => ({ during: runInTurns }),
  },
  littleMemory: {
    kind: "resources",
    roles: ALL,
    outcome: StartOutcome.Serves,
    begin: () => ({
      command: (words) =>
        words.map((word) =>
          word.replace(/(--max-old-space-size=)\d+/, `$1${LITTLE_HEAP_MB}`)
        ),
    }),
  },
  fewDescriptors: limited(
    "nofile",
    (random) => MIN_DESCRIPTORS + Math.floor(random() * DESCRIPTOR_SPREAD),
    ALL,
    "n",
  ),
  outputClosed: {
    kind: "resources",
    roles: ALL,
    outcome: StartOutcome.Serves,
    begin: () => ({
      during: (process) => {
        process.child.stdout?.destroy();
        return Promise.resolve();
      },
    }),
  },
  outputUnread: {
    kind: "resources",
    roles: ALL,
    outcome: StartOutcome.Serves,
    begin: () => ({
      during: (process) => {
        process.child.stdout?.pause();
        return Promise.resolve();
      },
    }),
  },
  hangups: signalled(["SIGHUP"], StartOutcome.Serves),
  stops: signalled(["SIGTERM", "SIGINT", "SIGHUP"], StartOutcome.Stops),
};

function heldPort(
  port: number,
  roles: readonly FleetRole[],
  outcome: StartOutcome = StartOutcome.Waits,
): StartState {
  return {
    kind: "address",
    roles,
    outcome,
    event: LISTENER_WAITS,
    begin: async ({ machine }) => {
      const holder = await new PortHolder().listen({ host: machine.id, port });
      return { pass: () => holder.release() };
    },
  };
}

/** Puts something in the place of the data folder until the state passes. */
function replacedData(
  outcome: StartOutcome,
  replace: (path: string) => void,
): StartState {
  return {
    kind: "data",
    roles: WITH_DISK,
    outcome,
    begin: ({ machine }) => {
      const path = join(machine.folder, "data");
      renameSync(path, `${path}.kept`);
      replace(path);
      return {
        pass: () => {
          rmSync(path, { recursive: true, force: true });
          renameSync(`${path}.kept`, path);
        },
      };
    },
  };
}

/** Limits a resource of the process until the state passes. */
function limited(
  resource: string,
  getLimit: (random: () => number) => number,
  roles: readonly FleetRole[],
  flag: string,
): StartState {
  return {
    kind: resource === "fsize" ? "data" : "resources",
    roles,
    outcome: StartOutcome.Waits,
    begin: ({ machine, random }) => ({
      command: (words) => [
        "sh",
        "-c",
        `ulimit -S -${flag} ${getLimit(random)}; exec ${words.join(" ")}`,
      ],
      pass: () => {
        const pid = machine.process?.child.pid;
        if (pid === undefined || machine.process?.child.exitCode !== null) {
          return;
        }
        execFileSync("prlimit", [
          "--pid",
          String(pid),
          `--${resource}=${resource === "fsize" ? "unlimited" : "4096:"}`,
        ]);
      },
    }),
  };
}

function otherSeeds(getSeeds: (net: LoopbackNet) => string[]): StartState {
  return {
    kind: "settings",
    roles: ALL,
    outcome: StartOutcome.Waits,
    begin: ({ net, restoreSettings }) => ({
      settings: (all) => ({ ...all, seeds: getSeeds(net) }),
      pass: restoreSettings,
    }),
  };
}

function otherText(change: (text: string) => string): StartState {
  return {
    kind: "settings",
    roles: ALL,
    outcome: StartOutcome.Ends,
    begin: ({ restoreSettings }) => ({ text: change, pass: restoreSettings }),
  };
}

/** Sends signals from the start on, at random moments. */
function signalled(
  signals: readonly NodeJS.Signals[],
  outcome: StartOutcome,
): StartState {
  return {
    kind: "signal",
    roles: ALL,
    outcome,
    begin: ({ random, onOrdered }) => ({
      during: async (process) => {
        if (outcome === StartOutcome.Stops) onOrdered(process);
        const count = 1 + Math.floor(random() * MAX_SIGNALS);
        for (let i = 0; i < count; i += 1) {
          await sleep(random() * MAX_SIGNAL_DELAY_MS);
          process.child.kill(signals[i % signals.length]);
        }
      },
    }),
  };
}

/** Lets a process run for a fifth of the time. */
async function runInTurns(
  { child }: StartedProcess,
  durationMs: number,
): Promise<void> {
  for (const endsAt = Date.now() + durationMs; Date.now() < endsAt;) {
    child.kill("SIGSTOP");
    await sleep(80);
    child.kill("SIGCONT");
    await sleep(20);
  }
}

async function listenOrShare(host: string): Promise<PortHolder | undefined> {
  try {
    return await new PortHolder().listen({ host, port: DEPLOYED_PORTS.peers });
  } catch {
    // Another machine's state holds it already.
    return undefined;
  }
}
