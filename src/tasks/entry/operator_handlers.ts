/** Handlers of the endpoints for operators and targets. */
import { randomBytes } from "node:crypto";
import * as z from "zod";
import { SECTION_NAMES } from "../../core/configuration/mod.ts";
import type { CommandResult } from "../../core/control/mod.ts";
import type { InForceStatus } from "../../core/feed/mod.ts";
import { createKeyRecord, formatKey } from "../../core/keys/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { TargetAnnouncement } from "../../core/routing/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { announceRequestSchema } from "../../protocol/mod.ts";
import type { Settings } from "../../settings/mod.ts";
import type { ControlPort } from "../control/control_port.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";
import type { DispatchTask } from "../targets/mod.ts";
import { AccessGuard, type AccessTokens } from "./access_guard.ts";
import { sendJson } from "./http_response.ts";
import {
  checkBodyOrThrow,
  malformedRequest,
  parseJsonOrThrow,
  readBody,
} from "./http_body.ts";
import type { HttpContext } from "./http_context.ts";

/** Options of {@link OperatorHandlers}. */
export interface OperatorHandlersOptions {
  readonly settings: Settings;
  readonly tokens: AccessTokens;
  readonly control: ControlPort;
  readonly ledger: LedgerPort;
  readonly dispatch: DispatchTask;
  /** Called with the announcement of a target. */
  readonly onAnnounced: (announcement: TargetAnnouncement) => void;
  /** Called with the ID of a target that is leaving. */
  readonly onLeaving: (targetId: string) => void;
  readonly metrics: Metrics;
  /** Gets further fields of the status response. */
  readonly status: () => Readonly<Record<string, unknown>>;
}

const SECRET_BYTES = 24;
const SALT_BYTES = 16;

const changeSchema = z.strictObject({
  requestId: z.string().min(1).max(128),
  team: z.string().optional(),
  sections: z.partialRecord(z.enum(SECTION_NAMES), z.unknown()),
  base: z.partialRecord(
    z.enum(SECTION_NAMES),
    z.number().int().nonnegative(),
  ).default({}),
});

const createKeySchema = z.strictObject({
  id: z.string().regex(/^[A-Za-z0-9-]{1,64}$/, "Expected a plain name"),
  workspace: z.string(),
});

/** Handles the requests of operators and targets. */
export class OperatorHandlers {
  readonly #options: OperatorHandlersOptions;
  readonly #guard: AccessGuard;

  constructor(options: OperatorHandlersOptions) {
    this.#options = options;
    this.#guard = new AccessGuard(options.tokens);
  }

  /** Responds to the health checks of a load balancer. */
  health(ctx: HttpContext): void {
    sendJson(ctx.res, { status: "serving", id: this.#options.settings.id });
  }

  /** Sends the configuration document with the revision of each section. */
  showConfiguration(ctx: HttpContext): void {
    this.#guard.throwIfNotOperator(ctx.req);
    const { configuration } = this.#options.control.state;
    const sections = Object.fromEntries(
      SECTION_NAMES.map((name) => [name, configuration.revisionOf(name)]),
    );
    const { revision, document } = configuration;
    sendJson(ctx.res, { revision, sections, document });
  }

  /** Applies a change to the configuration. */
  async changeConfiguration(ctx: HttpContext): Promise<void> {
    this.#guard.throwIfNotOperator(ctx.req);
    const json = await this.#readJson(ctx);
    const change = checkBodyOrThrow(changeSchema, json);
    const formerHomes = this.#getAllHomeDataCentres();
    const result = await this.#options.control.propose({
      type: "changeConfiguration",
      change,
    });
    await this.#sendCommandResult(ctx, result, formerHomes);
  }

  /**
   * Creates a key. Its secret is sent in this response only, and not stored.
   */
  async createKey(ctx: HttpContext): Promise<void> {
    this.#guard.throwIfNotOperator(ctx.req);
    const json = await this.#readJson(ctx);
    const { id, workspace } = checkBodyOrThrow(createKeySchema, json);
    const { state } = this.#options.control;
    if (!(workspace in state.configuration.document.workspaces)) {
      throw malformedRequest("workspace: Unknown workspace");
    }
    if (state.keys.get(id) !== undefined) {
      throw new RefusalError(
        RefusalReason.ConfigurationConflict,
        Verdict.NotRun,
        { message: "A key with this identifier exists" },
      );
    }
    const secret = randomBytes(SECRET_BYTES).toString("base64url");
    const salt = randomBytes(SALT_BYTES).toString("hex");
    const key = createKeyRecord({ id, workspace, secret, salt });
    await this.#options.control.propose({ type: "putKey", key });
    const inForceStatus = await this.#awaitInForce(
      this.#getHomeDataCentres([workspace]),
    );
    const body = {
      id,
      workspace,
      key: formatKey({ id, secret }),
      ...inForceStatus,
    };
    sendJson(ctx.res, body, { status: 201 });
  }

  /** Lists all keys, without their digests. */
  listKeys(ctx: HttpContext): void {
    this.#guard.throwIfNotOperator(ctx.req);
    const keys = this.#options.control.state.keys.list()
      .map(({ id, workspace, withdrawn }) => ({ id, workspace, withdrawn }));
    sendJson(ctx.res, { keys });
  }

  /**
   * Withdraws a key; responds with status 202 if the withdrawal is not in force
   * on every instance in time.
   */
  async withdrawKey(ctx: HttpContext): Promise<void> {
    this.#guard.throwIfNotOperator(ctx.req);
    const { id } = ctx.params;
    const key = this.#options.control.state.keys.get(id);
    if (key === undefined) {
      throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun);
    }
    await this.#options.control.propose({ type: "withdrawKey", id });
    const inForceStatus = await this.#awaitInForce(
      this.#getHomeDataCentres([key.workspace]),
    );
    const answer = inForceStatus.isInForce ? "accepted" : "pending";
    const status = inForceStatus.isInForce ? 200 : 202;
    sendJson(ctx.res, { id, answer, awaited: inForceStatus.awaited }, {
      status,
    });
  }

  /** Sends the status of the instance and its targets. */
  showStatus(ctx: HttpContext): void {
    this.#guard.throwIfNotOperator(ctx.req);
    const { settings, control, ledger, dispatch, metrics } = this.#options;
    const targets = dispatch.dispatcher.targets.list().map((target) => ({
      id: target.id,
      zone: target.announcement.zone,
      phase: target.phase,
      inFlight: target.inFlight,
      window: target.windowSize,
      weightVersion: target.weightVersion,
    }));
    sendJson(ctx.res, {
      id: settings.id,
      dataCentre: settings.dataCentre,
      revision: control.state.configuration.revision,
      isLedgerPrimary: ledger.isPrimary,
      waitingOrRunning: dispatch.size,
      targets,
      metrics: metrics.values(),
      ...this.#options.status(),
    });
  }

  listSteps(ctx: HttpContext): void {
    this.#guard.throwIfNotOperator(ctx.req);
    const steps = this.#options.ledger.state.steps.map((step) => ({
      workspace: step.spec.workspace,
      step: step.spec.id,
      status: step.status,
      total: step.total,
      delivered: step.delivered,
      acked: step.acked,
    }));
    sendJson(ctx.res, { steps });
  }

  /**
   * Sends the usage of the open window, of sealed windows, and of windows in
   * the control log.
   */
  showUsage(ctx: HttpContext): void {
    this.#guard.throwIfNotOperator(ctx.req);
    const { usage } = this.#options.ledger.state;
    sendJson(ctx.res, {
      open: usage.open,
      openWindow: usage.openWindow,
      sealed: usage.sealed,
      committed: this.#options.control.state.usage,
    });
  }

  /** Accepts the announcement of a target. */
  async announceTarget(ctx: HttpContext): Promise<void> {
    this.#guard.throwIfNotTarget(ctx.req);
    const json = await this.#readJson(ctx);
    const announcement = checkBodyOrThrow(announceRequestSchema, json);
    this.#options.onAnnounced(announcement);
    sendJson(ctx.res, { id: announcement.id });
  }

  /** Accepts the notice that a target is leaving. */
  leaveTarget(ctx: HttpContext): void {
    this.#guard.throwIfNotTarget(ctx.req);
    this.#options.onLeaving(ctx.params.id);
    sendJson(ctx.res, { id: ctx.params.id });
  }

  async #sendCommandResult(
    ctx: HttpContext,
    result: CommandResult,
    homes: readonly string[],
  ): Promise<void> {
    if (result.type === "applied") {
      const all = new Set([...homes, ...this.#getAllHomeDataCentres()]);
      const inForceStatus = await this.#awaitInForce([...all]);
      const type = inForceStatus.isInForce ? "accepted" : "pending";
      const { revision } = result;
      sendJson(
        ctx.res,
        { answer: type, revision, awaited: inForceStatus.awaited },
        { status: inForceStatus.isInForce ? 200 : 202 },
      );
      return;
    }
    const status = result.type === "conflict" ? 409 : 422;
    const { type, ...rest } = result;
    const code = result.type === "conflict"
      ? RefusalReason.ConfigurationConflict
      : RefusalReason.ConfigurationInvalid;
    const verdict = Verdict.NotRun;
    const message = `Change not applied: ${type}`;
    const error = { code, message, verdict };
    sendJson(ctx.res, { answer: type, error, ...rest }, { status });
  }

  #awaitInForce(homes: readonly string[]): Promise<InForceStatus> {
    return this.#options.control.awaitInForce(homes);
  }

  #getAllHomeDataCentres(): string[] {
    const { document } = this.#options.control.state.configuration;
    return this.#getHomeDataCentres(Object.keys(document.workspaces));
  }

  #getHomeDataCentres(workspaces: readonly string[]): string[] {
    const { document } = this.#options.control.state.configuration;
    const homes = workspaces.map((id) => document.workspaces[id]?.home);
    return [...new Set(homes.filter((home) => home !== undefined))];
  }

  async #readJson(ctx: HttpContext): Promise<Record<string, unknown>> {
    const { maxBodyBytes, bodyTimeoutMs } = this.#options.settings.http;
    const body = await readBody(ctx.req, {
      maxBytes: maxBodyBytes,
      timeoutMs: bodyTimeoutMs,
    });
    return parseJsonOrThrow(body);
  }
}
