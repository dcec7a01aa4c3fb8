/** Series that measure one instance under load from callers and trainers. */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { FakeTrainer } from "../../fakes/trainer.ts";
import {
  Deployment,
  keyOf,
  type StartedInstance,
} from "../../tests/support/deployment.ts";
import { percentile } from "../figures.ts";
import type { MeasureOptions } from "./cluster_series.ts";
import { type LightEngine, startLightEngine } from "./light_engine.ts";
import { coreShare, readProcessUsage } from "./process_usage.ts";
import type { Figures, SeriesOptions } from "./series.ts";

const MEBIBYTE = 1_048_576;
const SETTLE_MS = 1_500;
const ENGINES = 8;
/** Duration of the load before a measurement, so that the code is compiled. */
const WARM_UP_MS = 4_000;

interface MeasuredInstance {
  readonly instance: StartedInstance;
  readonly engine: LightEngine;
  readonly agent: Agent;
}

async function withInstance<T>(
  options: { targets: number; chunkMs: number },
  run: (measured: MeasuredInstance) => Promise<T>,
): Promise<T> {
  const deployment = new Deployment();
  const engine = await startLightEngine(options);
  const agent = new Agent({ connections: 2_000, pipelining: 1 });
  try {
    const instance = await deployment.startInstance({
      targets: { probeIntervalMs: 1_000 },
    });
    for (let i = 0; i < options.targets; i += 1) {
      await announce(instance, engine, i);
    }
    await sleep(SETTLE_MS);
    return await run({ instance, engine, agent });
  } finally {
    await agent.destroy();
    engine.stop();
    await deployment.stop();
  }
}

async function announce(
  instance: StartedInstance,
  engine: LightEngine,
  i: number,
): Promise<void> {
  const res = await fetch(`${instance.url}/targets/announce`, {
    method: "POST",
    body: JSON.stringify({
      id: `t${i}`,
      incarnation: "1",
      url: engine.url,
      pools: ["planner"],
      zone: "nl-1a",
      weightVersion: 1,
    }),
  });
  await res.arrayBuffer();
}

async function measureUsage(
  measured: MeasuredInstance,
  options: { measureMs: number; during?: () => Promise<unknown> },
): Promise<{ core: number; mebibytes: number; seconds: number }> {
  const pid = measured.instance.child.pid ?? 0;
  const from = readProcessUsage(pid);
  const measureEnd = sleep(options.measureMs);
  await options.during?.();
  await measureEnd;
  const to = readProcessUsage(pid);
  return {
    core: coreShare(from, to),
    mebibytes: to.residentBytes / MEBIBYTE,
    seconds: (to.at - from.at) / 1_000,
  };
}

interface RequestOptions {
  readonly isStream: boolean;
  readonly tokens: number;
}

async function sendRequest(
  measured: Pick<MeasuredInstance, "agent">,
  url: string,
  options: RequestOptions,
): Promise<number> {
  const startedAt = performance.now();
  const res = await request(`${url}/v1/chat/completions`, {
    method: "POST",
    dispatcher: measured.agent,
    headers: { authorization: `Bearer ${keyOf("artis")}` },
    body: JSON.stringify({
      model: "planner",
      messages: [{ role: "user", content: "Plan the week" }],
      stream: options.isStream,
      max_tokens: options.tokens,
    }),
  });
  if (res.statusCode !== 200) {
    throw new Error(
      `Completion failed with ${res.statusCode}: ${await res.body.text()}`,
    );
  }
  await res.body.dump({ limit: 10 * MEBIBYTE });
  return performance.now() - startedAt;
}

/**
 * Sends requests at a fixed rate, independently of the responses, and gets
 * their durations in milliseconds.
 */
async function generateLoad(
  measured: MeasuredInstance,
  options: RequestOptions & { rate: number; measureMs: number; url?: string },
): Promise<number[]> {
  const durationsMs: number[] = [];
  if (options.rate === 0) return durationsMs;
  const running: Promise<unknown>[] = [];
  const startedAt = performance.now();
  const url = options.url ?? measured.instance.url;
  const total = Math.floor(options.rate * options.measureMs / 1_000);
  for (let i = 0; i < total; i += 1) {
    const sendAt = startedAt + i * 1_000 / options.rate;
    const delayMs = sendAt - performance.now();
    if (delayMs > 1) await sleep(delayMs);
    running.push(
      sendRequest(measured, url, options).then((ms) => durationsMs.push(ms)),
    );
  }
  await Promise.all(running);
  return durationsMs;
}

/** Measures the cost of health probes against the number of targets. */
export function targetSeries(options: MeasureOptions): SeriesOptions {
  return {
    name: "targets",
    size: "targets, each probed once a second",
    sizes: [0, 50, 100, 150, 200],
    measure: (x) =>
      withInstance({ targets: x, chunkMs: 0 }, async (measured) => {
        const { core, mebibytes } = await measureUsage(measured, options);
        return { core, mebibytes };
      }),
  };
}

/** Measures the cost and the added latency of non-streaming requests. */
export function requestSeries(options: MeasureOptions): SeriesOptions {
  return {
    name: "requests",
    size: "requests a second, whole answers of one token",
    sizes: [0, 100, 200, 300, 400, 500],
    measure: (rate) =>
      withInstance({ targets: ENGINES, chunkMs: 0 }, async (measured) => {
        let proxiedMs: number[] = [];
        const loadOptions = { isStream: false, tokens: 1, rate, ...options };
        await generateLoad(measured, {
          ...loadOptions,
          rate: 400,
          measureMs: WARM_UP_MS,
        });
        const { core, mebibytes } = await measureUsage(measured, {
          ...options,
          during: async () => {
            proxiedMs = await generateLoad(measured, loadOptions);
          },
        });
        const directMs = await generateLoad(measured, {
          ...loadOptions,
          url: measured.engine.url,
          measureMs: options.measureMs / 2,
        });
        return {
          core,
          mebibytes,
          addedMedianMs: getAddedMs(proxiedMs, directMs, 50),
          added99Ms: getAddedMs(proxiedMs, directMs, 99),
        };
      }),
  };
}

/** Gets by how much a percentile is higher through an instance than direct. */
function getAddedMs(
  proxiedMs: readonly number[],
  directMs: readonly number[],
  percent: number,
): number {
  const percentileMicros = (durationsMs: readonly number[]) =>
    percentile(durationsMs.map((ms) => ms * 1_000), percent);
  return (percentileMicros(proxiedMs) - percentileMicros(directMs)) / 1_000;
}

const STREAM_TOKENS = 200;

/** Measures the cost of streamed tokens. */
export function tokenSeries(options: MeasureOptions): SeriesOptions {
  return {
    name: "tokens",
    size: "streamed tokens a second",
    sizes: [0, 2_000, 4_000, 6_000, 8_000, 10_000],
    measure: (tokens) =>
      withInstance({ targets: 4 * ENGINES, chunkMs: 10 }, async (measured) => {
        const rate = tokens / STREAM_TOKENS;
        const loadOptions = { isStream: true, tokens: STREAM_TOKENS };
        await generateLoad(measured, {
          ...loadOptions,
          rate: 20,
          measureMs: WARM_UP_MS,
        });
        const { core, mebibytes } = await measureUsage(measured, {
          ...options,
          during: () =>
            generateLoad(measured, { ...loadOptions, rate, ...options }),
        });
        return { core, mebibytes };
      }),
  };
}

/** Measures the memory of open streams. */
export function streamSeries(options: MeasureOptions): SeriesOptions {
  return {
    name: "streams",
    size: "open streams",
    sizes: [0, 100, 200, 400, 600],
    measure: (x) =>
      withInstance({ targets: 32, chunkMs: 500 }, async (measured) => {
        const tokens = Math.ceil(options.measureMs / 500) + 4;
        const running = Array.from(
          { length: x },
          () =>
            sendRequest(measured, measured.instance.url, {
              isStream: true,
              tokens,
            })
              .catch(() => 0),
        );
        const { core, mebibytes } = await measureUsage(measured, options);
        await Promise.all(running);
        return { core, mebibytes };
      }),
  };
}

const SAMPLE_TOKENS = 64;

/** Measures the cost and duration of a step against its samples. */
export function sampleSeries(): SeriesOptions {
  return {
    name: "samples",
    size: `samples of a step, ${SAMPLE_TOKENS} tokens each`,
    sizes: [128, 512, 1_024, 1_536, 2_048],
    measure: (x) =>
      withInstance({ targets: ENGINES, chunkMs: 2 }, async (measured) => {
        const pid = measured.instance.child.pid ?? 0;
        const trainer = new FakeTrainer({
          entries: [measured.instance.url],
          key: keyOf("artis"),
        });
        const from = readProcessUsage(pid);
        await trainer.run({
          id: "s",
          route: "planner",
          groups: Array.from({ length: x / 16 }, (_, i) => ({
            id: `g${i}`,
            samples: 16,
            body: {
              messages: [{ role: "user", content: `Park ${i}` }],
              max_tokens: SAMPLE_TOKENS,
            },
          })),
        });
        const to = readProcessUsage(pid);
        const { delivered, duplicates, lost } = trainer.count;
        if (delivered !== x || duplicates + lost > 0) {
          throw new Error("Samples were lost or delivered twice");
        }
        return {
          cpuSeconds: to.cpuSeconds - from.cpuSeconds,
          stepSeconds: (to.at - from.at) / 1_000,
          mebibytes: to.residentBytes / MEBIBYTE,
        } satisfies Figures;
      }),
  };
}
