/** Simulated instances that store the writers of streams. */
import type { Scheduler } from "../sim/scheduler.ts";
import {
  type OutputWriter,
  StreamDirectory,
  type StreamKey,
  type StreamRecord,
} from "../src/core/continuation/mod.ts";

/** Options of {@link StreamInstances}. */
export interface StreamInstancesOptions {
  readonly scheduler: Scheduler;
  /** Gets the time of the simulation. */
  readonly now: () => number;
  /** Maximum number of streams that an instance stores. */
  readonly maxStreams: number;
}

/** An entry instance. */
interface Entry {
  /** Streams of its own callers. */
  readonly own: StreamDirectory;
  /** Control instances to which it is linked. */
  readonly links: Set<number>;
}

const ENTRIES = 3;
const CONTROLS = 4;
const MAX_LINKS = 3;
const LOST_SHARE = 0.2;
const LATE_SHARE = 0.2;
/** Share of the control instances that do not answer another one. */
const SILENT_SHARE = 0.3;

/**
 * Entry instances with links to some control instances, which are partly linked
 * to each other. Records are lost or delayed; any instance may lose all of
 * them.
 */
export class StreamInstances {
  readonly #options: StreamInstancesOptions;
  readonly #controls: StreamDirectory[];
  #entries: Entry[];
  readonly #late: { control: number; record: StreamRecord }[] = [];

  constructor(options: StreamInstancesOptions) {
    this.#options = options;
    this.#controls = Array.from(
      { length: CONTROLS },
      () => this.#createDirectory(),
    );
    this.#entries = this.#createEntries();
    for (const entry of this.#entries) {
      while (entry.links.size < MAX_LINKS) this.#link(entry);
    }
  }

  /** Records a stream at a random entry instance and its control instances. */
  record(record: StreamRecord): this {
    const { own, links } = this.#options.scheduler.pick(this.#entries);
    own.add(record);
    for (const control of links) {
      const draw = this.#random();
      if (draw < LOST_SHARE) continue;
      if (draw < LOST_SHARE + LATE_SHARE) this.#late.push({ control, record });
      else this.#controls[control].add(record);
    }
    return this;
  }

  /** Finds the writer of a stream at a random entry instance. */
  find(key: StreamKey): OutputWriter | undefined {
    const { own, links } = this.#options.scheduler.pick(this.#entries);
    const known = own.get(key);
    if (known !== undefined || links.size === 0) return known;
    const answering = this.#controls.filter((_, i) =>
      links.has(i) || this.#random() >= SILENT_SHARE
    );
    return answering.map((control) => control.get(key))
      .find((writer) => writer !== undefined);
  }

  /** Kills all entry instances; the new ones have no records and no links. */
  loseAllEntries(): void {
    this.#entries = this.#createEntries();
  }

  /** Links each entry instance to one more control instance. */
  linkEntries(): void {
    for (const entry of this.#entries) {
      if (entry.links.size < MAX_LINKS) this.#link(entry);
    }
  }

  /** Restarts a control instance, which loses all streams. */
  loseControl(): void {
    const lost = Math.floor(this.#random() * CONTROLS);
    this.#controls[lost] = this.#createDirectory();
  }

  /** Delivers the record that has been delayed for longest. */
  deliverLate(): void {
    const first = this.#late.shift();
    if (first !== undefined) this.#controls[first.control].add(first.record);
  }

  #random(): number {
    return this.#options.scheduler.random();
  }

  #link({ links }: Entry): void {
    links.add(Math.floor(this.#random() * CONTROLS));
  }

  #createEntries(): Entry[] {
    return Array.from({ length: ENTRIES }, () => ({
      own: this.#createDirectory(),
      links: new Set<number>(),
    }));
  }

  #createDirectory(): StreamDirectory {
    const { now, maxStreams } = this.#options;
    return new StreamDirectory({ now, maxStreams });
  }
}
