/** A trainer on the users' platform: submits batches and reads results. */
import { Client } from "undici";
import { sleep } from "./fleet_deployment.ts";

/** A result as the trainer read it. */
export interface ReadResult {
  readonly id: string;
  readonly state: string;
  readonly text: string;
  readonly versions: readonly number[];
}

/** Options of {@link FleetTrainer}. */
export interface FleetTrainerOptions {
  readonly entries: readonly string[];
  readonly host: string;
  readonly key: string;
  readonly prefix: string;
}

/** What a batch is made of. */
export interface BatchPlan {
  readonly id: string;
  readonly model: string;
  readonly minVersion: number;
  readonly items: readonly string[];
}

const ATTEMPT_MS = 4_000;
const PAUSE_MS = 150;

/** Speaks to entry instances in turn, each time on a new connection. */
export class FleetTrainer {
  readonly #options: FleetTrainerOptions;
  #turn = 0;

  /** Creates a trainer. */
  constructor(options: FleetTrainerOptions) {
    this.#options = options;
  }

  /** Submits a batch until it is accepted. */
  async submit(plan: BatchPlan, timeoutMs: number): Promise<void> {
    const body = JSON.stringify({
      step: 0,
      model: plan.model,
      minVersion: plan.minVersion,
      desired: 0,
      requests: plan.items.map((id) => ({
        id,
        path: `${this.#options.prefix}${id}`,
        headers: { Model: plan.model },
        body: Buffer.from(id).toString("base64"),
        tokens: 100,
        group: id.split("-")[0],
      })),
    });
    const path = `${this.#options.prefix}${plan.id}`;
    await this.#until(timeoutMs, async () => {
      const answer = await this.#send("POST", path, { id: plan.id, body });
      return answer.status === 202 ? true : undefined;
    });
  }

  /** Reads results from a position; undefined where none could be read. */
  async read(
    batch: string,
    after: number,
  ): Promise<{ next: number; results: ReadResult[] } | undefined> {
    const answer = await this.#send("GET", `/-/lots/${batch}?after=${after}`, {
      waitMs: 500,
    });
    return answer.status === 200 ? JSON.parse(answer.text) : undefined;
  }

  /** Reads until all items are listed. */
  async readAll(
    plan: BatchPlan,
    timeoutMs: number,
    onResult: (result: ReadResult, position: number) => void = () => {},
  ): Promise<ReadResult[]> {
    const results: ReadResult[] = [];
    return await this.#until(timeoutMs, async () => {
      const page = await this.read(plan.id, results.length);
      for (const result of page?.results ?? []) {
        onResult(result, results.length);
        results.push(result);
      }
      return results.length >= plan.items.length ? results : undefined;
    });
  }

  /** Ends a batch until that is acknowledged. */
  async end(batch: string, timeoutMs: number): Promise<void> {
    await this.#until(timeoutMs, async () => {
      const answer = await this.#send("DELETE", `/-/lots/${batch}`, {});
      return answer.status === 200 ? true : undefined;
    });
  }

  /** Sends a plain call once. */
  async call(
    path: string,
    options: { id: string; key?: string; deadlineMs?: number },
  ): Promise<{ status: number; text: string; stamp: string | undefined }> {
    return await this.#send("POST", path, { ...options, body: "call" });
  }

  async #until<T>(
    timeoutMs: number,
    attempt: () => Promise<T | undefined>,
  ): Promise<T> {
    const endsAt = Date.now() + timeoutMs;
    let failure: unknown = new Error("No time");
    while (Date.now() < endsAt) {
      try {
        const value = await attempt();
        if (value !== undefined) return value;
        failure = new Error("Not yet");
      } catch (err) {
        failure = err;
      }
      await sleep(PAUSE_MS);
    }
    throw new Error("The time is over", { cause: failure });
  }

  async #send(
    method: "GET" | "POST" | "DELETE",
    path: string,
    options: {
      id?: string;
      key?: string;
      body?: string;
      waitMs?: number;
      deadlineMs?: number;
    },
  ): Promise<{ status: number; text: string; stamp: string | undefined }> {
    const { entries, host, key } = this.#options;
    this.#turn += 1;
    const client = new Client(`http://${entries[this.#turn % entries.length]}`);
    try {
      const answer = await client.request({
        method,
        path,
        headers: {
          host,
          authorization: `Bearer ${options.key ?? key}`,
          ...(options.id === undefined ? {} : { "request-id": options.id }),
          ...(options.waitMs === undefined
            ? {}
            : { "wait-ms": String(options.waitMs) }),
          ...(options.deadlineMs === undefined
            ? {}
            : { "deadline-ms": String(options.deadlineMs) }),
        },
        body: options.body ?? null,
        signal: AbortSignal.timeout(ATTEMPT_MS),
      });
      const stamp = answer.headers["server-stamp"];
      return {
        status: answer.statusCode,
        text: await answer.body.text(),
        stamp: typeof stamp === "string" ? stamp : undefined,
      };
    } finally {
      client.destroy().catch(() => {});
    }
  }
}
