/** A stand-in for a trainer that asks for steps and counts what it gets. */

/** Options of {@link FakeTrainer}. */
export interface FakeTrainerOptions {
  /** Addresses of instances, tried in turn. */
  readonly entries: readonly string[];
  /** The trainer's key. */
  readonly key: string;
}

/** A step that the trainer asks for. */
export interface TrainerStep {
  /** Identifier. */
  readonly id: string;
  /** Route. */
  readonly route: string;
  /** Groups. */
  readonly groups: readonly {
    readonly id: string;
    readonly samples: number;
    readonly body: Readonly<Record<string, unknown>>;
  }[];
  /** Staleness bound. */
  readonly staleness?: { readonly maxVersionsBehind: number };
}

/** A sample as the trainer reads it. */
export interface TrainerSample {
  readonly number: number;
  readonly slot: number;
  readonly versions: readonly number[];
  readonly text: string;
}

/** What a trainer has counted over its steps. */
export interface TrainerCount {
  expected: number;
  delivered: number;
  duplicates: number;
  lost: number;
  unversioned: number;
  stale: number;
}

const RETRY_MS = 100;
const MAX_TRIES = 200;

/** Submits steps, reads and acknowledges their samples. */
export class FakeTrainer {
  readonly #options: FakeTrainerOptions;
  #entry = 0;
  /** Newest version that it has announced. */
  announced = 0;
  /** Counts over all steps. */
  readonly count: TrainerCount = {
    expected: 0,
    delivered: 0,
    duplicates: 0,
    lost: 0,
    unversioned: 0,
    stale: 0,
  };

  /** Creates a trainer. */
  constructor(options: FakeTrainerOptions) {
    this.#options = options;
  }

  /** Announces weights. */
  async announce(model: string, version: number): Promise<void> {
    await this.#ask("POST", "/v1/weights", { model, version });
    this.announced = version;
  }

  /** Runs a step to its end. */
  async run(
    step: TrainerStep,
    onProgress: (delivered: number, expected: number) => void = () => {},
  ): Promise<TrainerSample[]> {
    const expected = step.groups.reduce((sum, g) => sum + g.samples, 0);
    await this.#ask("POST", "/v1/steps", step);
    const path = `/v1/steps/${step.id}`;
    const samples: TrainerSample[] = [];
    let after = 0;
    while (true) {
      const floor = this.announced - (step.staleness?.maxVersionsBehind ?? 1);
      const reading = await this.#ask(
        "GET",
        `${path}/samples?after=${after}&waitMs=2000`,
      );
      const fresh = reading.samples as TrainerSample[];
      for (const sample of fresh) {
        if (Math.min(...sample.versions) < floor) this.count.stale += 1;
        after = Math.max(after, sample.number);
      }
      samples.push(...fresh);
      onProgress(samples.length, expected);
      if (fresh.length > 0) {
        await this.#ask("POST", `${path}/ack`, { through: after });
      }
      if (reading.status !== "open" && fresh.length === 0) break;
      if (samples.length >= expected) break;
    }
    this.#add(samples, expected);
    return samples;
  }

  #add(samples: readonly TrainerSample[], expected: number): void {
    const slots = new Set(samples.map((sample) => sample.slot));
    const { count } = this;
    count.expected += expected;
    count.delivered += samples.length;
    count.duplicates += samples.length - slots.size;
    count.lost += expected - slots.size;
    count.unversioned += samples
      .filter((sample) => sample.versions.length === 0).length;
  }

  async #ask(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<Record<string, unknown>> {
    const { entries, key } = this.#options;
    let message = "";
    for (let i = 0; i < MAX_TRIES; i += 1) {
      try {
        const res = await fetch(entries[this.#entry % entries.length] + path, {
          method,
          headers: {
            authorization: `Bearer ${key}`,
            "content-type": "application/json",
          },
          body: body === undefined ? undefined : JSON.stringify(body),
        });
        const answer = await res.json() as Record<string, unknown>;
        if (res.ok) return answer;
        message = JSON.stringify(answer);
        if (res.status < 500) break;
      } catch (err) {
        message = (err as Error).message;
      }
      this.#entry += 1;
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
    throw new Error(`Trainer's request failed: ${method} ${path}: ${message}`);
  }
}
