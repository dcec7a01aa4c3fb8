/** Callers that keep their connections to each entry instance. */
import { Client } from "undici";
import {
  type FleetDeployment,
  type FleetMachine,
  sleep,
} from "../../tests/support/fleet_deployment.ts";
import { FleetRole } from "../../src/core/fleet/mod.ts";
import { FLEET_NAMES } from "../../tests/support/fleet_policy.ts";
import { DEPLOYED_PORTS } from "./start_launcher.ts";

/** Options of {@link StartProbe}. */
export interface StartProbeOptions {
  readonly fleet: FleetDeployment;
  /** API key of the callers. */
  readonly key: string;
  /** Gets whether an instance is in no state, and must answer. */
  readonly isSound: (machine: FleetMachine) => boolean;
  readonly onFinding: (text: string) => void;
}

const INTERVAL_MS = 60;
/** Time within which a returned machine counts again, as all others must. */
const UNSERVED_BOUND_MS = 4_900;
/** Time after which a caller of the route gives up. */
const CALL_TIMEOUT_MS = 4_000;
const { host, plain } = FLEET_NAMES;

/** Sends calls to each entry instance, one after the other. */
export class StartProbe {
  readonly #options: StartProbeOptions;
  #answered = 0;
  #refused = 0;
  #isStopping = false;

  constructor(options: StartProbeOptions) {
    this.#options = options;
  }

  /** Gets the number of answered calls. */
  get answered(): number {
    return this.#answered;
  }

  /** Gets the number of calls that instances in no state did not answer. */
  get refused(): number {
    return this.#refused;
  }

  stop(): this {
    this.#isStopping = true;
    return this;
  }

  /** Sends calls until {@link StartProbe.stop}. */
  async run(): Promise<void> {
    const entries = this.#options.fleet.machinesWithRole(FleetRole.Entry);
    await Promise.all(entries.map((machine) => this.#callAll(machine)));
  }

  async #callAll(machine: FleetMachine): Promise<void> {
    const { isSound, onFinding } = this.#options;
    const client = new Client(`http://${machine.id}:${DEPLOYED_PORTS.callers}`);
    let servedAt = Date.now();
    for (let i = 0; !this.#isStopping; i += 1) {
      const result = await this.#call(client, `probe-${machine.name}-${i}`);
      const isAnswered = result === "200";
      if (isAnswered) this.#answered += 1;
      else if (isSound(machine)) this.#refused += 1;
      if (Date.now() - servedAt > UNSERVED_BOUND_MS && isSound(machine)) {
        onFinding(`no call is answered at ${machine.name}: ${result}`);
        servedAt = Date.now();
      }
      if (isAnswered || !isSound(machine)) servedAt = Date.now();
      await sleep(INTERVAL_MS);
    }
    await client.destroy();
  }

  async #call(client: Client, id: string): Promise<string> {
    try {
      const response = await client.request({
        method: "POST",
        path: `${plain}${id}`,
        headers: {
          host,
          authorization: `Bearer ${this.#options.key}`,
          "request-id": id,
        },
        body: "call",
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const text = await response.body.text();
      const isAnswer = response.statusCode === 200;
      return isAnswer ? "200" : `${response.statusCode} ${text}`;
    } catch (err) {
      return (err as Error).message;
    }
  }
}
