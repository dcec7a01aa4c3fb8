/** Estimates of resource use at the target size, from measured slopes. */
import type { Fit } from "../slopes/fit.ts";
import type { Series } from "../slopes/series.ts";
import { LIMITS, PER_DATA_CENTRE, TARGET_SIZE } from "./target_size.ts";

/** Measured series, by name. */
export type SeriesByName = Readonly<Record<string, Series>>;

/** One estimated figure of a role at the target size; a row of the table. */
export interface Estimate {
  readonly role: string;
  /** Name of the figure, with its unit. */
  readonly figure: string;
  readonly value: number;
  /** Maximum value; undefined if none is required. */
  readonly limit?: number;
  /** Series and slopes from which the value is derived. */
  readonly from: string;
  /** Mechanism that bounds the value. */
  readonly mechanism: string;
}

const SECONDS_PER_DAY = 86_400;
const PERCENT = 100;
/** Rate of health probes of one target. */
const PROBES_PER_SECOND_PER_TARGET = 1;
/** Encoded size of one health report between instances. */
const HEALTH_REPORT_BYTES = 110;
/** Maximum rate at which health changes of one target are published. */
const HEALTH_REPORTS_PER_SECOND_PER_TARGET = 1 / 3;

interface MeasuredLine extends Fit {
  /** Maximum value among the measured sizes. */
  readonly maxMeasured: number;
}

function getLine(
  series: SeriesByName,
  name: string,
  figure: string,
): MeasuredLine {
  const fit = series[name]?.fits[figure];
  if (fit === undefined) {
    throw new Error(`Figure ${figure} not found in measured series ${name}`);
  }
  const values = series[name].rows.map((row) => row.figures[figure]);
  return { ...fit, maxMeasured: Math.max(...values) };
}

/**
 * Gets the figure at a size. A figure that does not grow with the size is
 * estimated by its measured maximum.
 */
function valueAt(line: MeasuredLine, x: number): number {
  if (line.slope <= 0) return line.maxMeasured;
  return Math.max(0, line.base + line.slope * x);
}

/** Creates every estimate of the page, in the order of its table. */
export function createEstimates(series: SeriesByName): Estimate[] {
  return [
    ...entryEstimates(series),
    ...primaryEstimates(series),
    ...controlEstimates(series),
    ...timeEstimates(series),
  ];
}

function entryEstimates(series: SeriesByName): Estimate[] {
  const { instances, replicas } = PER_DATA_CENTRE;
  const idleCore = getLine(series, "neighbours", "entryCore");
  const corePerProbe = getLine(series, "targets", "core").slope;
  const probesPerSecond = replicas * PROBES_PER_SECOND_PER_TARGET / instances;
  const idleBytes = getLine(series, "neighbours", "entryBytesPerSecond");
  const healthBytes = HEALTH_REPORT_BYTES *
    HEALTH_REPORTS_PER_SECOND_PER_TARGET *
    replicas / instances *
    (instances - 1);
  const corePerRequest = getLine(series, "requests", "core").slope;
  const corePerToken = getLine(series, "tokens", "core").slope;
  const requestsPerSecond = TARGET_SIZE.requestsPerSecond /
    TARGET_SIZE.instances;
  const tokensPerSecond = TARGET_SIZE.tokensPerSecond / TARGET_SIZE.instances;
  const memory = getLine(series, "neighbours", "entryMebibytes");
  const mebibytesPerStream = getLine(series, "streams", "mebibytes").slope;
  const secondsPerRequest = 30;
  return [
    {
      role: "entry",
      figure: "control, % of a core",
      value: (valueAt(idleCore, instances) + corePerProbe * probesPerSecond) *
        PERCENT,
      limit: LIMITS.controlCoreShare * PERCENT,
      from:
        "`neighbours.entryCore` at 30 + `targets.core` slope x 5.5 probes/s",
      mechanism: "one prober a target; heartbeats to the view's members",
    },
    {
      role: "entry",
      figure: "control, bytes/s sent",
      value: valueAt(idleBytes, instances) + healthBytes,
      limit: LIMITS.controlBytesPerSecond,
      from: "`neighbours.entryBytesPerSecond` at 30 + 5.5 targets x 1/3 " +
        "report/s x 29 neighbours x 110 B",
      mechanism: "health is published on change only",
    },
    {
      role: "entry",
      figure: "memory, MiB, idle",
      value: valueAt(memory, instances),
      limit: LIMITS.controlMebibytes,
      from: "`neighbours.entryMebibytes` at 30",
      mechanism: "the state of the control log, once an instance",
    },
    {
      role: "entry",
      figure: "requests, % of a core",
      value: corePerRequest * requestsPerSecond * PERCENT,
      from: `\`requests.core\` slope x ${
        requestsPerSecond.toFixed(1)
      } requests/s`,
      mechanism: "each request stays on the instance that it came to",
    },
    {
      role: "entry",
      figure: "tokens, % of a core",
      value: corePerToken * tokensPerSecond * PERCENT,
      from: `\`tokens.core\` slope x ${tokensPerSecond.toFixed(0)} tokens/s`,
      mechanism: "streams are passed on chunk by chunk",
    },
    {
      role: "entry",
      figure: "open streams, MiB",
      value: mebibytesPerStream * requestsPerSecond * secondsPerRequest,
      from: "`streams.mebibytes` slope x 343 open streams (30 s each)",
      mechanism: "backpressure from caller to target",
    },
  ];
}

function primaryEstimates(series: SeriesByName): Estimate[] {
  const stepsPerDataCentre = TARGET_SIZE.trainers / TARGET_SIZE.dataCentres;
  const samplesPerSecond = stepsPerDataCentre * TARGET_SIZE.samplesPerStep /
    TARGET_SIZE.stepSeconds;
  const cpuSecondsPerSample = getLine(series, "samples", "cpuSeconds").slope;
  const memory = getLine(series, "samples", "mebibytes");
  const { instances } = PER_DATA_CENTRE;
  const bytes = getLine(series, "neighbours", "leaderBytesPerSecond");
  const tokensPerSample = TARGET_SIZE.tokensPerSecond /
    (TARGET_SIZE.requestsPerSecond);
  const corePerToken = getLine(series, "tokens", "core").slope;
  return [
    {
      role: "ledger primary",
      figure: "samples, % of a core",
      value: samplesPerSecond *
        (cpuSecondsPerSample + tokensPerSample * corePerToken) * PERCENT,
      from:
        `\`samples.cpuSeconds\` slope x ${
          samplesPerSecond.toFixed(1)
        } samples/s + ` +
        "`tokens.core` slope x 354 tokens a sample",
      mechanism: "a step runs where its ledger is ordered",
    },
    {
      role: "ledger primary",
      figure: "memory, MiB, with a step of 2,048 samples",
      value: valueAt(memory, TARGET_SIZE.samplesPerStep),
      from: "`samples.mebibytes` at 2,048",
      mechanism: "acknowledged samples are freed",
    },
    {
      role: "relay (the ledger primary)",
      figure: "control, bytes/s sent",
      value: valueAt(bytes, instances),
      limit: LIMITS.controlBytesPerSecond,
      from: "`neighbours.leaderBytesPerSecond` at 30",
      mechanism: "the feed's leases and heartbeats to 29 neighbours",
    },
    {
      role: "ledger backup",
      figure: "control, % of a core",
      value: valueAt(getLine(series, "neighbours", "followerCore"), instances) *
        PERCENT,
      limit: LIMITS.controlCoreShare * PERCENT,
      from: "`neighbours.followerCore` at 30",
      mechanism: "records are stored in rounds, one sync a round",
    },
  ];
}

function controlEstimates(series: SeriesByName): Estimate[] {
  const changesPerSecond = TARGET_SIZE.changesPerDay / SECONDS_PER_DAY;
  const estimates: Estimate[] = [];
  for (const role of ["leader", "follower"]) {
    const idleCore = getLine(series, "dataCentres", `${role}Core`);
    const corePerChange = getLine(series, "changes", `${role}Core`).slope;
    const idleBytes = getLine(series, "dataCentres", `${role}BytesPerSecond`);
    const bytesPerChange =
      getLine(series, "changes", `${role}BytesPerSecond`).slope;
    const memory = getLine(series, "dataCentres", `${role}Mebibytes`);
    const { dataCentres } = TARGET_SIZE;
    estimates.push(
      {
        role: `control ${role}`,
        figure: "% of a core",
        value:
          (valueAt(idleCore, dataCentres) + corePerChange * changesPerSecond) *
          PERCENT,
        limit: LIMITS.controlCoreShare * PERCENT,
        from: `\`dataCentres.${role}Core\` at 14 + \`changes.${role}Core\` ` +
          "slope x 0.017 changes/s",
        mechanism: "one relay a data centre; entries pushed once",
      },
      {
        role: `control ${role}`,
        figure: "bytes/s sent",
        value: valueAt(idleBytes, dataCentres) +
          bytesPerChange * changesPerSecond,
        limit: LIMITS.controlBytesPerSecond,
        from: `\`dataCentres.${role}BytesPerSecond\` at 14 + slope of ` +
          "`changes` x 0.017 changes/s",
        mechanism: "heartbeats to voters, renewals of relays",
      },
      {
        role: `control ${role}`,
        figure: "memory, MiB",
        value: valueAt(memory, dataCentres),
        limit: LIMITS.controlMebibytes,
        from: `\`dataCentres.${role}Mebibytes\` at 14`,
        mechanism: "snapshots every 512 entries or 8 MiB",
      },
    );
  }
  return estimates;
}

function timeEstimates(series: SeriesByName): Estimate[] {
  const changeInForce = getLine(series, "force", "forceWorstMs");
  const restart = getLine(series, "restart", "restartMs");
  const step = getLine(series, "samples", "stepSeconds");
  return [
    {
      role: "system",
      figure: "change in force everywhere, worst, ms",
      value: valueAt(changeInForce, TARGET_SIZE.instances),
      limit: LIMITS.changeInForceMs,
      from: "`force.forceWorstMs` at 420, all instances on one machine",
      mechanism: "the feed's tree: leader, relays, neighbours",
    },
    {
      role: "system",
      figure: "restart with a day of changes, ms",
      value: valueAt(restart, TARGET_SIZE.changesPerDay),
      from: "`restart.restartMs` at 1,500",
      mechanism: "snapshot and the entries after it",
    },
    {
      role: "system",
      figure: "step of 2,048 samples of 64 tokens, s",
      value: valueAt(step, TARGET_SIZE.samplesPerStep),
      limit: LIMITS.stepSeconds,
      from: "`samples.stepSeconds` at 2,048, one instance",
      mechanism: "samples are numbered up to 256 a record",
    },
  ];
}
