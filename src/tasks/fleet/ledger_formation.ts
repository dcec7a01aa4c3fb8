/** Formation of the ledger's log by the control leader. */
import { FleetRole } from "../../core/fleet/mod.ts";
import { FORM_METHOD } from "../batches/mod.ts";
import type { FleetControl } from "./fleet_control.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link LedgerFormation}. */
export interface LedgerFormationOptions {
  readonly node: FleetNode;
  readonly control: FleetControl;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

/**
 * Time that the leader waits for the full number of ledger instances before it
 * forms the ledger with fewer, in milliseconds.
 */
const FORM_FULL_WAIT_MS = 2_000;
const FORM_TIMEOUT_MS = 1_500;

/** Chooses the initial voters of the ledger's log, and tells them. */
export class LedgerFormation {
  readonly #options: LedgerFormationOptions;

  constructor(options: LedgerFormationOptions) {
    this.#options = options;
  }

  /**
   * Proposes the ledger's initial voters, or notifies them once the control log
   * has fixed them. The log accepts only the first proposal.
   */
  run(): void {
    const { node, control, now } = this.#options;
    if (control.leadsTerm === undefined) return;
    const { ledgerVoters } = control.state;
    if (ledgerVoters.length > 0) {
      this.#notifyVoters(ledgerVoters);
      return;
    }
    const replicas = node.linkedMembers(FleetRole.Ledger)
      .filter(({ member }) => member.replica !== undefined)
      .sort((a, b) => a.member.dataCentre < b.member.dataCentre ? -1 : 1);
    const voterCount = 2 * node.settings.tolerance + 1;
    const waitedMs = now() - control.leaderSince;
    if (replicas.length === 0) return;
    if (replicas.length < voterCount && waitedMs < FORM_FULL_WAIT_MS) return;
    const voters = selectVoters(
      replicas.map(({ member }) => member),
      voterCount,
    );
    node.logger.event("ledgerFormed", { voters });
    control.propose({ type: "formLedger", voters })
      .catch((err) => node.logger.error(err));
  }

  #notifyVoters(voters: readonly string[]): void {
    const { node } = this.#options;
    if (node.leaderOf(FleetRole.Ledger) !== undefined) return;
    for (const { id, member } of node.linkedMembers(FleetRole.Ledger)) {
      if (member.replica === undefined) continue;
      if (!voters.includes(member.replica)) continue;
      node.hub.request(id, FORM_METHOD, {
        params: voters,
        timeoutMs: FORM_TIMEOUT_MS,
      }).catch((err) =>
        node.logger.event("policyUnconfirmed", {
          reason: (err as Error).message,
        })
      );
    }
  }
}

interface Candidate {
  readonly dataCentre: string;
  readonly replica: string | undefined;
}

/**
 * Selects up to `voterCount` replicas, evenly over the data centres. The last
 * one is left out if their number would be even.
 */
function selectVoters(
  candidates: readonly Candidate[],
  voterCount: number,
): string[] {
  const remaining = [...candidates];
  const selected: string[] = [];
  const usedPerDataCentre = new Map<string, number>();
  while (selected.length < voterCount && remaining.length > 0) {
    remaining.sort((a, b) =>
      (usedPerDataCentre.get(a.dataCentre) ?? 0) -
      (usedPerDataCentre.get(b.dataCentre) ?? 0)
    );
    const next = remaining.shift()!;
    usedPerDataCentre.set(
      next.dataCentre,
      (usedPerDataCentre.get(next.dataCentre) ?? 0) + 1,
    );
    if (next.replica !== undefined) selected.push(next.replica);
  }
  if (selected.length % 2 === 0 && selected.length > 1) selected.pop();
  return selected;
}
