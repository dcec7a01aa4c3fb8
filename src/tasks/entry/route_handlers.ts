/** Handlers of the endpoints for callers. */
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { weightsRequestSchema } from "../../protocol/mod.ts";
import type { Settings } from "../../settings/mod.ts";
import type { ControlPort } from "../control/control_port.ts";
import type { StepPort } from "../steps/mod.ts";
import type { CallTask } from "./call_task.ts";
import { throwIfKeyLeaks } from "./caller.ts";
import { CallerAccess } from "./caller_access.ts";
import { sendJson } from "./http_response.ts";
import {
  checkBodyOrThrow,
  malformedRequest,
  parseJsonOrThrow,
} from "./http_body.ts";
import type { HttpContext } from "./http_context.ts";
import { canUseRoute, findModelRoute } from "./model_routes.ts";
import { StepHandlers } from "./step_handlers.ts";

/** Options of {@link RouteHandlers}. */
export interface RouteHandlersOptions {
  readonly settings: Settings;
  readonly control: ControlPort;
  readonly calls: CallTask;
  readonly steps: StepPort;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
}

/** Handles requests for models, services and weights. */
export class RouteHandlers {
  /** Handlers of the endpoints for steps. */
  readonly steps: StepHandlers;
  readonly #options: RouteHandlersOptions;
  readonly #access: CallerAccess;

  constructor(options: RouteHandlersOptions) {
    this.#options = options;
    this.#access = new CallerAccess(options);
    const { steps, now } = options;
    this.steps = new StepHandlers({ access: this.#access, steps, now });
  }

  /** Runs a completion request at a target of the model. */
  async complete(ctx: HttpContext): Promise<void> {
    const { req, res } = ctx;
    const configuration = this.#access.configuration;
    const key = this.#access.authenticateIfPresented(req);
    const raw = await this.#access.readBody(req);
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
    if (!route.open) this.#access.throwIfFenced(key?.workspace ?? "");
    const body = Buffer.from(JSON.stringify({ ...json, model: route.model }));
    throwIfKeyLeaks(req, body);
    this.#access.throwIfWithdrawn(key);
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

  /** Sends the models that the caller may use. */
  listModels(ctx: HttpContext): void {
    const configuration = this.#access.configuration;
    const key = this.#access.authenticateIfPresented(ctx.req);
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
    const configuration = this.#access.configuration;
    const routeId = ctx.params.route;
    const key = this.#access.authenticateIfPresented(req);
    const route = configuration.getPermittedRouteOrThrow(
      routeId,
      key?.workspace,
    );
    if (!route.open) this.#access.throwIfFenced(key?.workspace ?? "");
    if (route.kind !== "service") {
      throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun);
    }
    const body = await this.#access.readBody(req);
    throwIfKeyLeaks(req, body);
    this.#access.throwIfWithdrawn(key);
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

  /** Announces a weight version that a trainer has stored. */
  async announceWeights(ctx: HttpContext): Promise<void> {
    const key = this.#access.authenticateOrThrow(ctx.req);
    const json = parseJsonOrThrow(await this.#access.readBody(ctx.req));
    const { model, version } = checkBodyOrThrow(weightsRequestSchema, json);
    const configuration = this.#access.configuration;
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
}

function getServicePath(url: string, routeId: string): string {
  const prefix = `/services/${routeId}`;
  const rest = url.slice(prefix.length);
  return rest.startsWith("/") ? rest : `/${rest}`;
}
