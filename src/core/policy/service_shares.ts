/** Services of a route, by their shares. */
import { createHash } from "node:crypto";
import type { RoutePolicy, ServiceShare } from "./policy_document.ts";

type Shares = Pick<RoutePolicy, "shares">;

/**
 * Gets the shares of the services that a route may send new requests to. A
 * service of weight 0 gets none.
 */
export function sendableSharesOf({ shares }: Shares): ServiceShare[] {
  return shares.filter(({ weight }) => weight > 0);
}

/**
 * Gets whether a route names a service, with whatever weight: one whose weight
 * has become 0 still ends what it has begun.
 */
export function namesService({ shares }: Shares, service: string): boolean {
  return shares.some((share) => share.service === service);
}

/**
 * Picks a service by weight. The choice is derived from the identifier of a call
 * or batch, so that all its attempts and submissions use the same service.
 *
 * @throws Error if the route has no weight.
 * @example
 * ```ts
 * pickService({ shares: [{ service: "s", weight: 1 }] }, "c1"); // "s"
 * ```
 */
export function pickService(route: Shares, id: string): string {
  const shares = sendableSharesOf(route);
  const last = shares.at(-1);
  if (last === undefined) throw new Error("The route has no weight");
  const total = shares.reduce((sum, share) => sum + share.weight, 0);
  let point = toUnitInterval(id) * total;
  for (const { service, weight } of shares) {
    point -= weight;
    if (point < 0) return service;
  }
  return last.service;
}

/** Hashes a text to a number in the range [0, 1). */
function toUnitInterval(text: string): number {
  const digest = createHash("sha256").update(text).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}
