/** Whether a request may still be sent, asked at the moment of its write. */
import type { TargetRegistry, TargetReport } from "../core/registry/mod.ts";

/** Reasons why a request is not sent, though it has been given a target. */
export const WithheldReason = {
  /** The data centre of the target is evacuated. */
  Evacuated: "evacuated",
  /** The target leaves, or has left. */
  TargetLeaving: "targetLeaving",
  /** This replica does not lead the ledger, or holds no lease. */
  NotLeading: "notLeading",
  /** The batch of the item has ended. */
  BatchEnded: "batchEnded",
  /** The key of the caller has been withdrawn, or given to another workspace. */
  KeyWithdrawn: "keyWithdrawn",
  /** The policy lease has expired, so that no key can be checked. */
  LeaseExpired: "leaseExpired",
  /** The permit to send a request to the target has expired. */
  PermitExpired: "permitExpired",
  /** The grant of an order has expired. */
  GrantExpired: "grantExpired",
} as const;

/** One of the values of {@link WithheldReason}. */
export type WithheldReason = typeof WithheldReason[keyof typeof WithheldReason];

const FINAL_REASONS: ReadonlySet<WithheldReason | undefined> = new Set([
  WithheldReason.NotLeading,
  WithheldReason.BatchEnded,
  WithheldReason.KeyWithdrawn,
]);

/**
 * Gets whether a reason holds for all targets, so that none need be tried.
 *
 * @example
 * ```ts
 * isFinalReason(WithheldReason.Evacuated); // false
 * ```
 */
export function isFinalReason(reason: WithheldReason | undefined): boolean {
  return FINAL_REASONS.has(reason);
}

/**
 * Gets why a request may not be sent; undefined if it may. Whoever decides that
 * a request is sent provides it, since the decision may change while the
 * request waits for its connection or its process is paused.
 */
export type SendGuard = () => WithheldReason | undefined;

/**
 * Gets why a target may not be sent anything; undefined if it may.
 *
 * @example
 * ```ts
 * const guard = () => checkTarget(registry, report);
 * ```
 */
export function checkTarget(
  registry: Pick<TargetRegistry, "isEvacuated" | "maySendTo">,
  { id, dataCentre }: Pick<TargetReport, "id" | "dataCentre">,
): WithheldReason | undefined {
  if (registry.isEvacuated(dataCentre)) return WithheldReason.Evacuated;
  return registry.maySendTo(id) ? undefined : WithheldReason.TargetLeaving;
}

/**
 * Gets why a request may not be sent under a permit; undefined if it may, also
 * without a permit, which only a limited target needs.
 *
 * @example
 * ```ts
 * checkPermit({ isValid: () => false }); // "permitExpired"
 * ```
 */
export function checkPermit(
  permit: { readonly isValid?: () => boolean } | undefined,
): WithheldReason | undefined {
  return permit?.isValid?.() === false
    ? WithheldReason.PermitExpired
    : undefined;
}
