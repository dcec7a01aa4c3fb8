/** Routes by which a workspace reaches models. */
import type { ConfigurationView } from "../../core/configuration/mod.ts";

/**
 * Finds the route that serves a model to a workspace: the one of this name, or
 * else the first that the workspace may use, or else any.
 * @returns The route; the name itself if no route serves the model.
 * @example
 * const routeId = findModelRoute(configuration, "planner", "artis");
 */
export function findModelRoute(
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

/**
 * Checks whether a workspace, or a caller without a key, may use a route.
 * @example
 * canUseRoute(configuration, "opening", undefined);
 */
export function canUseRoute(
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
