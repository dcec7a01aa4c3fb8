/** Identity of a replica: an instance and one life of its disk. */

/** Identity of a replica, as `nl-1-a#3f2c`. */
export type ReplicaId = string;

/** Character between instance and disk incarnation. */
const SEPARATOR = "#";

/**
 * Gets the identity of a replica.
 *
 * @example
 * ```ts
 * formatReplicaId("nl-1-a", "3f2c"); // "nl-1-a#3f2c"
 * ```
 */
export function formatReplicaId(instance: string, disk: string): ReplicaId {
  return `${instance}${SEPARATOR}${disk}`;
}

/** Gets the instance of a replica. */
export function instanceOf(replica: ReplicaId): string {
  return replica.split(SEPARATOR)[0];
}
