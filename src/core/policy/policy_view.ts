/** Look-ups in the policy that is in force. */
import type {
  PolicyDocument,
  RoutePolicy,
  ServicePolicy,
  WorkspacePolicy,
} from "./policy_document.ts";

/**
 * Finds routes by host and path, workspaces by key and services by name.
 *
 * @example
 * ```ts
 * const route = new PolicyView(document).findRoute("a.example", "/plans/7");
 * ```
 */
export class PolicyView {
  /** The document. */
  readonly document: PolicyDocument;
  readonly #routes = new Map<string, RoutePolicy>();
  readonly #hosts = new Set<string>();
  readonly #keys = new Map<string, WorkspacePolicy>();
  readonly #services = new Map<string, ServicePolicy>();

  /** Creates the look-ups of a document. */
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

  /** Gets the number of the document. */
  get revision(): number {
    return this.document.revision;
  }

  /** Gets whether requests need keys. */
  get needsKeys(): boolean {
    return this.document.workspaces.length > 0;
  }

  /** Gets whether a host has any route. */
  hasHost(host: string): boolean {
    return this.#hosts.has(host.toLowerCase());
  }

  /** Gets the route of the longest prefix that begins the path. */
  findRoute(host: string, path: string): RoutePolicy | undefined {
    const place = host.toLowerCase();
    if (!this.#hosts.has(place)) return undefined;
    let end = path.indexOf("?");
    if (end < 0) end = path.length;
    for (let i = end - 1; i >= 0; i -= 1) {
      if (path[i] !== "/") continue;
      const route = this.#routes.get(`${place}${path.slice(0, i + 1)}`);
      if (route !== undefined) return route;
    }
    return undefined;
  }

  /** Gets the workspace that holds a key. */
  findWorkspace(key: string): WorkspacePolicy | undefined {
    return this.#keys.get(key);
  }

  /** Gets a service by its name. */
  getService(name: string): ServicePolicy | undefined {
    return this.#services.get(name);
  }
}
