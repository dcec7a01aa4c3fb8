/** Parts of the URL of a target. */

/** Where and how a request reaches a target. */
export interface TargetUrl {
  /** Host and port. */
  readonly address: string;
  /** Whether the target speaks TLS. */
  readonly isSecure: boolean;
  /** Path, including the query. */
  readonly path: string;
}

const SECURE_PROTOCOL = "https:";
const DEFAULT_PORT = 80;
const DEFAULT_SECURE_PORT = 443;

/**
 * Parses the URL of a target.
 * @throws TypeError if the URL is malformed.
 *
 * @example
 * ```ts
 * parseTargetUrl("http://10.0.0.7:9000/health").address; // "10.0.0.7:9000"
 * ```
 */
export function parseTargetUrl(url: string): TargetUrl {
  const { protocol, hostname, port, pathname, search } = new URL(url);
  const isSecure = protocol === SECURE_PROTOCOL;
  const defaultPort = isSecure ? DEFAULT_SECURE_PORT : DEFAULT_PORT;
  return {
    address: `${hostname}:${port === "" ? defaultPort : port}`,
    isSecure,
    path: pathname + search,
  };
}
