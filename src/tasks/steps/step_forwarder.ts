/** Sends step requests on to the instance that runs the steps. */
import type { StepKey } from "../../core/ledger/mod.ts";
import type { StepSpec } from "../../core/samples/mod.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";
import { PrimaryCaller } from "../ledger/primary_caller.ts";
import type { PeerHub } from "../peers/mod.ts";
import type { ReadOptions, StepPort, StepReading } from "./step_port.ts";

/** Options of {@link StepForwarder}. */
export interface StepForwarderOptions {
  /** Ledger of the data centre. */
  readonly ledger: LedgerPort;
  /** Steps of this instance, used while it is primary. */
  readonly local: StepPort;
  /** Links. */
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

/** Runs requests here where this instance is primary, else at the primary. */
export class StepForwarder implements StepPort {
  readonly #options: StepForwarderOptions;
  readonly #primary: PrimaryCaller;

  /** Creates the forwarder and answers the other instances' requests. */
  constructor(options: StepForwarderOptions) {
    this.#options = options;
    this.#primary = new PrimaryCaller(options);
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

  /** Submits a step. */
  submit(spec: StepSpec): Promise<StepReading> {
    return this.#run("steps.submit", spec, (local) => local.submit(spec));
  }

  /** Reads samples after a number. */
  read(key: StepKey, options: ReadOptions): Promise<StepReading> {
    const params: ReadParams = { key, options };
    return this.#run("steps.read", params, (local) => local.read(key, options));
  }

  /** Acknowledges samples up to a number. */
  ack(key: StepKey, through: number): Promise<StepReading> {
    const params: AckParams = { key, through };
    return this.#run("steps.ack", params, (local) => local.ack(key, through));
  }

  /** Cancels a step. */
  cancel(key: StepKey): Promise<StepReading> {
    return this.#run("steps.cancel", key, (local) => local.cancel(key));
  }

  /** Gets the state of a step. */
  show(key: StepKey): Promise<StepReading> {
    return this.#run("steps.show", key, (local) => local.show(key));
  }

  #run(
    method: string,
    params: unknown,
    run: (local: StepPort) => Promise<StepReading>,
  ): Promise<StepReading> {
    const waitMs = (params as Partial<ReadParams>).options?.waitMs ?? 0;
    return this.#primary.call({
      method,
      params,
      timeoutMs: REQUEST_TIMEOUT_MS + waitMs,
      run: () => run(this.#options.local),
    });
  }
}
