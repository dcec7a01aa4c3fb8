/** Choice of the service that runs a call. */
import { createHash } from "node:crypto";
import type { RoutePolicy } from "../../core/policy/mod.ts";

/**
 * Picks a service by weight. The choice is derived from the call ID, so that all
 * attempts of a call use the same service.
 *
 * @example
 * ```ts
 * pickService({ shares: [{ service: "s", weight: 1 }] }, "c1"); // "s"
 * ```
 */
export function pickService(
  { shares }: Pick<RoutePolicy, "shares">,
  call: string,
): string {
  const total = shares.reduce((sum, share) => sum + share.weight, 0);
  let point = toUnitInterval(call) * total;
  for (const { service, weight } of shares) {
    point -= weight;
    if (point < 0) return service;
  }
  return shares[shares.length - 1].service;
}

/** Hashes a text to a number in the range [0, 1). */
function toUnitInterval(text: string): number {
  const digest = createHash("sha256").update(text).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}
