/** Handlers of the endpoints for callers. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { ConfigurationView } from "../../core/configuration/mod.ts";
import type { KeyRecord } from "../../core/keys/mod.ts";
import type { StepSpec } from "../../core/samples/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import {
  ackRequestSchema,
  stepRequestSchema,
  weightsRequestSchema,
} from "../../protocol/mod.ts";
import type { Settings } from "../../settings/mod.ts";
import type { ControlPort } from "../control/control_port.ts";
import type { StepPort, StepState } from "../steps/mod.ts";
import type { CallTask } from "./call_task.ts";
import {
  authenticateOrThrow,
  getPresentedKey,
  throwIfKeyLeaks,
} from "./caller.ts";
import { sendJson } from "./http_response.ts";
import {
  checkBodyOrThrow,
  malformedRequest,
  parseJsonOrThrow,
  readBody,
} from "./http_body.ts";

/** A request with its path and query parameters. */
export interface HttpContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Parameters of the path, by name. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
}

/** Options of {@link RouteHandlers}. */
export interface RouteHandlersOptions {
  readonly settings: Settings;
  readonly control: ControlPort;
  readonly calls: CallTask;
  readonly steps: StepPort;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
}

const FENCED_RETRY_AFTER_MS = 2_000;
const MAX_WAIT_MS = 30_000;
const DEFAULT_WAIT_MS = 10_000;
const MAX_SAMPLES_PER_READ = 1_024;
const DEFAULT_STALENESS = { maxVersionsBehind: 1 };

/** Handles requests for models, services, steps and weights. */
export class RouteHandlers {
  readonly #options: RouteHandlersOptions;

  constructor(options: RouteHandlersOptions) {
    this.#options = options;
  }

  /** Runs a completion request at a target of the model. */
  async complete(ctx: HttpContext): Promise<void> {
    const { req, res } = ctx;
    const configuration = this.#getConfiguration();
    const key = this.#authenticateIfPresented(req);
    const raw = await this.#readBody(req);
    const json = parseJsonOrThrow(raw);
    const { model } = json;
    if (typeof model !== "string") {
      throw malformedRequest("model: Expected a string");
    }
    const routeId = findModelRoute(configuration, model, key?.workspace);
    const route = configuration.getPermittedRouteOrThrow(
      routeId,
      key?.workspace,
    );
    if (!route.open) this.#throwIfFenced(key?.workspace ?? "");
    const body = Buffer.from(JSON.stringify({ ...json, model: route.model }));
    throwIfKeyLeaks(req, body);
    this.#throwIfWithdrawn(key);
    const path = new URL(req.url ?? "/", "http://localhost").pathname;
    await this.#options.calls.run({
      req,
      res,
      key,
      routeId,
      route,
      path,
      body,
      json,
    });
  }

  listModels(ctx: HttpContext): void {
    const configuration = this.#getConfiguration();
    const key = this.#authenticateIfPresented(ctx.req);
    const data: { id: string; object: string }[] = [];
    for (const [id, route] of Object.entries(configuration.document.routes)) {
      if (
        route.kind !== "model" ||
        !canUseRoute(configuration, id, key?.workspace)
      ) {
        continue;
      }
      data.push({ id, object: "model" });
    }
    sendJson(ctx.res, { object: "list", data });
  }

  /** Forwards a request to a service. */
  async callService(ctx: HttpContext): Promise<void> {
    const { req, res } = ctx;
    const configuration = this.#getConfiguration();
    const routeId = ctx.params.route;
    const key = this.#authenticateIfPresented(req);
    const route = configuration.getPermittedRouteOrThrow(
      routeId,
      key?.workspace,
    );
    if (!route.open) this.#throwIfFenced(key?.workspace ?? "");
    if (route.kind !== "service") {
      throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun);
    }
    const body = await this.#readBody(req);
    throwIfKeyLeaks(req, body);
    this.#throwIfWithdrawn(key);
    const path = getServicePath(req.url ?? "/", routeId);
    await this.#options.calls.run({
      req,
      res,
      key,
      routeId,
      route,
      path,
      body,
    });
  }

  async submitStep(ctx: HttpContext): Promise<void> {
    const key = this.#authenticateOrThrow(ctx.req);
    const json = parseJsonOrThrow(await this.#readBody(ctx.req));
    const step = checkBodyOrThrow(stepRequestSchema, json);
    const configuration = this.#getConfiguration();
    const route = configuration.getPermittedRouteOrThrow(
      step.route,
      key.workspace,
    );
    if (route.model === undefined) {
      throw malformedRequest("route: Serves no model");
    }
    if (step.scoringRoute !== undefined) {
      const scoring = configuration.getPermittedRouteOrThrow(
        step.scoringRoute,
        key.workspace,
      );
      if (!scoring.idempotent || scoring.kind !== "service") {
        throw malformedRequest("scoringRoute: Expected an idempotent service");
      }
    }
    const bound = configuration.getStaleness(route.model) ?? DEFAULT_STALENESS;
    const spec: StepSpec = {
      id: step.id,
      workspace: key.workspace,
      keyId: key.id,
      route: step.route,
      model: route.model,
      groups: step.groups,
      staleness: tightenStaleness(step.staleness ?? bound, bound),
      deadline: this.#options.now() + step.deadlineMs,
      tokensPerSample: step.tokensPerSample,
      scoringRoute: step.scoringRoute,
    };
    this.#throwIfWithdrawn(key);
    const state = await this.#options.steps.submit(spec);
    sendJson(ctx.res, { step: step.id, ...state }, { status: 201 });
  }

  /**
   * Sends the samples of a step after a sequence number, as JSON or as
   * newline-delimited JSON.
   */
  async readSamples(ctx: HttpContext): Promise<void> {
    const { key, step } = this.#authenticateStepRequest(ctx);
    const after = parseQueryNumber(ctx.query, "after", { fallback: 0 });
    const waitMs = parseQueryNumber(ctx.query, "waitMs", {
      fallback: DEFAULT_WAIT_MS,
    });
    const max = parseQueryNumber(ctx.query, "max", {
      fallback: MAX_SAMPLES_PER_READ,
    });
    const state = await this.#options.steps.read(
      { workspace: key.workspace, step },
      {
        after,
        waitMs: Math.min(waitMs, MAX_WAIT_MS),
        max: Math.min(Math.max(1, max), MAX_SAMPLES_PER_READ),
      },
    );
    this.#throwIfWithdrawn(key);
    this.#sendSamples(ctx, step, state);
  }

  /** Sends the state of a step without samples. */
  async showStep(ctx: HttpContext): Promise<void> {
    const { key, step } = this.#authenticateStepRequest(ctx);
    const { workspace } = key;
    const state = await this.#options.steps.show({ workspace, step });
    const { status, total, delivered, acked, failures } = state;
    sendJson(ctx.res, { step, status, total, delivered, acked, failures });
  }

  /** Acknowledges samples up to a sequence number. */
  async ackSamples(ctx: HttpContext): Promise<void> {
    const { key, step } = this.#authenticateStepRequest(ctx);
    const json = parseJsonOrThrow(await this.#readBody(ctx.req));
    const { through } = checkBodyOrThrow(ackRequestSchema, json);
    const state = await this.#options.steps.ack(
      { workspace: key.workspace, step },
      through,
    );
    sendJson(ctx.res, { step, ...state });
  }

  async cancelStep(ctx: HttpContext): Promise<void> {
    const { key, step } = this.#authenticateStepRequest(ctx);
    const state = await this.#options.steps.cancel({
      workspace: key.workspace,
      step,
    });
    sendJson(ctx.res, { step, ...state });
  }

  /** Announces a weight version that a trainer has stored. */
  async announceWeights(ctx: HttpContext): Promise<void> {
    const key = this.#authenticateOrThrow(ctx.req);
    const json = parseJsonOrThrow(await this.#readBody(ctx.req));
    const { model, version } = checkBodyOrThrow(weightsRequestSchema, json);
    const configuration = this.#getConfiguration();
    const routeId = findModelRoute(configuration, model, key.workspace);
    const served =
      configuration.getPermittedRouteOrThrow(routeId, key.workspace).model;
    if (served === undefined) throw malformedRequest("model: Unknown model");
    await this.#options.control.propose({
      type: "announceWeights",
      model: served,
      version,
      at: this.#options.now(),
    });
    const newest = this.#options.control.state.getWeights(served);
    sendJson(ctx.res, { model: served, newest: newest?.version });
  }

  #getConfiguration(): ConfigurationView {
    const { document, revision } = this.#options.control.state.configuration;
    return new ConfigurationView(document, revision);
  }

  #getKeys() {
    return this.#options.control.state.keys;
  }

  #authenticateIfPresented(req: IncomingMessage): KeyRecord | undefined {
    if (getPresentedKey(req) === undefined) return undefined;
    return authenticateOrThrow(req, this.#getKeys());
  }

  #authenticateOrThrow(req: IncomingMessage): KeyRecord {
    const key = authenticateOrThrow(req, this.#getKeys());
    this.#throwIfFenced(key.workspace);
    return key;
  }

  #throwIfWithdrawn(key: KeyRecord | undefined): void {
    if (key === undefined || this.#getKeys().isLive(key.id)) return;
    throw new RefusalError(RefusalReason.KeyWithdrawn, Verdict.NotRun);
  }

  /**
   * Throws if this instance may be cut off from the control log. It must then
   * not serve the workspace, whose keys and routes may have changed.
   */
  #throwIfFenced(workspace: string): void {
    if (this.#options.control.mayServe(workspace)) return;
    throw new RefusalError(RefusalReason.DataCentreFenced, Verdict.NotRun, {
      message: "This data centre is cut off from the control log",
      retryAfterMs: FENCED_RETRY_AFTER_MS,
    });
  }

  #readBody(req: IncomingMessage): Promise<Buffer> {
    const { maxBodyBytes, bodyTimeoutMs } = this.#options.settings.http;
    return readBody(req, { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs });
  }

  #authenticateStepRequest(ctx: HttpContext): { key: KeyRecord; step: string } {
    const key = this.#authenticateOrThrow(ctx.req);
    return { key, step: ctx.params.step };
  }

  #sendSamples(ctx: HttpContext, step: string, state: StepState): void {
    const accept = ctx.req.headers.accept ?? "";
    if (!accept.includes("application/x-ndjson")) {
      sendJson(ctx.res, { step, ...state });
      return;
    }
    const lines = state.samples.map((sample) => JSON.stringify(sample));
    ctx.res.writeHead(200, {
      "content-type": "application/x-ndjson",
      "x-step-status": state.status,
    });
    ctx.res.end(lines.map((line) => line + "\n").join(""));
  }
}

function findModelRoute(
  configuration: ConfigurationView,
  model: string,
  workspace: string | undefined,
): string {
  if (configuration.getRoute(model)?.kind === "model") return model;
  const routes = Object.entries(configuration.document.routes)
    .filter(([, route]) => route.model === model)
    .map(([id]) => id);
  const usable = routes.find((id) => canUseRoute(configuration, id, workspace));
  return usable ?? routes[0] ?? model;
}

function canUseRoute(
  configuration: ConfigurationView,
  routeId: string,
  workspace: string | undefined,
): boolean {
  try {
    configuration.getPermittedRouteOrThrow(routeId, workspace);
    return true;
  } catch {
    return false;
  }
}

function getServicePath(url: string, routeId: string): string {
  const prefix = `/services/${routeId}`;
  const rest = url.slice(prefix.length);
  return rest.startsWith("/") ? rest : `/${rest}`;
}

function parseQueryNumber(
  query: URLSearchParams,
  name: string,
  options: { fallback: number },
): number {
  const text = query.get(name);
  if (text === null) return options.fallback;
  const value = Number(text);
  if (Number.isInteger(value) && value >= 0) return value;
  throw malformedRequest(`${name}: Expected a whole number`);
}

function tightenStaleness(
  requested: StepSpec["staleness"],
  bound: StepSpec["staleness"],
): StepSpec["staleness"] {
  const ages = [requested.maxAgeMs, bound.maxAgeMs]
    .filter((age) => age !== undefined);
  return {
    maxVersionsBehind: Math.min(
      requested.maxVersionsBehind,
      bound.maxVersionsBehind,
    ),
    maxAgeMs: ages.length === 0 ? undefined : Math.min(...ages),
  };
}
