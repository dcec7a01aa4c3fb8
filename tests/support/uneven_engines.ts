/** Engines of uneven speed that run items on virtual time. */
import type {
  EnginePort,
  RunRequest,
  RunSink,
} from "../../src/tasks/batches/mod.ts";
import { RunFailure } from "../../src/tasks/batches/mod.ts";

/** One engine and its state. */
export interface UnevenEngine {
  readonly id: string;
  readonly dataCentre: string;
  /** Factor on all times of the engine. */
  readonly pace: number;
  /** Further factor, of an engine that is slow for a while. */
  slowdown: number;
  isLost: boolean;
  readonly groups: Set<string>;
  runs: number;
}

/** Options of {@link UnevenEngines}. */
export interface UnevenEnginesOptions {
  readonly engines: readonly UnevenEngine[];
  /** Gets a number from 0 to 1. */
  readonly random: () => number;
  readonly groupOf: (item: string) => string;
  readonly lengthOf: (item: string) => number;
  /** Share of the events that come late, as after a lost packet. */
  readonly lateShare: number;
}

interface EngineRun {
  readonly engine: UnevenEngine;
  readonly request: RunRequest;
  readonly sink: RunSink;
  event: number;
  nextAt: number;
  hasEnded: boolean;
}

export const SLOTS = 8;
export const EVENT_MS = 20;
/** Share by which each further run at an engine lengthens the others. */
const LOAD_SLOWDOWN = 0.024;
const COLD_PROMPT_MS = 250;
const CACHED_PROMPT_MS = 30;
/** Time to read one event of earlier output. */
const REREAD_MS = 1;
/** Number of prompts that an engine holds. */
const MAX_GROUPS = 60;
const NOISE = 0.2;
const LATE_MS = 250;

/** Runs items event by event; {@link UnevenEngines.play} advances them. */
export class UnevenEngines implements EnginePort {
  readonly #options: UnevenEnginesOptions;
  #runs: EngineRun[] = [];
  /** Calls that wait while the reader is stalled; undefined if it is not. */
  #unread: (() => void)[] | undefined;
  started = 0;
  /** Items of the runs that were cancelled. */
  readonly cancelled: string[] = [];
  coldPrompts = 0;
  refused = 0;
  events = 0;
  eventsAtSlow = 0;
  remoteEvents = 0;

  constructor(options: UnevenEnginesOptions) {
    this.#options = options;
  }

  open(request: RunRequest, sink: RunSink) {
    const engine = this.#options.engines
      .find(({ id }) => id === request.target.id)!;
    const run: EngineRun = {
      engine,
      request,
      sink,
      event: request.resumeAfter,
      nextAt: Date.now() + this.#readPrompt(engine, request),
      hasEnded: false,
    };
    this.started += 1;
    engine.runs += 1;
    this.#runs.push(run);
    sink.onVerified();
    sink.onVersion(5);
    const cancel = () => {
      if (run.hasEnded) return;
      this.cancelled.push(request.id);
      this.#end(run);
    };
    return { cancel };
  }

  closeIdleExcept(): void {}

  /** Sends the events that are due. */
  play(): void {
    const now = Date.now();
    for (const run of this.#runs) this.#playRun(run, now);
    this.#runs = this.#runs.filter(({ hasEnded }) => !hasEnded);
  }

  /** Lets events wait unread, as while the event loop of the reader stalls. */
  holdUp(): void {
    this.#unread ??= [];
  }

  /** Reads all events that wait. */
  readAll(): void {
    const unread = this.#unread ?? [];
    this.#unread = undefined;
    for (const read of unread) read();
  }

  #deliver(read: () => void): void {
    if (this.#unread === undefined) read();
    else this.#unread.push(read);
  }

  /** Breaks all runs of an engine. */
  lose(engine: UnevenEngine): void {
    engine.isLost = true;
    for (const run of this.#runs) {
      if (run.engine === engine) this.#fail(run, RunFailure.Broken);
    }
  }

  #playRun(run: EngineRun, now: number): void {
    if (run.hasEnded || now < run.nextAt) return;
    const { engine, request, sink } = run;
    if (engine.isLost) return this.#fail(run, RunFailure.Broken);
    if (engine.runs > SLOTS) {
      this.refused += 1;
      return this.#fail(run, RunFailure.Refused);
    }
    run.event += 1;
    run.nextAt = now + this.#eventMs(engine);
    this.events += 1;
    if (engine.dataCentre !== "a") this.remoteEvents += 1;
    if (engine.pace > 1) this.eventsAtSlow += 1;
    const isLast = run.event >= this.#options.lengthOf(request.id);
    if (isLast) this.#end(run);
    const { event } = run;
    this.#deliver(() => {
      sink.onEvent({ id: event, data: "e" });
      if (isLast) sink.onEnd();
    });
  }

  #fail(run: EngineRun, failure: RunFailure): void {
    if (run.hasEnded) return;
    this.#end(run);
    this.#deliver(() => run.sink.onFailure(failure, failure));
  }

  #end(run: EngineRun): void {
    run.hasEnded = true;
    run.engine.runs -= 1;
  }

  #readPrompt(engine: UnevenEngine, request: RunRequest): number {
    const group = this.#options.groupOf(request.id);
    const isCached = engine.groups.delete(group);
    engine.groups.add(group);
    if (engine.groups.size > MAX_GROUPS) {
      const [oldest] = engine.groups;
      engine.groups.delete(oldest);
    }
    if (!isCached) this.coldPrompts += 1;
    const readMs = isCached ? CACHED_PROMPT_MS : COLD_PROMPT_MS;
    const ms = readMs + request.resumeAfter * REREAD_MS;
    return ms * engine.pace * engine.slowdown;
  }

  #eventMs({ pace, slowdown, runs }: UnevenEngine): number {
    const { random, lateShare } = this.#options;
    const noise = 1 + NOISE * (2 * random() - 1);
    const lateMs = lateShare > 0 && random() < lateShare ? LATE_MS : 0;
    const load = 1 + LOAD_SLOWDOWN * (runs - 1);
    return EVENT_MS * pace * slowdown * load * noise + lateMs;
  }
}
