/**
 * Division of the requests that a cold target tolerates.
 *
 * In any second a target of rate `r` gets at most `1.5 r + 5` requests. They
 * are divided as follows:
 *
 * - The control leader's issuer grants at most `burst + r t` permits in any
 *   time `t`, also across a change of leader: a replica grants only during its
 *   lease, leases do not overlap, and a new issuer starts empty. A permit is
 *   void {@link PERMIT_MAX_AGE_MS} after the instance asked for it, and the
 *   request arrives at most {@link TRANSIT_MS} later. The arrivals of one
 *   second are thus granted in 1.3 s: at most `2 + 1.3 r`.
 * - The remainder, `3 + 0.2 r`, is reserved for instances that reach no leader.
 *   Each target is assigned to as many of them as fit, by a hash that all
 *   compute alike, and each of these sends a fixed number of requests in a
 *   second.
 */
import { createHash } from "node:crypto";

/** Time for which a permit for a cold target is valid, since it was asked for. */
export const PERMIT_MAX_AGE_MS = 250;
/** Permits for a cold target that can be granted at once after a pause. */
export const COLD_BURST = 2;

const MS_PER_S = 1_000;
/** Time between the sending of a request and its arrival at the target. */
const TRANSIT_MS = 50;
/** Factor on the rate in the number of requests that a target tolerates. */
const TOLERANCE_FACTOR = 1.5;
/** Requests that a target tolerates beyond that, in any second. */
const TOLERANCE = 5;
const SPREAD_S = (MS_PER_S + PERMIT_MAX_AGE_MS + TRANSIT_MS) / MS_PER_S;
/**
 * Rate of a bucket of one request by which no more than one is sent in
 * {@link SPREAD_S}, with a margin for the difference of two transits.
 */
const RATE_PER_REQUEST = 0.75;
const HASH_BYTES = 6;

/** Gets the number of requests that a cold target tolerates in any second. */
export function toleratedPerSecond(requestsPerS: number): number {
  return requestsPerS * TOLERANCE_FACTOR + TOLERANCE;
}

/** Gets the requests in any second reserved for instances without a leader. */
export function reservedPerSecond(requestsPerS: number): number {
  const granted = COLD_BURST + requestsPerS * SPREAD_S;
  return Math.floor(toleratedPerSecond(requestsPerS) - granted);
}

/** Input of {@link rateWithoutLeader}. */
export interface RateWithoutLeaderInput {
  /** Target, named with its incarnation. */
  readonly target: string;
  /** Requests a second that it takes from all instances. */
  readonly requestsPerS: number;
  /** Identifier of this instance. */
  readonly instance: string;
  /** Identifiers of all instances that may send requests to the target. */
  readonly senders: readonly string[];
}

/**
 * Gets the requests a second that an instance may send to a cold target without
 * permits of a leader, one at a time; 0 for none.
 *
 * @example
 * ```ts
 * rateWithoutLeader({
 *   target: "t1/7",
 *   requestsPerS: 8,
 *   instance: "a",
 *   senders: ["a", "b"],
 * }); // 1.5
 * ```
 */
export function rateWithoutLeader(input: RateWithoutLeaderInput): number {
  const { target, requestsPerS, instance } = input;
  const senders = new Set([instance, ...input.senders]);
  const reserved = reservedPerSecond(requestsPerS);
  const share = requestsPerS / senders.size;
  if (senders.size <= reserved) {
    const perSender = Math.floor(reserved / senders.size);
    return Math.min(share, perSender * RATE_PER_REQUEST);
  }
  const own = weightOf(target, instance);
  const lower = [...senders].filter((sender) => {
    const weight = weightOf(target, sender);
    return weight < own || (weight === own && sender < instance);
  });
  return lower.length < reserved ? Math.min(share, RATE_PER_REQUEST) : 0;
}

/** Gets the position of an instance in the order of a target's senders. */
function weightOf(target: string, instance: string): number {
  const digest = createHash("sha256").update(`${target} ${instance}`).digest();
  return digest.readUIntBE(0, HASH_BYTES);
}
