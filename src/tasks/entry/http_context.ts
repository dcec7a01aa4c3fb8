/** Requests to the endpoints of an instance. */
import type { IncomingMessage, ServerResponse } from "node:http";

/** A request with its path and query parameters. */
export interface HttpContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Parameters of the path, by name. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
}
