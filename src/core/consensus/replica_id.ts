/** Identity of a replica: its instance and the incarnation of its disk. */

/** Identity of a replica, e.g. `nl-1-a#3f2c`. */
export type ReplicaId = string;

/** Separates the instance from the disk incarnation. */
const SEPARATOR = "#";

/**
 * Formats the identity of a replica.
 *
 * @example
 * ```ts
 * formatReplicaId("nl-1-a", "3f2c"); // "nl-1-a#3f2c"
 * ```
 */
export function formatReplicaId(instance: string, disk: string): ReplicaId {
  return `${instance}${SEPARATOR}${disk}`;
}

/** Gets the instance that a replica runs on. */
export function instanceOf(replica: ReplicaId): string {
  return replica.split(SEPARATOR)[0];
}
