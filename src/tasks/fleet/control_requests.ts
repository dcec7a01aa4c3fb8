/** Requests to the replicated control log, of this and other instances. */
import { UsageTotals } from "../../core/calls/mod.ts";
import {
  type FleetCommand,
  type FleetCommandResult,
  FleetRole,
} from "../../core/fleet/mod.ts";
import {
  findPolicyFaults,
  type PolicyDocument,
} from "../../core/policy/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import {
  confirmRequestSchema,
  fleetCommandSchema,
  readRequestSchema,
} from "../../schemas/mod.ts";
import { decodeRequest, type PeerHub } from "../peers/mod.ts";
import { settleWithin } from "../settle.ts";
import type { FleetLogService } from "./fleet_log_service.ts";
import {
  type ConfirmPolicyReply,
  type ConfirmPolicyRequest,
  createConfirmReply,
  FleetMethod,
  type ReadReply,
  type ReadRequest,
} from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link ControlRequests}. */
export interface ControlRequestsOptions {
  readonly node: Pick<FleetNode, "logger" | "requestLeader"> & {
    readonly hub: Pick<PeerHub, "handle">;
  };
  readonly service: Pick<
    FleetLogService,
    "state" | "applied" | "takesCommands" | "propose" | "confirmLeadership"
  >;
}

/** Below {@link REQUEST_TIMEOUT_MS}, so that the sender gets the reply. */
const CONFIRM_TIMEOUT_MS = 800;
/** Time after which the sender of a request to the leader stops waiting. */
const REQUEST_TIMEOUT_MS = 900;

/** Proposes commands to the log, and reads what it has committed. */
export class ControlRequests {
  /** Started requests, as reported by the entry instances. */
  readonly usageTotals = new UsageTotals();
  readonly #options: ControlRequestsOptions;

  /** Creates the requests and registers their peer methods. */
  constructor(options: ControlRequestsOptions) {
    this.#options = options;
    const { node, service } = options;
    node.hub
      .handle(
        FleetMethod.Propose,
        (params) => service.propose(decodeRequest(fleetCommandSchema, params)),
      )
      .handle(
        FleetMethod.Confirm,
        (params) => this.#confirm(decodeRequest(confirmRequestSchema, params)),
      )
      .handle(
        FleetMethod.Read,
        (params) => this.#read(decodeRequest(readRequestSchema, params)),
      );
  }

  /**
   * Proposes a policy; a revision that is not newer has no effect.
   * @throws RefusalError that lists every fault if the document is invalid.
   */
  async replacePolicy(document: PolicyDocument, source: string): Promise<void> {
    const faults = findPolicyFaults(document);
    if (faults.length > 0) {
      const { revision } = document;
      this.#options.node.logger.event("policyRefused", { revision, faults });
      throw new RefusalError(
        RefusalReason.ConfigurationInvalid,
        Verdict.NotRun,
        { message: faults.join("; ") },
      );
    }
    await this.propose({ type: "replacePolicy", document, source });
  }

  /** Reads the committed policy's source text; undefined if there is none. */
  async readPolicy(): Promise<string | undefined> {
    const { service } = this.#options;
    if (service.takesCommands) return (await this.#read()).source;
    return (await this.#readLeader()).source;
  }

  /**
   * Gets the position up to which the leader has applied the log, which includes
   * all that was acknowledged before the call.
   * @returns Undefined if the leader is of an earlier build.
   * @throws RefusalError if no leader is confirmed in time.
   */
  async readPosition(): Promise<number | undefined> {
    const request = { isPositionOnly: true };
    const { applied } = this.#options.service.takesCommands
      ? await this.#read(request)
      : await this.#readLeader(request);
    return applied;
  }

  async #readLeader(request: Partial<ReadRequest> = {}): Promise<ReadReply> {
    return await this.#options.node.requestLeader(
      FleetRole.Control,
      FleetMethod.Read,
      { params: request, timeoutMs: REQUEST_TIMEOUT_MS },
    ) as ReadReply;
  }

  /**
   * Proposes a command, through the leader if this replica does not lead.
   * @throws RefusalError if it is not committed in time; it may still be.
   */
  async propose(command: FleetCommand): Promise<FleetCommandResult> {
    const { node, service } = this.#options;
    if (service.takesCommands) {
      return await this.#proposeAsLeader(command);
    }
    return await node.requestLeader(
      FleetRole.Control,
      FleetMethod.Propose,
      { params: command, timeoutMs: REQUEST_TIMEOUT_MS },
    ) as FleetCommandResult;
  }

  /** Refuses a command that is not stored before its sender stops waiting. */
  async #proposeAsLeader(command: FleetCommand): Promise<FleetCommandResult> {
    const stored = this.#options.service.propose(command);
    const settled = await settleWithin(stored, REQUEST_TIMEOUT_MS);
    if (settled.isSettled) return settled.value;
    throw new RefusalError(
      RefusalReason.ControlUnavailable,
      Verdict.MayHaveRun,
      { message: "Not stored in time", retryAfterMs: REQUEST_TIMEOUT_MS },
    );
  }

  async #confirm(
    request: ConfirmPolicyRequest,
  ): Promise<ConfirmPolicyReply> {
    const { service } = this.#options;
    const { instance, life, usage } = request;
    this.usageTotals.record(`${instance}/${life}`, usage);
    await service.confirmLeadership(CONFIRM_TIMEOUT_MS);
    return createConfirmReply(service.state, request);
  }

  async #read(request: Partial<ReadRequest> = {}): Promise<ReadReply> {
    const { service } = this.#options;
    await service.confirmLeadership(CONFIRM_TIMEOUT_MS);
    const { applied, state } = service;
    const source = request.isPositionOnly ? undefined : state.policySource;
    return { source, applied };
  }
}
