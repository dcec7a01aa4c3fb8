/** Whether an instance serves, as seen from outside. */
import { request } from "undici";
import { FleetRole } from "../../src/core/fleet/mod.ts";
import {
  type FleetDeployment,
  type FleetMachine,
  sleep,
} from "../../tests/support/fleet_deployment.ts";
import { DEPLOYED_PORTS } from "./start_launcher.ts";

const ATTEMPT_TIMEOUT_MS = 1_000;
const ATTEMPT_INTERVAL_MS = 50;
const APPLIED_LINE = /^nutmegreel_log_applied (\d+)$/m;

type ServingCheck = (
  machine: FleetMachine,
  fleet: FleetDeployment,
) => Promise<boolean>;

/** Checks by role. */
const CHECKS: Readonly<Record<FleetRole, ServingCheck>> = {
  [FleetRole.Entry]: ({ id }) =>
    isOk(`http://${id}:${DEPLOYED_PORTS.readiness}/-/readiness`),
  [FleetRole.Control]: ({ id }) =>
    isOk(`http://${id}:${DEPLOYED_PORTS.control}/-/Config.Read`),
  [FleetRole.Ledger]: async (machine, fleet) => {
    const all = fleet.machinesWithRole(FleetRole.Ledger);
    const others = all.filter((other) => other !== machine);
    const applied = await Promise.all(others.map(getApplied));
    return await getApplied(machine) >= Math.max(...applied) - APPLIED_LAG;
  },
};
/** Entries of a log that are applied while two instances are asked. */
const APPLIED_LAG = 200;

/** Waits until an instance serves; gets whether it does so in time. */
export async function waitUntilServing(
  fleet: FleetDeployment,
  machine: FleetMachine,
  timeoutMs: number,
): Promise<boolean> {
  const endsAt = Date.now() + timeoutMs;
  while (!await CHECKS[machine.role](machine, fleet)) {
    if (Date.now() > endsAt) return false;
    await sleep(ATTEMPT_INTERVAL_MS);
  }
  return true;
}

async function isOk(url: string): Promise<boolean> {
  return await read(url) !== undefined;
}

/** Gets the number of applied log entries; -1 where it is not known. */
async function getApplied({ id }: FleetMachine): Promise<number> {
  const text = await read(`http://${id}:${DEPLOYED_PORTS.metrics}/metrics`);
  if (text !== undefined) return Number(APPLIED_LINE.exec(text)?.[1] ?? -1);
  return -1;
}

async function read(url: string): Promise<string | undefined> {
  try {
    const response = await request(url, {
      signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
    });
    const text = await response.body.text();
    return response.statusCode === 200 ? text : undefined;
  } catch {
    // The instance does not listen yet.
    return undefined;
  }
}
