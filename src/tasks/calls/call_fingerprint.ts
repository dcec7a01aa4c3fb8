/** Fingerprints by which equal calls are recognized. */
import { createHash } from "node:crypto";
import type { CallRequest } from "../../core/calls/mod.ts";

/** Length of a fingerprint, in bytes before its encoding. */
const FINGERPRINT_BYTES = 16;

/**
 * Hashes what makes calls the same request: workspace, host, method, path and
 * body. Callers repeat a call under another identifier.
 *
 * @example
 * ```ts
 * fingerprintOf(call, "zoo"); // "Yk3o0Xc4uWb1tV8m2Qf7Zw"
 * ```
 */
export function fingerprintOf(
  { host, method, path, body }: CallRequest,
  workspace: string | undefined,
): string {
  return createHash("sha256")
    .update(JSON.stringify([workspace ?? null, host, method, path]))
    .update(body)
    .digest()
    .subarray(0, FINGERPRINT_BYTES)
    .toString("base64url");
}
