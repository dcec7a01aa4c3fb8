/** Grants trials of requests under which targets ended, on the control leader. */
import type { FleetState } from "../../core/fleet/mod.ts";
import {
  countTargets,
  type EndedTrial,
  GRANTED_TRIAL,
  ranBeside,
  TrialLimiter,
  type TrialReply,
  type TrialRequest,
} from "../../core/quarantine/mod.ts";
import type { TargetRegistry } from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { FleetMethod } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link TrialService}. */
export interface TrialServiceOptions {
  readonly node: FleetNode;
  readonly registry: TargetRegistry;
  /** Gets the applied state of the control log. */
  readonly state: () => FleetState;
  /** Gets the term that this replica leads; undefined unless it leads. */
  readonly leadsTerm: () => number | undefined;
  /** Gets the time on the clock of the registry, in milliseconds. */
  readonly now: () => number;
}

/** Serves the entry instances' requests for trials. */
export class TrialService {
  readonly #options: TrialServiceOptions;
  readonly #limiter = new TrialLimiter();

  /** Creates the service and registers its peer methods. */
  constructor(options: TrialServiceOptions) {
    this.#options = options;
    options.node.hub
      .handle(
        FleetMethod.TakeTrial,
        (params) => this.#take(params as TrialRequest),
      )
      .handle(FleetMethod.EndTrial, (params) => {
        this.#limiter.end(params as EndedTrial);
        return true;
      });
  }

  /** @throws RefusalError unless this replica leads. */
  #take(request: TrialRequest): TrialReply {
    const { state, leadsTerm, registry, node, now } = this.#options;
    if (leadsTerm() === undefined) {
      throw new RefusalError(RefusalReason.ControlUnavailable, Verdict.NotRun);
    }
    const { suspicions, deadTargets } = state();
    if (ranBeside(request, suspicions.changes)) return GRANTED_TRIAL;
    const counts = countTargets(request.service, {
      targets: registry.all
        .filter(({ report }) => !registry.isEvacuated(report.dataCentre)),
      dead: new Set([...deadTargets, ...request.targets]),
      reportIntervalMs: node.settings.times.reportIntervalMs,
      now: now(),
      wallNow: Date.now(),
    });
    return this.#limiter.take(request, counts, now());
  }
}
