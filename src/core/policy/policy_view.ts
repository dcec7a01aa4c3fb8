/** Lookups in a policy document. */
import type {
  PolicyDocument,
  RoutePolicy,
  ServicePolicy,
  WorkspacePolicy,
} from "./policy_document.ts";

/**
 * Finds routes by host and path, workspaces by API key, and services by name.
 *
 * @example
 * ```ts
 * const route = new PolicyView(document).findRoute("a.example", "/plans/7");
 * ```
 */
export class PolicyView {
  /** Document that the lookups refer to. */
  readonly document: PolicyDocument;
  readonly #routes = new Map<string, RoutePolicy>();
  readonly #hosts = new Set<string>();
  readonly #keys = new Map<string, WorkspacePolicy>();
  readonly #services = new Map<string, ServicePolicy>();

  /** Builds the lookup tables for a document. */
  constructor(document: PolicyDocument) {
    this.document = document;
    for (const route of document.routes) {
      const host = route.host.toLowerCase();
      this.#hosts.add(host);
      this.#routes.set(`${host}${route.prefix}`, route);
    }
    for (const workspace of document.workspaces) {
      for (const key of workspace.keys) this.#keys.set(key, workspace);
    }
    for (const service of document.services) {
      this.#services.set(service.name, service);
    }
  }

  /** Gets the revision of the document. */
  get revision(): number {
    return this.document.revision;
  }

  /** Gets whether requests need API keys. */
  get needsKeys(): boolean {
    return this.document.workspaces.length > 0;
  }

  /**
   * Gets the route with the longest prefix that matches the path. The query
   * string is ignored.
   */
  findRoute(host: string, path: string): RoutePolicy | undefined {
    const lowerHost = host.toLowerCase();
    if (!this.#hosts.has(lowerHost)) return undefined;
    let end = path.indexOf("?");
    if (end < 0) end = path.length;
    for (let i = end - 1; i >= 0; i -= 1) {
      if (path[i] !== "/") continue;
      const route = this.#routes.get(`${lowerHost}${path.slice(0, i + 1)}`);
      if (route !== undefined) return route;
    }
    return undefined;
  }

  /** Gets the workspace that an API key belongs to. */
  findWorkspace(key: string): WorkspacePolicy | undefined {
    return this.#keys.get(key);
  }

  getWorkspace(name: string): WorkspacePolicy | undefined {
    return this.document.workspaces.find((k) => k.name === name);
  }

  getService(name: string): ServicePolicy | undefined {
    return this.#services.get(name);
  }
}
