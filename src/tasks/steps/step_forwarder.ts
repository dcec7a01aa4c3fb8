/** Forwards step requests to the ledger primary, which runs the steps. */
import type { StepKey } from "../../core/ledger/mod.ts";
import type { StepSpec } from "../../core/samples/mod.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";
import { PrimaryClient } from "../ledger/primary_client.ts";
import type { PeerHub } from "../peers/mod.ts";
import type { ReadOptions, StepPort, StepState } from "./step_port.ts";

/** Options of {@link StepForwarder}. */
export interface StepForwarderOptions {
  readonly ledger: LedgerPort;
  /** Steps of this instance, used while it is the ledger primary. */
  readonly local: StepPort;
  /** Connections to the peers. */
  readonly hub: PeerHub;
}

interface ReadParams {
  readonly key: StepKey;
  readonly options: ReadOptions;
}

interface AckParams {
  readonly key: StepKey;
  readonly through: number;
}

const REQUEST_TIMEOUT_MS = 10_000;

/**
 * Executes step requests locally while this instance is the ledger primary, or
 * else at the primary.
 */
export class StepForwarder implements StepPort {
  readonly #options: StepForwarderOptions;
  readonly #primary: PrimaryClient;

  /** Creates the forwarder and handles the requests forwarded by peers. */
  constructor(options: StepForwarderOptions) {
    this.#options = options;
    this.#primary = new PrimaryClient(options);
    const { hub, local } = options;
    hub
      .handle("steps.submit", (p) => local.submit(p as StepSpec))
      .handle("steps.read", (p) => {
        const { key, options } = p as ReadParams;
        return local.read(key, options);
      })
      .handle("steps.ack", (p) => {
        const { key, through } = p as AckParams;
        return local.ack(key, through);
      })
      .handle("steps.cancel", (p) => local.cancel(p as StepKey))
      .handle("steps.show", (p) => local.show(p as StepKey));
  }

  submit(spec: StepSpec): Promise<StepState> {
    return this.#runAtPrimary(
      "steps.submit",
      spec,
      (local) => local.submit(spec),
    );
  }

  read(key: StepKey, options: ReadOptions): Promise<StepState> {
    const params: ReadParams = { key, options };
    return this.#runAtPrimary(
      "steps.read",
      params,
      (local) => local.read(key, options),
    );
  }

  ack(key: StepKey, through: number): Promise<StepState> {
    const params: AckParams = { key, through };
    return this.#runAtPrimary(
      "steps.ack",
      params,
      (local) => local.ack(key, through),
    );
  }

  cancel(key: StepKey): Promise<StepState> {
    return this.#runAtPrimary(
      "steps.cancel",
      key,
      (local) => local.cancel(key),
    );
  }

  show(key: StepKey): Promise<StepState> {
    return this.#runAtPrimary("steps.show", key, (local) => local.show(key));
  }

  #runAtPrimary(
    method: string,
    params: unknown,
    run: (local: StepPort) => Promise<StepState>,
  ): Promise<StepState> {
    const waitMs = (params as Partial<ReadParams>).options?.waitMs ?? 0;
    return this.#primary.call({
      method,
      params,
      timeoutMs: REQUEST_TIMEOUT_MS + waitMs,
      run: () => run(this.#options.local),
    });
  }
}
