/** Replicated state of the fleet's control log. */
import type { PolicyDocument } from "../policy/mod.ts";
import { Quarantine } from "../quarantine/mod.ts";
import { type Departure, Departures } from "./departures.ts";
import { Evacuations, type EvacuationUpdate } from "./evacuations.ts";
import type {
  FleetCommand,
  FleetCommandResult,
  UsageCounts,
} from "./fleet_command.ts";
import type { SuspicionUpdate } from "./fleet_notice.ts";

/** Serializable state. */
export interface FleetSnapshot {
  readonly policy?: { document: PolicyDocument; source: string };
  readonly weights: readonly (readonly [string, number])[];
  readonly ledgerVoters: readonly string[];
  readonly sealed: readonly (readonly [number, UsageCounts])[];
  readonly reported: number;
  readonly retiring: readonly (readonly [string, boolean])[];
  readonly suspicions?: SuspicionUpdate;
  readonly evacuations?: EvacuationUpdate;
  readonly departures?: readonly Departure[];
}

type Handlers = {
  readonly [T in FleetCommand["type"]]: (
    command: Extract<FleetCommand, { type: T }>,
  ) => boolean | FleetCommandResult;
};

/** Number of usage windows retained after they have been reported. */
const RETAINED_WINDOWS = 4;

/**
 * Applies the commands of the fleet's control log.
 *
 * @example
 * ```ts
 * state.apply({ type: "announceWeights", model: "m", version: 2 });
 * ```
 */
export class FleetState {
  #policy: { document: PolicyDocument; source: string } | undefined;
  #weights = new Map<string, number>();
  #ledgerVoters: readonly string[] = [];
  #sealed = new Map<number, UsageCounts>();
  #reported = 0;
  #retiring = new Map<string, boolean>();
  readonly #quarantine = new Quarantine();
  #suspicionVersion = 0;
  readonly #evacuations = new Evacuations();
  readonly #departures = new Departures();
  readonly #handlers: Handlers = {
    replacePolicy: ({ document, source }) => {
      if (document.revision <= this.policyRevision) return false;
      this.#policy = { document, source };
      return true;
    },
    announceWeights: ({ model, version }) => {
      if (version <= (this.#weights.get(model) ?? 0)) return false;
      this.#weights.set(model, version);
      return true;
    },
    formLedger: ({ voters }) => {
      if (this.#ledgerVoters.length > 0) return false;
      this.#ledgerVoters = voters;
      return true;
    },
    sealUsage: ({ window, counts }) => {
      if (this.#sealed.has(window) || window <= this.#reported) return false;
      this.#sealed.set(window, counts);
      return true;
    },
    usageReported: ({ window }) => {
      this.#reported = Math.max(this.#reported, window);
      for (const key of this.#sealed.keys()) {
        if (key <= this.#reported - RETAINED_WINDOWS) this.#sealed.delete(key);
      }
      return true;
    },
    reportRuns: ({ deaths, completed }) => {
      const changes = [
        ...completed.map((fingerprint) =>
          this.#quarantine.release(fingerprint)
        ),
        ...deaths.map((death) => this.#quarantine.recordDeath(death)),
      ];
      return this.#countSuspicionChange(changes.some((k) => k !== undefined));
    },
    takeTrial: ({ fingerprint, at }) =>
      this.#countSuspicionChange(this.#quarantine.takeTrial(fingerprint, at)),
    evacuate: (command) => this.#evacuations.apply(command),
    readmit: (command) => this.#evacuations.apply(command),
    depart: ({ departures }) => this.#departures.record(departures),
    retire: ({ name }) => {
      if (this.#retiring.has(name)) return false;
      this.#retiring.set(name, false);
      return true;
    },
    retired: ({ name }) => {
      this.#retiring.set(name, true);
      return true;
    },
  };

  /** Gets the policy in force; undefined before the first one. */
  get policy(): PolicyDocument | undefined {
    return this.#policy?.document;
  }

  /** Gets the policy document as sent by the operator. */
  get policySource(): string | undefined {
    return this.#policy?.source;
  }

  /** Gets the revision of the policy in force; 0 before the first one. */
  get policyRevision(): number {
    return this.#policy?.document.revision ?? 0;
  }

  /** Gets the newest announced weight version of each model. */
  get weights(): ReadonlyMap<string, number> {
    return this.#weights;
  }

  /** Gets the initial voters of the ledger log; empty until they are set. */
  get ledgerVoters(): readonly string[] {
    return this.#ledgerVoters;
  }

  /** Gets the retained sealed usage windows. */
  get sealed(): ReadonlyMap<number, UsageCounts> {
    return this.#sealed;
  }

  /** Gets the latest window whose report was accepted. */
  get reportedWindow(): number {
    return this.#reported;
  }

  /** Gets the instances being drained, with whether each has finished. */
  get retiring(): ReadonlyMap<string, boolean> {
    return this.#retiring;
  }

  /** Gets the number of changes of suspicions so far. */
  get suspicionVersion(): number {
    return this.#suspicionVersion;
  }

  /** Gets the state of all fingerprints under suspicion. */
  get suspicions(): SuspicionUpdate {
    return {
      version: this.#suspicionVersion,
      changes: this.#quarantine.save(),
    };
  }

  /** Gets the evacuated data centres, with the version of their state. */
  get evacuations(): Pick<Evacuations, "version" | "dataCentres" | "save"> {
    return this.#evacuations;
  }

  /** Gets the targets that have left of late. */
  get departures(): Pick<Departures, "has" | "all"> {
    return this.#departures;
  }

  /** Gets the last targets that ended under each request under suspicion. */
  get deadTargets(): ReadonlySet<string> {
    const { changes } = this.suspicions;
    return new Set(changes.flatMap(({ targets }) => targets ?? []));
  }

  /** Gets the state of fingerprints, under suspicion or not. */
  suspicionsOf(fingerprints: Iterable<string>): SuspicionUpdate {
    const changes = [...new Set(fingerprints)]
      .map((fingerprint) => this.#quarantine.changeOf(fingerprint));
    return { version: this.#suspicionVersion, changes };
  }

  /** Applies a command; one of another build changes nothing. */
  apply(command: FleetCommand): FleetCommandResult {
    const handler = this.#handlers[command.type] as
      | ((command: FleetCommand) => boolean | FleetCommandResult)
      | undefined;
    const result = handler?.(command) ?? false;
    if (typeof result !== "boolean") return result;
    return { type: result ? "done" : "unchanged" };
  }

  save(): FleetSnapshot {
    return {
      policy: this.#policy,
      weights: [...this.#weights],
      ledgerVoters: this.#ledgerVoters,
      sealed: [...this.#sealed],
      reported: this.#reported,
      retiring: [...this.#retiring],
      suspicions: this.suspicions,
      evacuations: this.#evacuations.save(),
      departures: this.#departures.all,
    };
  }

  /** Replaces the state with a saved one. */
  load(snapshot: FleetSnapshot): this {
    this.#policy = snapshot.policy;
    this.#weights = new Map(snapshot.weights);
    this.#ledgerVoters = snapshot.ledgerVoters;
    this.#sealed = new Map(snapshot.sealed);
    this.#reported = snapshot.reported;
    this.#retiring = new Map(snapshot.retiring);
    this.#quarantine.load(snapshot.suspicions?.changes ?? []);
    this.#suspicionVersion = snapshot.suspicions?.version ?? 0;
    this.#evacuations.load(snapshot.evacuations);
    this.#departures.load(snapshot.departures ?? []);
    return this;
  }

  #countSuspicionChange(isChanged: boolean): boolean {
    if (isChanged) this.#suspicionVersion += 1;
    return isChanged;
  }
}
