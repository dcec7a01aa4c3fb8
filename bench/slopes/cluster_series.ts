/** Series that measure a cluster: idle cost, changes, restarts. */
import { setTimeout as sleep } from "node:timers/promises";
import {
  type ClusterMember,
  TestCluster,
} from "../../tests/support/cluster.ts";
import { PLANNER_DOCUMENT } from "../../tests/support/deployment.ts";
import { percentile } from "../figures.ts";
import {
  coreShare,
  type ProcessUsage,
  readProcessUsage,
} from "./process_usage.ts";
import type { Figures, SeriesOptions } from "./series.ts";

/** Options common to the series. */
export interface MeasureOptions {
  /** Duration of each measurement, in milliseconds. */
  readonly measureMs: number;
}

const MEBIBYTE = 1_048_576;
const SETTLE_MS = 4_000;
const CONTROL_INSTANCES = 3;

interface UsageReading {
  readonly usage: ProcessUsage;
  readonly sentBytes: number;
}

interface RoleFigures {
  readonly core: number;
  readonly bytesPerSecond: number;
  readonly mebibytes: number;
}

async function readUsage(
  cluster: TestCluster,
  id: string,
): Promise<UsageReading> {
  const { metrics } = await cluster.status(id);
  const pid = cluster.getInstanceOrThrow(id).child.pid ?? 0;
  return {
    usage: readProcessUsage(pid),
    sentBytes: metrics["peers.sentBytes"] ?? 0,
  };
}

async function measureRoles(
  cluster: TestCluster,
  options: {
    members: readonly ClusterMember[];
    measureMs: number;
    during?: () => Promise<void>;
  },
): Promise<Record<string, RoleFigures>> {
  const leader = await cluster.leader();
  const { view } = await cluster.status(leader);
  const primary = view?.primary.split("#")[0];
  const readingsBefore = new Map<string, UsageReading>();
  for (const { id } of options.members) {
    readingsBefore.set(id, await readUsage(cluster, id));
  }
  const measureEnd = sleep(options.measureMs);
  await options.during?.();
  await measureEnd;
  const roles: Record<string, RoleFigures[]> = {};
  for (const member of options.members) {
    const from = readingsBefore.get(member.id);
    const to = await readUsage(cluster, member.id);
    if (from === undefined) continue;
    const seconds = (to.usage.at - from.usage.at) / 1_000;
    const role = member.id === leader
      ? "leader"
      : member.control
      ? "follower"
      : member.id === primary
      ? "primary"
      : "entry";
    roles[role] ??= [];
    roles[role].push({
      core: coreShare(from.usage, to.usage),
      bytesPerSecond: (to.sentBytes - from.sentBytes) / seconds,
      mebibytes: to.usage.residentBytes / MEBIBYTE,
    });
  }
  return Object.fromEntries(
    Object.entries(roles).map(([role, figures]) => [
      role,
      meanRoleFigures(figures),
    ]),
  );
}

function meanRoleFigures(figures: readonly RoleFigures[]): RoleFigures {
  const mean = (getValue: (f: RoleFigures) => number) =>
    figures.reduce((sum, f) => sum + getValue(f), 0) / figures.length;
  return {
    core: mean((f) => f.core),
    bytesPerSecond: mean((f) => f.bytesPerSecond),
    mebibytes: mean((f) => f.mebibytes),
  };
}

function flattenRoles(roles: Record<string, RoleFigures>): Figures {
  const figures: Record<string, number> = {};
  for (const role of ["leader", "follower", "entry"]) {
    const roleFigures = roles[role];
    if (roleFigures === undefined) continue;
    figures[`${role}Core`] = roleFigures.core;
    figures[`${role}BytesPerSecond`] = roleFigures.bytesPerSecond;
    figures[`${role}Mebibytes`] = roleFigures.mebibytes;
  }
  return figures;
}

function createConfiguration(
  dataCentres: readonly string[],
): Record<string, unknown> {
  return {
    ...PLANNER_DOCUMENT,
    workspaces: { artis: {}, blijdorp: {} },
    zones: Object.fromEntries(dataCentres.map((dataCentre) => [
      `${dataCentre}a`,
      { dataCentre, region: "r", lasting: true, pricePerHour: 1 },
    ])),
  };
}

async function withCluster<T>(
  members: readonly ClusterMember[],
  run: (cluster: TestCluster) => Promise<T>,
): Promise<T> {
  const dataCentres = [...new Set(members.map((member) => member.dataCentre))];
  const cluster = await TestCluster.start({
    members,
    document: createConfiguration(dataCentres),
    hasRelays: false,
  });
  try {
    await sleep(SETTLE_MS);
    return await run(cluster);
  } finally {
    await cluster.stop();
  }
}

function createMembers(
  count: number,
  dataCentreOf: (i: number) => string,
): ClusterMember[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `i${i}`,
    dataCentre: dataCentreOf(i),
    control: i < CONTROL_INSTANCES,
  }));
}

/** Measures idle cost against the number of instances in one data centre. */
export function neighbourSeries(options: MeasureOptions): SeriesOptions {
  return {
    name: "neighbours",
    size: "instances in one data centre",
    sizes: [4, 8, 12, 16, 20],
    measure: (x) => {
      const members = createMembers(x, () => "dc-0");
      return withCluster(
        members,
        async (cluster) =>
          flattenRoles(await measureRoles(cluster, { members, ...options })),
      );
    },
  };
}

/** Measures idle cost against the number of data centres of two instances. */
export function dataCentreSeries(options: MeasureOptions): SeriesOptions {
  return {
    name: "dataCentres",
    size: "data centres of two instances",
    sizes: [2, 4, 6, 8, 10],
    measure: (x) => {
      const members = createMembers(
        CONTROL_INSTANCES + 2 * x,
        (i) =>
          `dc-${
            i < CONTROL_INSTANCES
              ? i
              : Math.floor((i - CONTROL_INSTANCES) / 2) + 3
          }`,
      );
      return withCluster(
        members,
        async (cluster) =>
          flattenRoles(await measureRoles(cluster, { members, ...options })),
      );
    },
  };
}

const CHANGE_INSTANCES = 8;

/** Measures the cost of changes and the time until they are in force. */
export function changeSeries(options: MeasureOptions): SeriesOptions {
  return {
    name: "changes",
    size: "changes a second, 8 instances",
    sizes: [0, 2, 4, 6, 8, 10],
    measure: (rate) => {
      const members = createMembers(CHANGE_INSTANCES, (i) => `dc-${i % 4}`);
      return withCluster(members, async (cluster) => {
        const durationsMs: number[] = [];
        const roles = await measureRoles(cluster, {
          members,
          ...options,
          during: () => runChanges(cluster, { rate, durationsMs, ...options }),
        });
        return {
          ...flattenRoles(roles),
          forceMedianMs: percentile(durationsMs, 50),
          forceWorstMs: Math.max(0, ...durationsMs),
        };
      });
    },
  };
}

async function runChanges(
  cluster: TestCluster,
  options: { rate: number; durationsMs: number[]; measureMs: number },
): Promise<void> {
  const { rate, durationsMs, measureMs } = options;
  if (rate === 0) return;
  const leader = await cluster.leader();
  const end = performance.now() + measureMs;
  const running: Promise<void>[] = [];
  for (let i = 0; performance.now() < end; i += 1) {
    running.push(measureChange(cluster, { leader, i, durationsMs }));
    await sleep(1_000 / rate);
  }
  await Promise.all(running);
}

async function measureChange(
  cluster: TestCluster,
  options: { leader: string; i: number; durationsMs: number[] },
): Promise<void> {
  const { leader, i, durationsMs } = options;
  const startedAt = performance.now();
  const { isInForce } = await cluster.sendOperatorRequest(leader, "keys", {
    method: "POST",
    body: { id: `key-${i}`, workspace: "artis" },
  });
  if (isInForce !== true) return;
  durationsMs.push(performance.now() - startedAt);
}

/** Measures the time until a change is in force, against the cluster size. */
export function forceSeries(): SeriesOptions {
  return {
    name: "force",
    size: "instances in four data centres",
    sizes: [4, 8, 12, 16, 20, 24],
    measure: (x) => {
      const members = createMembers(x, (i) => `dc-${i % 4}`);
      return withCluster(members, async (cluster) => {
        const durationsMs: number[] = [];
        const leader = await cluster.leader();
        for (let i = 0; i < 30; i += 1) {
          await measureChange(cluster, { leader, i, durationsMs });
        }
        return {
          forceMedianMs: percentile(durationsMs, 50),
          forceWorstMs: Math.max(...durationsMs),
        };
      });
    },
  };
}

/** Measures restart and failover times against the length of the log. */
export function restartSeries(): SeriesOptions {
  return {
    name: "restart",
    size: "changes in the control log",
    sizes: [50, 250, 500, 1_000, 2_000],
    measure: (x) => {
      const members = createMembers(CONTROL_INSTANCES, (i) => `dc-${i}`);
      return withCluster(members, async (cluster) => {
        const leader = await cluster.leader();
        await fillControlLog(cluster, { leader, changes: x });
        const killedAt = performance.now();
        cluster.getInstanceOrThrow(leader).child.kill("SIGKILL");
        const newLeader = await cluster.leader([leader]);
        const failoverMs = performance.now() - killedAt;
        const { applied } = await cluster.status(newLeader);
        const startedAt = performance.now();
        await cluster.startInstance(leader);
        await cluster.waitUntil(async () => {
          const status = await cluster.status(leader);
          return status.hasLease && status.applied >= applied || undefined;
        });
        return { restartMs: performance.now() - startedAt, failoverMs };
      });
    },
  };
}

/**
 * Fills the control log with announcements of weights, which are small and
 * need no confirmation.
 */
async function fillControlLog(
  cluster: TestCluster,
  options: { leader: string; changes: number },
): Promise<void> {
  const { leader, changes } = options;
  const workers = 20;
  const url = cluster.getInstanceOrThrow(leader).url;
  let next = 1;
  const announceUntilDone = async () => {
    while (next <= changes) {
      const version = next;
      next += 1;
      await cluster.sendTrainerRequest(url, "v1/weights", {
        model: "planner",
        version,
      });
    }
  };
  await Promise.all(Array.from({ length: workers }, announceUntilDone));
}
