/** Trainer client of the fleet: submits batches and reads their results. */
import { Client } from "undici";
import { sleep } from "./fleet_deployment.ts";

/** Result of one item of a batch. */
export interface ReadResult {
  readonly id: string;
  readonly state: string;
  readonly text: string;
  /** Weight versions that generated the text. */
  readonly versions: readonly number[];
  readonly score?: string;
}

/** Options of {@link FleetTrainer}. */
export interface FleetTrainerOptions {
  /** Addresses of entry instances, used in turn. */
  readonly entries: readonly string[];
  readonly host: string;
  /** API key; undefined to send none. */
  readonly key: string | undefined;
  /** Path prefix of the route for batches. */
  readonly prefix: string;
}

/** A batch to submit. */
export interface BatchPlan {
  readonly id: string;
  readonly model: string;
  readonly minVersion: number;
  /** Identifiers of items; the group is the part before the hyphen. */
  readonly items: readonly string[];
  /** Path prefix of the route that scores the items; none if absent. */
  readonly scoringPrefix?: string | undefined;
}

/** Response to a request of the client. */
export interface ClientResponse {
  readonly status: number;
  readonly text: string;
  /** Mark of the target that produced the response; undefined without one. */
  readonly stamp: string | undefined;
  /** Value of `Retry-After`, in seconds; NaN without one. */
  readonly retryAfterS: number;
}

/** Gets the identifier of the call that scores an item. */
export function scoringIdOf(item: string): string {
  return `score-${item}`;
}

const ATTEMPT_TIMEOUT_MS = 4_000;
const RETRY_DELAY_MS = 150;

/** Sends each request to the next entry instance, on a new connection. */
export class FleetTrainer {
  readonly #options: FleetTrainerOptions;
  #requestCount = 0;

  constructor(options: FleetTrainerOptions) {
    this.#options = options;
  }

  /** Resubmits a batch until it is accepted. */
  async submit(plan: BatchPlan, timeoutMs: number): Promise<void> {
    await this.#retryUntil(timeoutMs, async () => {
      const response = await this.sendBatch(plan);
      return response.status === 202 ? true : undefined;
    });
  }

  /** Submits a batch, without a retry. */
  async sendBatch(plan: BatchPlan): Promise<ClientResponse> {
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
        ...this.#createScorer(plan, id),
      })),
    });
    const path = `${this.#options.prefix}${plan.id}`;
    return await this.send("POST", path, { id: plan.id, body });
  }

  #createScorer({ scoringPrefix }: BatchPlan, item: string): object {
    if (scoringPrefix === undefined) return {};
    const id = scoringIdOf(item);
    const body = Buffer.from(item).toString("base64");
    const { host } = this.#options;
    return { scorer: { id, host, path: `${scoringPrefix}${id}`, body } };
  }

  /** Reads results from an index; gets undefined unless the status is 200. */
  async read(
    batch: string,
    after: number,
  ): Promise<{ next: number; results: ReadResult[] } | undefined> {
    const response = await this.send(
      "GET",
      `/-/lots/${batch}?after=${after}`,
      {
        waitMs: 500,
      },
    );
    return response.status === 200 ? JSON.parse(response.text) : undefined;
  }

  /**
   * Reads results until all items are listed.
   * @param onResult - Called with each result and its index, in order.
   * @throws Error if some are missing after `timeoutMs`.
   */
  async readAll(
    plan: BatchPlan,
    timeoutMs: number,
    onResult: (result: ReadResult, index: number) => void = () => {},
  ): Promise<ReadResult[]> {
    const results: ReadResult[] = [];
    return await this.#retryUntil(timeoutMs, async () => {
      const page = await this.read(plan.id, results.length);
      for (const result of page?.results ?? []) {
        onResult(result, results.length);
        results.push(result);
      }
      return results.length >= plan.items.length ? results : undefined;
    });
  }

  /** Resends the end of a batch until it is acknowledged. */
  async end(batch: string, timeoutMs: number): Promise<void> {
    await this.#retryUntil(timeoutMs, async () => {
      const response = await this.send("DELETE", `/-/lots/${batch}`, {});
      return response.status === 200 ? true : undefined;
    });
  }

  /** Sends a plain call, without a retry. */
  async sendCall(
    path: string,
    options: { id: string; key?: string; deadlineMs?: number },
  ): Promise<ClientResponse> {
    return await this.send("POST", path, { ...options, body: "call" });
  }

  async #retryUntil<T>(
    timeoutMs: number,
    attempt: () => Promise<T | undefined>,
  ): Promise<T> {
    const endsAt = Date.now() + timeoutMs;
    let lastError = new Error("No attempt was made");
    while (Date.now() < endsAt) {
      try {
        const value = await attempt();
        if (value !== undefined) return value;
        lastError = new Error(
          "The last attempt succeeded without the expected result",
        );
      } catch (err) {
        lastError = err as Error;
      }
      await sleep(RETRY_DELAY_MS);
    }
    throw new Error(`Retries timed out: ${lastError.message}`, {
      cause: lastError,
    });
  }

  /**
   * Sends a request, without a retry.
   * @throws Error if there is no response within 4 s.
   */
  async send(
    method: "GET" | "POST" | "DELETE",
    path: string,
    options: {
      id?: string;
      key?: string;
      body?: string;
      waitMs?: number;
      deadlineMs?: number;
    },
  ): Promise<ClientResponse> {
    const { entries, host } = this.#options;
    const key = options.key ?? this.#options.key;
    this.#requestCount += 1;
    const client = new Client(
      `http://${entries[this.#requestCount % entries.length]}`,
    );
    try {
      const response = await client.request({
        method,
        path,
        headers: {
          host,
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
          ...(options.id === undefined ? {} : { "request-id": options.id }),
          ...(options.waitMs === undefined
            ? {}
            : { "wait-ms": String(options.waitMs) }),
          ...(options.deadlineMs === undefined
            ? {}
            : { "deadline-ms": String(options.deadlineMs) }),
        },
        body: options.body ?? null,
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      });
      const stamp = response.headers["server-stamp"];
      return {
        status: response.statusCode,
        text: await response.body.text(),
        stamp: typeof stamp === "string" ? stamp : undefined,
        retryAfterS: Number(response.headers["retry-after"] ?? NaN),
      };
    } finally {
      client.destroy().catch(() => {});
    }
  }
}
