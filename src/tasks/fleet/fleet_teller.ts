/** What a control instance tells the others: policy, targets, members. */
import { randomBytes } from "node:crypto";
import {
  type ChangeMark,
  type FleetNotice,
  FleetRole,
  type FleetState,
  type RosterEntry,
} from "../../core/fleet/mod.ts";
import type { PolicyDocument } from "../../core/policy/mod.ts";
import {
  isSamePlace,
  type LoadedVersion,
  type TargetRegistry,
  type TargetReport,
} from "../../core/registry/mod.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link FleetTeller}. */
export interface FleetTellerOptions {
  readonly node: FleetNode;
  readonly registry: TargetRegistry;
  readonly state: () => FleetState;
  /** Gets the term that this instance leads. */
  readonly leadsTerm: () => number | undefined;
  readonly now: () => number;
}

interface ToldPolicy {
  readonly revision: number;
  readonly at: number;
}

const LIFE_BYTES = 4;
/** Time between two tellings to an instance that knows nothing yet. */
const TELL_NEW_MS = 300;
/** Time after which the same policy is told again to who lacks it. */
const TELL_POLICY_MS = 500;
/** Time in which signs of what an instance has taken in come back. */
const TELL_AGAIN_MS = 1_500;
/** Rounds after which the roster is told although it is the same. */
const ROSTER_ROUNDS = 15;
/** Roles that follow policy and targets. */
const TOLD_ROLES: readonly FleetRole[] = [FleetRole.Entry, FleetRole.Ledger];
/** Roles that hold a log. */
const LOG_HOLDERS: readonly FleetRole[] = [FleetRole.Control, FleetRole.Ledger];

/** Pushes changes at once, and tells again whoever lacks something. */
export class FleetTeller {
  readonly #options: FleetTellerOptions;
  readonly #life = randomBytes(LIFE_BYTES).toString("hex");
  readonly #toldAt = new Map<string, number>();
  readonly #toldPolicy = new Map<string, ToldPolicy>();
  /** Last change by role: entry instances do not follow versions. */
  readonly #changes = new Map<FleetRole, number>();
  #isTelling = false;
  #toldRoster = "";
  #rosterRound = 0;

  /** Creates a teller. */
  constructor(options: FleetTellerOptions) {
    this.#options = options;
  }

  /** Tells the policy soon; of several applied together only the last one. */
  onPolicy(): void {
    if (this.#isTelling) return;
    this.#isTelling = true;
    setImmediate(() => {
      this.#isTelling = false;
      this.#tellPolicy(this.#options.state().policy);
    });
  }

  /**
   * Tells a change of a target to those who send it work.
   * @param known - What was known of it before.
   */
  onTarget(report: TargetReport, known: TargetReport | undefined): void {
    const isMoved = known === undefined || !isSamePlace(known, report);
    this.#tellTarget(FleetRole.Ledger, report);
    if (isMoved) this.#tellTarget(FleetRole.Entry, report);
  }

  /** Tells the other control instances of a report that came here. */
  shareReport(report: TargetReport): void {
    const { node } = this.#options;
    const notice: FleetNotice = {
      type: "targets",
      mark: undefined,
      isWhole: false,
      reports: [report],
    };
    node.notifyRole(FleetRole.Control, notice);
  }

  /** Tells that a target loads weights, or has. */
  onLoad(type: "loading" | "loaded", load: LoadedVersion): void {
    const { node } = this.#options;
    for (const role of LOG_HOLDERS) node.notifyRole(role, { type, ...load });
  }

  /** Whoever lacks something is told again, however it was lost. */
  tellAll(): void {
    const { node, state } = this.#options;
    this.#tellPolicy(state().policy);
    for (const role of TOLD_ROLES) {
      for (const { id, member } of node.present(role)) {
        const seen = member.targetsSeen[node.settings.id];
        const isNew = seen?.life !== this.#life;
        const { change } = this.#markOf(role);
        const isBehind = isNew || seen.change < change;
        if (isBehind) this.#tellTargets(id, role, isNew);
      }
    }
    this.#tellRoster();
  }

  #tellTarget(role: FleetRole, report: TargetReport): void {
    const { node } = this.#options;
    this.#changes.set(role, (this.#changes.get(role) ?? 0) + 1);
    node.notifyRole(role, {
      type: "targets",
      mark: this.#markOf(role),
      isWhole: false,
      reports: [report],
    });
  }

  #markOf(role: FleetRole): ChangeMark {
    return { life: this.#life, change: this.#changes.get(role) ?? 0 };
  }

  #tellPolicy(document: PolicyDocument | undefined): void {
    if (document === undefined) return;
    const { node } = this.#options;
    const notice: FleetNotice = { type: "policy", document };
    const lacking = TOLD_ROLES.flatMap((role) => [...node.present(role)])
      .filter(({ member }) => member.policyRevision < document.revision)
      .filter(({ id }) => this.#mayTellPolicy(id, document.revision));
    node.notify(lacking.map(({ id }) => id), notice);
  }

  #mayTellPolicy(id: string, revision: number): boolean {
    const at = this.#options.now();
    const told = this.#toldPolicy.get(id);
    const isRecent = told !== undefined && at - told.at < TELL_POLICY_MS;
    if (isRecent && told.revision >= revision) return false;
    this.#toldPolicy.set(id, { revision, at });
    return true;
  }

  /** Signs of what an instance has taken in come back with a delay. */
  #tellTargets(id: string, role: FleetRole, isNew: boolean): void {
    const { node, registry, now } = this.#options;
    const at = now();
    const pauseMs = isNew ? TELL_NEW_MS : TELL_AGAIN_MS;
    if (at - (this.#toldAt.get(id) ?? -Infinity) < pauseMs) return;
    this.#toldAt.set(id, at);
    node.notify([id], {
      type: "targets",
      mark: this.#markOf(role),
      isWhole: true,
      reports: registry.all.map((target) => target.report),
    });
  }

  #tellRoster(): void {
    const { node, state } = this.#options;
    const members = this.#members();
    const retiring = [...state().retiring.keys()];
    this.#rosterRound += 1;
    const roster = JSON.stringify({ members, retiring });
    const isDue = this.#rosterRound % ROSTER_ROUNDS === 0;
    if (roster === this.#toldRoster && !isDue) return;
    this.#toldRoster = roster;
    for (const role of Object.values(FleetRole)) {
      node.notifyRole(role, { type: "roster", members, retiring });
    }
  }

  #members(): RosterEntry[] {
    const { node, leadsTerm } = this.#options;
    const { id, dataCentre } = node.settings;
    const own: RosterEntry = {
      id,
      role: FleetRole.Control,
      dataCentre,
      leadsTerm: leadsTerm(),
    };
    const others = LOG_HOLDERS.flatMap((role) =>
      node.present(role).map(({ id: other, member }) => ({
        id: other,
        role,
        dataCentre: member.dataCentre,
        leadsTerm: member.leadsTerm,
      }))
    );
    return [own, ...others].sort((a, b) => a.id < b.id ? -1 : 1);
  }
}
