/** CPU time of this process by part of the program. */
import { readFileSync } from "node:fs";
import { Session } from "node:inspector";
import { SourceMap } from "node:module";

/** Time of each part per unit of work, in microseconds, by name. */
export type PartProfile = Readonly<Record<string, number>>;

interface CallFrame {
  readonly functionName: string;
  readonly url: string;
  readonly lineNumber: number;
  readonly columnNumber: number;
}

interface Profile {
  readonly nodes: readonly {
    readonly id: number;
    readonly callFrame: CallFrame;
  }[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
}

/** Interval at which the stack is sampled, in microseconds. */
const SAMPLING_INTERVAL_US = 200;

/** Parts of the program by the path of the source, first match first. */
const PARTS: readonly (readonly [RegExp, string])[] = [
  [/undici/, "HTTP client"],
  [/eventsource-parser|response_limits|engine_codec/, "event stream"],
  [/engine_client|tasks\/paths|incarnation|target_signs/, "engine client"],
  [/bunyan|logging/, "logging"],
  [/metrics|hdr-histogram|hot-shots/, "metrics"],
  [/msgpackr|frame_codec|peer_envelope/, "encoding"],
  [/item_run|run_text/, "runs"],
  [/run_learner|target_pace|pace_stats|run_estimator|statistics/, "paces"],
  [
    /item_placer|item_placement|target_ranking|placement_scheduler|item_order/,
    "placement",
  ],
  [/batch_shares|item_starter|target_registry|prompt_locations/, "placement"],
  [/run_mover/, "run mover"],
  [/result_|partial_text|batch_record|batch_state/, "results"],
  [/src\/|platform\//, "other of ours"],
  [/bench|tests\//, "bench"],
];

/** Samples the stack of this process, without a file. */
export class Profiler {
  readonly #session = new Session();
  readonly #map: SourceMap;

  /** @param sourceMap - File of the program's source map. */
  constructor(sourceMap: string) {
    this.#map = new SourceMap(JSON.parse(readFileSync(sourceMap, "utf8")));
    this.#session.connect();
    this.#session.post("Profiler.enable");
    this.#session.post("Profiler.setSamplingInterval", {
      interval: SAMPLING_INTERVAL_US,
    });
  }

  /** Starts a measurement. */
  start(): void {
    this.#session.post("Profiler.start");
  }

  /** Ends a measurement; has no effect without one. */
  stop(): void {
    this.#session.post("Profiler.stop");
  }

  /** Gets the time since the start or the last call, per unit of work. */
  take(units: number): PartProfile {
    const micros = new Map<string, number>();
    const add = (name: string, by: number) =>
      micros.set(name, (micros.get(name) ?? 0) + by);
    // The session of the own process answers before `post` returns.
    this.#session.post("Profiler.stop", (err, result) => {
      if (err !== null) throw err;
      this.#sumUp(result.profile as Profile, add);
    });
    this.#session.post("Profiler.start");
    const entries = [...micros].sort(([, a], [, b]) => b - a);
    return Object.fromEntries(
      entries.map(([name, sum]) => [name, sum / units]),
    );
  }

  #sumUp(
    { nodes, samples, timeDeltas }: Profile,
    add: (name: string, by: number) => void,
  ): void {
    const parts = new Map(
      nodes.map(({ id, callFrame }) => [id, this.#namesOf(callFrame)]),
    );
    samples.forEach((id, i) => {
      for (const name of parts.get(id) ?? []) add(name, timeDeltas[i]);
    });
  }

  /** Gets the part of a function, and the function itself after a colon. */
  #namesOf(frame: CallFrame): string[] {
    const { functionName, url, lineNumber, columnNumber } = frame;
    // `dispatch` is the inspector itself.
    const isOfProfiler = url === "" && functionName === "dispatch";
    if (functionName === "(idle)" || isOfProfiler) return [];
    if (url === "" || url.startsWith("node:")) {
      const part = functionName.startsWith("(") ? functionName : "node";
      return [part, `:${url} ${functionName}`];
    }
    const entry = this.#map.findEntry(lineNumber, columnNumber);
    const source = "originalSource" in entry ? entry.originalSource : url;
    const part = PARTS.find(([pattern]) => pattern.test(source))?.[1] ??
      "other libraries";
    const file = source.split("/").at(-1);
    return [part, `:${file} ${functionName}`];
  }
}
