/** Figures at the target size, worked out from measured slopes. */
import type { Fit } from "../slopes/fit.ts";
import type { Series } from "../slopes/series.ts";
import { LIMITS, PER_DATA_CENTRE, TARGET } from "./target_size.ts";

/** Measured series, by name. */
export type SeriesByName = Readonly<Record<string, Series>>;

/** One figure of a role at the target size. */
export interface Estimate {
  /** Role. */
  readonly role: string;
  /** Figure, with its unit. */
  readonly figure: string;
  /** Value. */
  readonly value: number;
  /** Limit; undefined where none is asked for. */
  readonly limit?: number;
  /** How it is worked out. */
  readonly from: string;
  /** What carries it. */
  readonly mechanism: string;
}

const SECONDS_PER_DAY = 86_400;
const PERCENT = 100;
/** Probes of one target in a second. */
const PROBES_PER_SECOND = 1;
/** Bytes of one shared health report, as encoded. */
const HEALTH_BYTES = 110;
/** Reports of a target that are worth telling, a second, at the most. */
const HEALTH_PER_SECOND = 1 / 3;

interface Line extends Fit {
  readonly greatest: number;
}

function lineOf(series: SeriesByName, name: string, figure: string): Line {
  const fit = series[name]?.fits[figure];
  if (fit === undefined) throw new Error(`No figure ${figure} in ${name}`);
  const values = series[name].rows.map((row) => row.figures[figure]);
  return { ...fit, greatest: Math.max(...values) };
}

/** A figure that does not grow stays at the greatest that was measured. */
function at(line: Line, x: number): number {
  if (line.slope <= 0) return line.greatest;
  return Math.max(0, line.base + line.slope * x);
}

/** Gets every figure of the page. */
export function estimatesOf(series: SeriesByName): Estimate[] {
  return [
    ...entryEstimates(series),
    ...primaryEstimates(series),
    ...controlEstimates(series),
    ...timeEstimates(series),
  ];
}

function entryEstimates(series: SeriesByName): Estimate[] {
  const { instances, replicas } = PER_DATA_CENTRE;
  const idle = lineOf(series, "neighbours", "entryCore");
  const probe = lineOf(series, "targets", "core").slope;
  const probes = replicas * PROBES_PER_SECOND / instances;
  const bytes = lineOf(series, "neighbours", "entryBytesPerSecond");
  const health = HEALTH_BYTES * HEALTH_PER_SECOND * replicas / instances *
    (instances - 1);
  const request = lineOf(series, "requests", "core").slope;
  const token = lineOf(series, "tokens", "core").slope;
  const requests = TARGET.requestsPerSecond / TARGET.instances;
  const tokens = TARGET.tokensPerSecond / TARGET.instances;
  const memory = lineOf(series, "neighbours", "entryMebibytes");
  const stream = lineOf(series, "streams", "mebibytes").slope;
  const secondsPerRequest = 30;
  return [
    {
      role: "entry",
      figure: "control, % of a core",
      value: (at(idle, instances) + probe * probes) * PERCENT,
      limit: LIMITS.controlCore * PERCENT,
      from:
        "`neighbours.entryCore` at 30 + `targets.core` slope x 5.5 probes/s",
      mechanism: "one prober a target; signs of life to the view's members",
    },
    {
      role: "entry",
      figure: "control, bytes/s sent",
      value: at(bytes, instances) + health,
      limit: LIMITS.controlBytes,
      from: "`neighbours.entryBytesPerSecond` at 30 + 5.5 targets x 1/3 " +
        "report/s x 29 neighbours x 110 B",
      mechanism: "health is told on change only",
    },
    {
      role: "entry",
      figure: "memory, MiB, idle",
      value: at(memory, instances),
      limit: LIMITS.controlMebibytes,
      from: "`neighbours.entryMebibytes` at 30",
      mechanism: "the state of the control log, once an instance",
    },
    {
      role: "entry",
      figure: "requests, % of a core",
      value: request * requests * PERCENT,
      from: `\`requests.core\` slope x ${requests.toFixed(1)} requests/s`,
      mechanism: "each request stays on the instance that it came to",
    },
    {
      role: "entry",
      figure: "tokens, % of a core",
      value: token * tokens * PERCENT,
      from: `\`tokens.core\` slope x ${tokens.toFixed(0)} tokens/s`,
      mechanism: "streams are passed on chunk by chunk",
    },
    {
      role: "entry",
      figure: "open streams, MiB",
      value: stream * requests * secondsPerRequest,
      from: "`streams.mebibytes` slope x 343 open streams (30 s each)",
      mechanism: "backpressure from caller to target",
    },
  ];
}

function primaryEstimates(series: SeriesByName): Estimate[] {
  const steps = TARGET.trainers / TARGET.dataCentres;
  const samples = steps * TARGET.samplesPerStep / TARGET.stepSeconds;
  const cpu = lineOf(series, "samples", "cpuSeconds").slope;
  const memory = lineOf(series, "samples", "mebibytes");
  const { instances } = PER_DATA_CENTRE;
  const bytes = lineOf(series, "neighbours", "leaderBytesPerSecond");
  const tokensPerSample = TARGET.tokensPerSecond /
    (TARGET.requestsPerSecond);
  const token = lineOf(series, "tokens", "core").slope;
  return [
    {
      role: "ledger primary",
      figure: "samples, % of a core",
      value: samples * (cpu + tokensPerSample * token) * PERCENT,
      from:
        `\`samples.cpuSeconds\` slope x ${samples.toFixed(1)} samples/s + ` +
        "`tokens.core` slope x 354 tokens a sample",
      mechanism: "a step runs where its ledger is ordered",
    },
    {
      role: "ledger primary",
      figure: "memory, MiB, with a step of 2,048 samples",
      value: at(memory, TARGET.samplesPerStep),
      from: "`samples.mebibytes` at 2,048",
      mechanism: "acknowledged samples are freed",
    },
    {
      role: "relay (the ledger primary)",
      figure: "control, bytes/s sent",
      value: at(bytes, instances),
      limit: LIMITS.controlBytes,
      from: "`neighbours.leaderBytesPerSecond` at 30",
      mechanism: "the feed's leases and signs of life to 29 neighbours",
    },
    {
      role: "ledger backup",
      figure: "control, % of a core",
      value: at(lineOf(series, "neighbours", "followerCore"), instances) *
        PERCENT,
      limit: LIMITS.controlCore * PERCENT,
      from: "`neighbours.followerCore` at 30",
      mechanism: "records are stored in rounds, one sync a round",
    },
  ];
}

function controlEstimates(series: SeriesByName): Estimate[] {
  const changes = TARGET.changesPerDay / SECONDS_PER_DAY;
  const estimates: Estimate[] = [];
  for (const role of ["leader", "follower"]) {
    const idleCore = lineOf(series, "dataCentres", `${role}Core`);
    const changeCore = lineOf(series, "changes", `${role}Core`).slope;
    const idleBytes = lineOf(series, "dataCentres", `${role}BytesPerSecond`);
    const changeBytes =
      lineOf(series, "changes", `${role}BytesPerSecond`).slope;
    const memory = lineOf(series, "dataCentres", `${role}Mebibytes`);
    const { dataCentres } = TARGET;
    estimates.push(
      {
        role: `control ${role}`,
        figure: "% of a core",
        value: (at(idleCore, dataCentres) + changeCore * changes) * PERCENT,
        limit: LIMITS.controlCore * PERCENT,
        from: `\`dataCentres.${role}Core\` at 14 + \`changes.${role}Core\` ` +
          "slope x 0.017 changes/s",
        mechanism: "one relay a data centre; entries pushed once",
      },
      {
        role: `control ${role}`,
        figure: "bytes/s sent",
        value: at(idleBytes, dataCentres) + changeBytes * changes,
        limit: LIMITS.controlBytes,
        from: `\`dataCentres.${role}BytesPerSecond\` at 14 + slope of ` +
          "`changes` x 0.017 changes/s",
        mechanism: "heartbeats to voters, renewals of relays",
      },
      {
        role: `control ${role}`,
        figure: "memory, MiB",
        value: at(memory, dataCentres),
        limit: LIMITS.controlMebibytes,
        from: `\`dataCentres.${role}Mebibytes\` at 14`,
        mechanism: "snapshots every 512 entries",
      },
    );
  }
  return estimates;
}

function timeEstimates(series: SeriesByName): Estimate[] {
  const force = lineOf(series, "force", "forceWorstMs");
  const restart = lineOf(series, "restart", "restartMs");
  const step = lineOf(series, "samples", "stepSeconds");
  return [
    {
      role: "system",
      figure: "change in force everywhere, worst, ms",
      value: at(force, TARGET.instances),
      limit: LIMITS.forceMs,
      from: "`force.forceWorstMs` at 420, all instances on one machine",
      mechanism: "the feed's tree: leader, relays, neighbours",
    },
    {
      role: "system",
      figure: "restart with a day of changes, ms",
      value: at(restart, TARGET.changesPerDay),
      from: "`restart.restartMs` at 1,500",
      mechanism: "snapshot and the entries after it",
    },
    {
      role: "system",
      figure: "step of 2,048 samples of 64 tokens, s",
      value: at(step, TARGET.samplesPerStep),
      limit: LIMITS.stepSeconds,
      from: "`samples.stepSeconds` at 2,048, one instance",
      mechanism: "samples are numbered up to 256 a record",
    },
  ];
}
