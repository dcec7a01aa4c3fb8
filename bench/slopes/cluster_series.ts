/** Series over several instances: neighbours, data centres, changes. */
import { type Member, TestCluster } from "../../tests/support/cluster.ts";
import { PLANNER_DOCUMENT } from "../../tests/support/deployment.ts";
import { percentile } from "../figures.ts";
import { coreShare, type ProcessUsage, usageOf } from "./process_usage.ts";
import type { Figures, SeriesOptions } from "./series.ts";

/** Options of the series. */
export interface SlopeOptions {
  /** Length of each measure, in milliseconds. */
  readonly measureMs: number;
}

const MEBIBYTE = 1_048_576;
const SETTLE_MS = 4_000;
const CONTROLS = 3;

interface Sample {
  readonly usage: ProcessUsage;
  readonly sentBytes: number;
}

interface RoleFigures {
  readonly core: number;
  readonly bytes: number;
  readonly mebibytes: number;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function sampleOf(cluster: TestCluster, id: string): Promise<Sample> {
  const { metrics } = await cluster.status(id);
  const pid = cluster.of(id).child.pid ?? 0;
  return { usage: usageOf(pid), sentBytes: metrics["peers.sentBytes"] ?? 0 };
}

async function measureRoles(
  cluster: TestCluster,
  options: {
    members: readonly Member[];
    measureMs: number;
    during?: () => Promise<void>;
  },
): Promise<Record<string, RoleFigures>> {
  const leader = await cluster.leader();
  const { view } = await cluster.status(leader);
  const primary = view?.primary.split("#")[0];
  const before = new Map<string, Sample>();
  for (const { id } of options.members) {
    before.set(id, await sampleOf(cluster, id));
  }
  const until = sleep(options.measureMs);
  await options.during?.();
  await until;
  const roles: Record<string, RoleFigures[]> = {};
  for (const member of options.members) {
    const from = before.get(member.id);
    const to = await sampleOf(cluster, member.id);
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
      bytes: (to.sentBytes - from.sentBytes) / seconds,
      mebibytes: to.usage.residentBytes / MEBIBYTE,
    });
  }
  return Object.fromEntries(
    Object.entries(roles).map(([role, all]) => [role, meanOf(all)]),
  );
}

function meanOf(all: readonly RoleFigures[]): RoleFigures {
  const mean = (pick: (f: RoleFigures) => number) =>
    all.reduce((sum, f) => sum + pick(f), 0) / all.length;
  return {
    core: mean((f) => f.core),
    bytes: mean((f) => f.bytes),
    mebibytes: mean((f) => f.mebibytes),
  };
}

function flatten(roles: Record<string, RoleFigures>): Figures {
  const figures: Record<string, number> = {};
  for (const role of ["leader", "follower", "entry"]) {
    const found = roles[role];
    if (found === undefined) continue;
    figures[`${role}Core`] = found.core;
    figures[`${role}BytesPerSecond`] = found.bytes;
    figures[`${role}Mebibytes`] = found.mebibytes;
  }
  return figures;
}

function documentOf(dataCentres: readonly string[]): Record<string, unknown> {
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
  members: readonly Member[],
  run: (cluster: TestCluster) => Promise<T>,
): Promise<T> {
  const names = [...new Set(members.map((member) => member.dataCentre))];
  const cluster = await TestCluster.start({
    members,
    document: documentOf(names),
    hasRelays: false,
  });
  try {
    await sleep(SETTLE_MS);
    return await run(cluster);
  } finally {
    await cluster.stop();
  }
}

function membersIn(
  count: number,
  dataCentreOf: (i: number) => string,
): Member[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `i${i}`,
    dataCentre: dataCentreOf(i),
    control: i < CONTROLS,
  }));
}

/** Idle cost against the instances of one data centre. */
export function neighbourSeries(options: SlopeOptions): SeriesOptions {
  return {
    name: "neighbours",
    size: "instances in one data centre",
    sizes: [4, 8, 12, 16, 20],
    measure: (x) => {
      const members = membersIn(x, () => "dc-0");
      return withCluster(
        members,
        async (cluster) =>
          flatten(await measureRoles(cluster, { members, ...options })),
      );
    },
  };
}

/** Idle cost against the data centres, each with two instances. */
export function dataCentreSeries(options: SlopeOptions): SeriesOptions {
  return {
    name: "dataCentres",
    size: "data centres of two instances",
    sizes: [2, 4, 6, 8, 10],
    measure: (x) => {
      const members = membersIn(
        CONTROLS + 2 * x,
        (i) => `dc-${i < CONTROLS ? i : Math.floor((i - CONTROLS) / 2) + 3}`,
      );
      return withCluster(
        members,
        async (cluster) =>
          flatten(await measureRoles(cluster, { members, ...options })),
      );
    },
  };
}

const CHANGE_INSTANCES = 8;

/** Cost of changes, and the time until they are in force. */
export function changeSeries(options: SlopeOptions): SeriesOptions {
  return {
    name: "changes",
    size: "changes a second, 8 instances",
    sizes: [0, 2, 4, 6, 8, 10],
    measure: (rate) => {
      const members = membersIn(CHANGE_INSTANCES, (i) => `dc-${i % 4}`);
      return withCluster(members, async (cluster) => {
        const times: number[] = [];
        const roles = await measureRoles(cluster, {
          members,
          ...options,
          during: () => changeFor(cluster, { rate, times, ...options }),
        });
        return {
          ...flatten(roles),
          forceMedianMs: percentile(times, 50),
          forceWorstMs: Math.max(0, ...times),
        };
      });
    },
  };
}

async function changeFor(
  cluster: TestCluster,
  options: { rate: number; times: number[]; measureMs: number },
): Promise<void> {
  const { rate, times, measureMs } = options;
  if (rate === 0) return;
  const leader = await cluster.leader();
  const end = performance.now() + measureMs;
  const running: Promise<void>[] = [];
  for (let i = 0; performance.now() < end; i += 1) {
    running.push(changeOnce(cluster, { leader, i, times }));
    await sleep(1_000 / rate);
  }
  await Promise.all(running);
}

async function changeOnce(
  cluster: TestCluster,
  options: { leader: string; i: number; times: number[] },
): Promise<void> {
  const { leader, i, times } = options;
  const startedAt = performance.now();
  const { isInForce } = await cluster.operator(leader, "keys", {
    method: "POST",
    body: { id: `key-${i}`, workspace: "artis" },
  });
  if (isInForce !== true) return;
  times.push(performance.now() - startedAt);
}

/** Time until a change is in force, against the instances. */
export function forceSeries(): SeriesOptions {
  return {
    name: "force",
    size: "instances in four data centres",
    sizes: [4, 8, 12, 16, 20, 24],
    measure: (x) => {
      const members = membersIn(x, (i) => `dc-${i % 4}`);
      return withCluster(members, async (cluster) => {
        const times: number[] = [];
        const leader = await cluster.leader();
        for (let i = 0; i < 30; i += 1) {
          await changeOnce(cluster, { leader, i, times });
        }
        return {
          forceMedianMs: percentile(times, 50),
          forceWorstMs: Math.max(...times),
        };
      });
    },
  };
}

/** Time of a restart and of a fail-over, against the changes before it. */
export function restartSeries(): SeriesOptions {
  return {
    name: "restart",
    size: "changes in the control log",
    sizes: [50, 250, 500, 1_000, 2_000],
    measure: (x) => {
      const members = membersIn(CONTROLS, (i) => `dc-${i}`);
      return withCluster(members, async (cluster) => {
        const leader = await cluster.leader();
        await fill(cluster, { leader, changes: x });
        const killedAt = performance.now();
        cluster.of(leader).child.kill("SIGKILL");
        const next = await cluster.leader([leader]);
        const failoverMs = performance.now() - killedAt;
        const { applied } = await cluster.status(next);
        const startedAt = performance.now();
        await cluster.startOne(leader);
        await cluster.until(async () => {
          const status = await cluster.status(leader);
          return status.hasLease && status.applied >= applied || undefined;
        });
        return { restartMs: performance.now() - startedAt, failoverMs };
      });
    },
  };
}

/** Announcements of weights are small and need no confirmation. */
async function fill(
  cluster: TestCluster,
  options: { leader: string; changes: number },
): Promise<void> {
  const { leader, changes } = options;
  const lanes = 20;
  const url = cluster.of(leader).url;
  let next = 1;
  const lane = async () => {
    while (next <= changes) {
      const version = next;
      next += 1;
      await cluster.trainer(url, "v1/weights", { model: "planner", version });
    }
  };
  await Promise.all(Array.from({ length: lanes }, lane));
}
