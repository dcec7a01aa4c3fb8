/** Shares of a machine's memory for what other parties send. */

/** What a process may hold of each kind at the same moment, in bytes. */
export interface MemoryPlan {
  /** Bodies of requests up to the size of a small one, all together. */
  readonly smallBodyBytes: number;
  /** Bodies of larger requests, all together. */
  readonly largeBodyBytes: number;
  /** Responses of targets that are read, or wait for their callers. */
  readonly responseBytes: number;
  /** Messages of other instances that have arrived in part. */
  readonly messageBytes: number;
  /** Messages that wait to be sent to other instances. */
  readonly unsentBytes: number;
}

const MIB_BYTES = 1_048_576;
/**
 * Memory of a process beside what other parties send: the program, its heap, and
 * what is no longer used and not collected yet.
 */
const BASE_BYTES = 110 * MIB_BYTES;
/** The largest request, response or message that the service takes. */
const MAX_UNIT_BYTES = 32 * MIB_BYTES;
const SMALL_BODY_SHARE = 0.08;
const MAX_SMALL_BODY_BYTES = 16 * MIB_BYTES;
/** Share of large bodies, of responses, and of messages each way. */
const UNIT_SHARE = 0.45;
const MAX_LARGE_BODY_BYTES = 48 * MIB_BYTES;
/** A policy of the largest size, with what is around it. */
const MIN_MESSAGE_BYTES = 40 * MIB_BYTES;
const MAX_MESSAGE_BYTES = 64 * MIB_BYTES;

/**
 * Divides the memory of a machine. Each share for whole units holds at least
 * one of the largest size, however small the machine.
 *
 * @example
 * ```ts
 * planMemory(178 * 1_048_576).largeBodyBytes; // 33554432
 * ```
 *
 * @param machineBytes - Memory of the machine; one that is not known counts as
 * large.
 */
export function planMemory(machineBytes = Infinity): MemoryPlan {
  const freeBytes = Math.max(0, machineBytes - BASE_BYTES);
  const shareOf = (share: number, maxBytes: number) =>
    Math.floor(Math.min(maxBytes, share * freeBytes));
  const unitShareOf = (maxBytes: number, minBytes = MAX_UNIT_BYTES) =>
    Math.max(minBytes, shareOf(UNIT_SHARE, maxBytes));
  return {
    smallBodyBytes: shareOf(SMALL_BODY_SHARE, MAX_SMALL_BODY_BYTES),
    largeBodyBytes: unitShareOf(MAX_LARGE_BODY_BYTES),
    responseBytes: unitShareOf(MAX_UNIT_BYTES),
    messageBytes: unitShareOf(MAX_MESSAGE_BYTES, MIN_MESSAGE_BYTES),
    unsentBytes: unitShareOf(MAX_MESSAGE_BYTES, MIN_MESSAGE_BYTES),
  };
}

/** Descriptors for files, and for the connections that every process has. */
const OWN_DESCRIPTORS = 200;
/** Part of the others that connections of callers take. */
const CALLER_SHARE = 0.6;
/** Connections of callers where the machine is not known. */
const MAX_CALLER_CONNECTIONS = 4_096;
const MIN_CALLER_CONNECTIONS = 64;

/**
 * Gets the connections that a server for callers, operators or targets may have,
 * so that those to targets and other instances have descriptors, too.
 *
 * @example
 * ```ts
 * planConnections(4_100); // 2340
 * ```
 */
export function planConnections(maxDescriptors: number | undefined): number {
  if (maxDescriptors === undefined) return MAX_CALLER_CONNECTIONS;
  const shared = Math.floor((maxDescriptors - OWN_DESCRIPTORS) * CALLER_SHARE);
  return Math.max(MIN_CALLER_CONNECTIONS, shared);
}
