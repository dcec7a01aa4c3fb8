/** Fake trainer that submits steps and counts the samples it receives. */

/** Options of {@link FakeTrainer}. */
export interface FakeTrainerOptions {
  /** Base URLs of instances; a failed request is retried at the next one. */
  readonly entries: readonly string[];
  /** API key. */
  readonly key: string;
}

/** A step to submit. */
export interface TrainerStep {
  readonly id: string;
  readonly route: string;
  readonly groups: readonly {
    readonly id: string;
    readonly samples: number;
    readonly body: Readonly<Record<string, unknown>>;
  }[];
  /** Bound on the staleness of samples; one version behind where absent. */
  readonly staleness?: { readonly maxVersionsBehind: number };
}

/** A received sample. */
export interface TrainerSample {
  readonly number: number;
  readonly slot: number;
  readonly versions: readonly number[];
  readonly text: string;
}

/** Numbers of samples over all steps of a trainer. */
export interface TrainerCount {
  expected: number;
  delivered: number;
  duplicates: number;
  lost: number;
  unversioned: number;
  stale: number;
}

const RETRY_DELAY_MS = 100;
const MAX_ATTEMPTS = 200;

/** Submits steps, and reads and acknowledges their samples. */
export class FakeTrainer {
  readonly #options: FakeTrainerOptions;
  #entryIndex = 0;
  /** Last announced version of the weights. */
  announced = 0;
  /** Numbers of samples over all steps. */
  readonly count: TrainerCount = {
    expected: 0,
    delivered: 0,
    duplicates: 0,
    lost: 0,
    unversioned: 0,
    stale: 0,
  };

  constructor(options: FakeTrainerOptions) {
    this.#options = options;
  }

  /** Announces a version of a model's weights. */
  async announce(model: string, version: number): Promise<void> {
    await this.#send("POST", "/v1/weights", { model, version });
    this.announced = version;
  }

  /** Submits a step and reads its samples until it has ended. */
  async run(
    step: TrainerStep,
    onProgress: (delivered: number, expected: number) => void = () => {},
  ): Promise<TrainerSample[]> {
    const expected = step.groups.reduce((sum, g) => sum + g.samples, 0);
    await this.#send("POST", "/v1/steps", step);
    const path = `/v1/steps/${step.id}`;
    const samples: TrainerSample[] = [];
    let after = 0;
    while (true) {
      const minVersion = this.announced -
        (step.staleness?.maxVersionsBehind ?? 1);
      const page = await this.#send(
        "GET",
        `${path}/samples?after=${after}&waitMs=2000`,
      );
      const newSamples = page.samples as TrainerSample[];
      for (const sample of newSamples) {
        if (Math.min(...sample.versions) < minVersion) this.count.stale += 1;
        after = Math.max(after, sample.number);
      }
      samples.push(...newSamples);
      onProgress(samples.length, expected);
      if (newSamples.length > 0) {
        await this.#send("POST", `${path}/ack`, { through: after });
      }
      if (page.status !== "open" && newSamples.length === 0) break;
      if (samples.length >= expected) break;
    }
    this.#addToCount(samples, expected);
    return samples;
  }

  #addToCount(samples: readonly TrainerSample[], expected: number): void {
    const slots = new Set(samples.map((sample) => sample.slot));
    const { count } = this;
    count.expected += expected;
    count.delivered += samples.length;
    count.duplicates += samples.length - slots.size;
    count.lost += expected - slots.size;
    count.unversioned += samples
      .filter((sample) => sample.versions.length === 0).length;
  }

  async #send(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<Record<string, unknown>> {
    const { entries, key } = this.#options;
    let message = "";
    for (let i = 0; i < MAX_ATTEMPTS; i += 1) {
      try {
        const res = await fetch(
          entries[this.#entryIndex % entries.length] + path,
          {
            method,
            headers: {
              authorization: `Bearer ${key}`,
              "content-type": "application/json",
            },
            body: body === undefined ? undefined : JSON.stringify(body),
          },
        );
        const content = await res.json() as Record<string, unknown>;
        if (res.ok) return content;
        message = JSON.stringify(content);
        if (res.status < 500) break;
      } catch (err) {
        message = (err as Error).message;
      }
      this.#entryIndex += 1;
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
    throw new Error(
      `Request of the trainer failed: ${method} ${path}: ${message}`,
    );
  }
}
