/** Lookups in a valid configuration document. */
import { RefusalError, RefusalReason, Verdict } from "../verdict/mod.ts";
import type {
  ConfigurationDocument,
  LimitSettings,
  RouteSettings,
  StalenessSettings,
  ZoneSettings,
} from "./document.ts";

/** Weight of a workspace that is not configured. */
const DEFAULT_WEIGHT = 1;

/** Provides the settings that apply to a request. */
export class ConfigurationView {
  readonly #doc: ConfigurationDocument;
  /** Revision of the document. */
  readonly revision: number;

  /**
   * Creates a view of a document.
   *
   * @param doc - Valid document.
   * @param revision - Revision of the document.
   */
  constructor(doc: ConfigurationDocument, revision: number) {
    this.#doc = doc;
    this.revision = revision;
  }

  /** Gets the underlying document. */
  get document(): ConfigurationDocument {
    return this.#doc;
  }

  /** Gets a route by its name, or undefined if it is not configured. */
  getRoute(id: string): RouteSettings | undefined {
    return getOwn(this.#doc.routes, id);
  }

  /**
   * Gets a route if a workspace may use it.
   *
   * @param id - Name of the route.
   * @param workspace - Workspace of the caller; undefined if the request has no
   * API key.
   * @throws RefusalError with verdict `notRun` if the route is unknown, or if
   * the workspace or an anonymous caller may not use it.
   */
  getPermittedRouteOrThrow(
    id: string,
    workspace: string | undefined,
  ): RouteSettings {
    const route = this.getRoute(id);
    if (route === undefined) {
      throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun, {
        message: "Unknown route or model",
      });
    }
    if (route.open) return route;
    if (workspace === undefined) {
      throw new RefusalError(RefusalReason.KeyMissing, Verdict.NotRun);
    }
    const isListed = route.workspaces?.includes(workspace) ?? true;
    if (isListed && workspace in this.#doc.workspaces) return route;
    throw new RefusalError(RefusalReason.WorkspaceNotOnRoute, Verdict.NotRun);
  }

  /** Gets a zone by its name, or undefined if it is not configured. */
  getZone(id: string): ZoneSettings | undefined {
    return getOwn(this.#doc.zones, id);
  }

  /** Gets the weight of a workspace in fair queueing. */
  getWeight(workspace: string): number {
    return getOwn(this.#doc.workspaces, workspace)?.weight ?? DEFAULT_WEIGHT;
  }

  /** Gets the home data centre of a workspace, or undefined if it has none. */
  getHome(workspace: string): string | undefined {
    return getOwn(this.#doc.workspaces, workspace)?.home;
  }

  /** Gets the limits of a workspace. Its own settings override the defaults. */
  getLimits(workspace: string): LimitSettings {
    return {
      ...this.#doc.limits.default,
      ...getOwn(this.#doc.limits.workspaces, workspace),
    };
  }

  /** Gets the staleness bound of a model, or undefined if none is set. */
  getStaleness(model: string): StalenessSettings | undefined {
    return getOwn(this.#doc.staleness, model);
  }
}

function getOwn<T>(record: Record<string, T>, key: string): T | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}
