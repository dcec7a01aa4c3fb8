/** Retirement of ledger instances, at a control instance. */
import { FleetRole, type RosterEntry } from "../../core/fleet/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { BatchMethod } from "../batches/mod.ts";
import type { FleetControl } from "./fleet_control.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link RetirementService}. */
export interface RetirementServiceOptions {
  readonly node: FleetNode;
  readonly control: FleetControl;
}

/** Time allowed for the reply of the ledger's leader. */
const HOLDERS_TIMEOUT_MS = 800;

/** Begins retirements, and records when they are complete. */
export class RetirementService {
  readonly #options: RetirementServiceOptions;

  constructor(options: RetirementServiceOptions) {
    this.#options = options;
  }

  /**
   * Starts to move the data off a ledger instance.
   * @throws RefusalError if the instance is unknown, or if fewer than
   *     `2 * tolerance + 1` instances would remain.
   */
  async begin(name: string): Promise<void> {
    const { node } = this.#options;
    if (this.#options.control.state.retiring.has(name)) return;
    const ledgers = this.#ledgerMembers();
    if (!ledgers.some((member) => member.name === name)) {
      throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun, {
        message: `No instance ${name} holds data`,
      });
    }
    const { retiring } = this.#options.control.state;
    const remaining = ledgers.filter((member) =>
      member.name !== name && !retiring.has(member.name)
    );
    if (remaining.length < 2 * node.settings.tolerance + 1) {
      throw new RefusalError(
        RefusalReason.ConfigurationConflict,
        Verdict.NotRun,
        { message: "Too few instances would be left" },
      );
    }
    await this.#options.control.propose({ type: "retire", name });
    node.logger.event("instanceRetiring", { instance: name });
  }

  /**
   * Checks whether a retiring instance holds no data, and then records it as
   * retired.
   * @throws RefusalError if the instance is not retiring, or if the ledger's
   *     leader does not answer.
   */
  async check(name: string): Promise<boolean> {
    const { node } = this.#options;
    const { retiring } = this.#options.control.state;
    if (!retiring.has(name)) {
      throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun, {
        message: `${name} is not being emptied`,
      });
    }
    if (retiring.get(name) === true) return true;
    const holders = await node.requestLeader(
      FleetRole.Ledger,
      BatchMethod.Holders,
      { params: {}, timeoutMs: HOLDERS_TIMEOUT_MS },
    ) as readonly string[];
    const members = this.#ledgerMembers()
      .filter((member) => member.name === name);
    const isEmpty = members.every(({ id }) => !holders.includes(id));
    if (members.length === 0 || !isEmpty) return false;
    await this.#options.control.propose({ type: "retired", name });
    node.logger.event("instanceRetired", { instance: name });
    return true;
  }

  /**
   * Gets the ledger instances that any control instance has a link to. This one
   * need not have one, as a ledger instance links to a few control instances.
   */
  #ledgerMembers(): RosterEntry[] {
    const { roster, now } = this.#options.node;
    return roster.membersOf(FleetRole.Ledger, now);
  }
}
