/** Operators' orders to evacuate data centres, at a control instance. */
import { setTimeout as sleep } from "node:timers/promises";
import {
  type EvacuationCommand,
  type FleetCommand,
  type FleetCommandResult,
  FleetRole,
  type FleetState,
} from "../../core/fleet/mod.ts";
import { CurrentPolicy } from "../../core/policy/mod.ts";
import type { TargetRegistry } from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { EvacuationWatch } from "./evacuation_watch.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { FleetPublisher } from "./fleet_publisher.ts";

/** Options of {@link EvacuationService}. */
export interface EvacuationServiceOptions {
  readonly node: Pick<
    FleetNode,
    "settings" | "roster" | "now" | "logger" | "metrics"
  >;
  readonly registry: TargetRegistry;
  readonly publisher: Pick<FleetPublisher, "publishEvacuations">;
  /** Gets the applied state of the control log. */
  readonly state: () => FleetState;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  readonly propose: (command: FleetCommand) => Promise<FleetCommandResult>;
}

/** An order of an operator. */
export interface EvacuationOrder {
  readonly type: EvacuationCommand["type"];
  readonly dataCentre: string;
  /** Gets whether its sender still waits for the answer. */
  readonly isAwaited: () => boolean;
}

/** Time in which a command is proposed again, for a change of the leader. */
const ORDER_TIMEOUT_MS = 2_500;
/** Delay before a command is proposed again. */
const RETRY_DELAY_MS = 60;

/** Commits the orders; a repeated order is committed as one without effect. */
export class EvacuationService {
  readonly #options: EvacuationServiceOptions;
  readonly #watch: EvacuationWatch;

  constructor(options: EvacuationServiceOptions) {
    this.#options = options;
    // A control instance sends to targets only while it leads, and it leads
    // only after it has applied all committed commands.
    const policy = new CurrentPolicy(() => options.state().policy);
    this.#watch = new EvacuationWatch({
      ...options,
      getService: (name) => policy.getService(name),
      onChanged: () => {},
    }).confirm(undefined);
  }

  /** Puts the applied state in force, and publishes it if it is new. */
  onStateChanged(): this {
    const { state, publisher } = this.#options;
    const { evacuations } = state();
    if (evacuations.version <= (this.#watch.version ?? -1)) return this;
    this.#watch.apply(evacuations.save());
    publisher.publishEvacuations();
    return this;
  }

  /**
   * Commits an order to the control log.
   * @throws RefusalError if the data centre is unknown, or if the order is not
   *     known to be committed in time.
   */
  async order(order: EvacuationOrder): Promise<void> {
    const { type, dataCentre } = order;
    if (!this.#isKnown(dataCentre)) {
      throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun, {
        message: `No data centre ${dataCentre} is known`,
      });
    }
    const endsAt = performance.now() + ORDER_TIMEOUT_MS;
    let after = this.#options.state().evacuations.version;
    let failure = new RefusalError(
      RefusalReason.ControlUnavailable,
      Verdict.NotRun,
    );
    while (true) {
      try {
        const command = { type, dataCentre, after } as const;
        const result = await this.#options.propose(command);
        if (result.type !== "outdated") return;
        after = result.version;
      } catch (err) {
        if (!isUnavailable(err)) throw err;
        failure = err.afterAttempt(failure.verdict);
      }
      // A sender that has left may have given a later order elsewhere, which
      // this one must not undo.
      if (performance.now() > endsAt || !order.isAwaited()) throw failure;
      await sleep(RETRY_DELAY_MS);
    }
  }

  /**
   * Gets whether a data centre is part of the deployment: by the settings, or
   * where they list none, by its members, targets and prices.
   */
  #isKnown(dataCentre: string): boolean {
    const { node, registry, state } = this.#options;
    if (state().evacuations.dataCentres.has(dataCentre)) return true;
    const { regions, dataCentre: own } = node.settings;
    if (regions !== undefined) return Object.hasOwn(regions, dataCentre);
    const members = Object.values(FleetRole)
      .flatMap((role) => node.roster.membersOf(role, node.now));
    return own === dataCentre ||
      members.some((member) => member.dataCentre === dataCentre) ||
      registry.presentReports.some((k) => k.dataCentre === dataCentre) ||
      (state().policy?.services ?? []).some(({ scaling }) =>
        Object.hasOwn(scaling?.prices ?? {}, dataCentre)
      );
  }
}

function isUnavailable(err: unknown): err is RefusalError {
  return err instanceof RefusalError &&
    err.reason === RefusalReason.ControlUnavailable;
}
