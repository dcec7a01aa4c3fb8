/** Handlers of the endpoints for steps. */
import type { KeyRecord } from "../../core/keys/mod.ts";
import type { StepSpec } from "../../core/samples/mod.ts";
import { ackRequestSchema, stepRequestSchema } from "../../protocol/mod.ts";
import type { StepPort, StepState } from "../steps/mod.ts";
import type { CallerAccess } from "./caller_access.ts";
import {
  checkBodyOrThrow,
  malformedRequest,
  parseJsonOrThrow,
} from "./http_body.ts";
import type { HttpContext } from "./http_context.ts";
import { sendJson } from "./http_response.ts";
import { tightenStaleness } from "./staleness_bound.ts";

/** Options of {@link StepHandlers}. */
export interface StepHandlersOptions {
  readonly access: CallerAccess;
  readonly steps: StepPort;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
}

/** Longest time that a read waits for samples. */
const MAX_WAIT_MS = 30_000;
/** Time that a read waits for samples if it names none. */
const DEFAULT_WAIT_MS = 10_000;
const MAX_SAMPLES_PER_READ = 1_024;
/** Bound of a model for which the configuration has none. */
const DEFAULT_STALENESS = { maxVersionsBehind: 1 };

/** Handles requests for steps and their samples. */
export class StepHandlers {
  readonly #options: StepHandlersOptions;

  constructor(options: StepHandlersOptions) {
    this.#options = options;
  }

  /** Submits a step; a repeated submission has no effect. */
  async submitStep(ctx: HttpContext): Promise<void> {
    const key = this.#access.authenticateOrThrow(ctx.req);
    const json = parseJsonOrThrow(await this.#access.readBody(ctx.req));
    const step = checkBodyOrThrow(stepRequestSchema, json);
    const configuration = this.#access.configuration;
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
    this.#access.throwIfWithdrawn(key);
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
    this.#access.throwIfWithdrawn(key);
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
    const json = parseJsonOrThrow(await this.#access.readBody(ctx.req));
    const { through } = checkBodyOrThrow(ackRequestSchema, json);
    const state = await this.#options.steps.ack(
      { workspace: key.workspace, step },
      through,
    );
    sendJson(ctx.res, { step, ...state });
  }

  /** Cancels a step, and sends its state. */
  async cancelStep(ctx: HttpContext): Promise<void> {
    const { key, step } = this.#authenticateStepRequest(ctx);
    const state = await this.#options.steps.cancel({
      workspace: key.workspace,
      step,
    });
    sendJson(ctx.res, { step, ...state });
  }

  get #access(): CallerAccess {
    return this.#options.access;
  }

  #authenticateStepRequest(ctx: HttpContext): { key: KeyRecord; step: string } {
    const key = this.#access.authenticateOrThrow(ctx.req);
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
