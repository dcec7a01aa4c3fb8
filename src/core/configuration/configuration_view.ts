/** Lookups over a checked configuration document. */
import { RefusalError, RefusalReason, Verdict } from "../verdict/mod.ts";
import type {
  ConfigurationDocument,
  LimitSettings,
  RouteSettings,
  StalenessSettings,
  ZoneSettings,
} from "./document.ts";

/** Weight of a workspace that the document does not name. */
const DEFAULT_WEIGHT = 1;

/** Answers the questions that a request asks of the configuration. */
export class ConfigurationView {
  readonly #doc: ConfigurationDocument;
  /** Revision of the document. */
  readonly revision: number;

  /**
   * Creates the view.
   * @param doc - Checked document.
   * @param revision - Revision of the document.
   */
  constructor(doc: ConfigurationDocument, revision: number) {
    this.#doc = doc;
    this.revision = revision;
  }

  /** Gets the document. */
  get document(): ConfigurationDocument {
    return this.#doc;
  }

  /** Gets a route by its name. */
  getRoute(id: string): RouteSettings | undefined {
    return own(this.#doc.routes, id);
  }

  /**
   * Gets a route that a workspace may use.
   * @param id - Name of the route.
   * @param workspace - Workspace of the caller; undefined without a key.
   * @throws RefusalError with verdict notRun.
   */
  getRouteForOrThrow(id: string, workspace: string | undefined): RouteSettings {
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

  /** Gets the zone of a target. */
  getZone(id: string): ZoneSettings | undefined {
    return own(this.#doc.zones, id);
  }

  /** Gets the weight of a workspace in fair queueing. */
  getWeight(workspace: string): number {
    return own(this.#doc.workspaces, workspace)?.weight ?? DEFAULT_WEIGHT;
  }

  /** Gets the home data centre of a workspace. */
  getHome(workspace: string): string | undefined {
    return own(this.#doc.workspaces, workspace)?.home;
  }

  /** Gets the limits of a workspace, its own before the default ones. */
  getLimits(workspace: string): LimitSettings {
    return {
      ...this.#doc.limits.default,
      ...own(this.#doc.limits.workspaces, workspace),
    };
  }

  /** Gets the staleness bound of a model. */
  getStaleness(model: string): StalenessSettings | undefined {
    return own(this.#doc.staleness, model);
  }
}

function own<T>(record: Record<string, T>, key: string): T | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}
