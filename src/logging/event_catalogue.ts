/** The numbered log events. */

/** Severity of an event. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** Description of an event. */
export interface EventDescription {
  /** Number, never used again for another event. */
  readonly number: number;
  /** Severity. */
  readonly level: EventLevel;
  /** Text of the event. */
  readonly text: string;
  /** What an operator may do. */
  readonly action: string;
}

function describe(
  number: number,
  level: EventLevel,
  options: { text: string; action?: string },
): EventDescription {
  return {
    number,
    level,
    text: options.text,
    action: options.action ?? "None",
  };
}

/** All events, by name. */
export const EVENT_CATALOGUE = {
  instanceStarted: describe(1001, "info", { text: "Instance started" }),
  instanceDraining: describe(1002, "info", {
    text: "Instance drains: no new requests",
  }),
  instanceStopped: describe(1003, "info", { text: "Instance stopped" }),
  internalError: describe(1004, "error", {
    text: "Unexpected error",
    action: "Report it with the fields of the event",
  }),
  invariantRefused: describe(1005, "error", {
    text: "An action was refused because it would break a promise",
    action: "Report it with the fields of the event",
  }),
  certificatesRead: describe(1006, "info", { text: "Certificates read again" }),
  certificatesFaulty: describe(1007, "error", {
    text: "Changed certificates cannot be used; the former ones stay",
    action: "Replace the certificate files",
  }),
  requestRefused: describe(1101, "debug", { text: "Request refused" }),
  requestRetried: describe(1102, "info", { text: "Request is tried again" }),
  requestSuspected: describe(1103, "warn", {
    text: "A target died while running a request",
    action: "Look at the target where it happens again",
  }),
  requestQuarantined: describe(1104, "error", {
    text: "A request crashes its targets and is refused",
    action: "Tell the caller; keep the fingerprint for the engine's owner",
  }),
  targetAnnounced: describe(1201, "info", { text: "Target announced" }),
  targetLeaving: describe(1202, "info", { text: "Target leaves" }),
  targetRemoved: describe(1203, "info", { text: "Target removed" }),
  targetDied: describe(1204, "warn", {
    text: "Target's process died",
    action: "Look at the target's own log",
  }),
  targetUnreachable: describe(1205, "warn", {
    text: "Target does not answer probes",
    action: "Look at the target and its network",
  }),
  stepSubmitted: describe(1301, "info", { text: "Step submitted" }),
  stepDone: describe(1302, "info", { text: "Step delivered whole" }),
  stepCancelled: describe(1303, "info", { text: "Step cancelled" }),
  sampleDiscarded: describe(1304, "info", {
    text: "Sample discarded and made again",
  }),
  stepsResumed: describe(1305, "info", {
    text: "Steps resumed from the ledger",
  }),
  sampleGivenUp: describe(1306, "warn", {
    text: "No target can fill a slot of a step",
    action: "Look at the group's request; tell the trainer's owner",
  }),
  configurationApplied: describe(1401, "info", {
    text: "Configuration revision in force",
  }),
  keyWithdrawn: describe(1402, "info", { text: "Key withdrawn" }),
  becameControlLeader: describe(1501, "info", {
    text: "Leads the control log",
  }),
  lostControlLead: describe(1502, "info", {
    text: "No longer leads the control log",
  }),
  controlStopped: describe(1503, "error", {
    text: "The replica of the control log stopped",
    action: "See the reason; it is set aside and comes back as a learner",
  }),
  controlStoreDamaged: describe(1504, "error", {
    text: "The store of the control log is damaged and is set aside",
    action: "Check the disk; the replica comes back as a learner",
  }),
  controlStoreFailed: describe(1505, "error", {
    text: "The store of the control log cannot be written",
    action: "Free or replace the disk; the replica tries again",
  }),
  controlMembers: describe(1506, "info", {
    text: "Change of the control log's members proposed",
  }),
  controlRestored: describe(1507, "info", {
    text: "Control log restored from its store",
  }),
  leaseLost: describe(1508, "warn", {
    text: "Cut off from the control log: serves only what it may",
    action: "Look at the links to the control instances",
  }),
  leaseHeld: describe(1509, "info", {
    text: "In contact with the control log",
  }),
  ledgerPrimary: describe(1601, "info", {
    text: "Primary of the data centre's ledger",
  }),
  ledgerBackup: describe(1602, "info", {
    text: "No longer primary of the data centre's ledger",
  }),
  ledgerView: describe(1603, "info", { text: "View of the ledger" }),
  ledgerStoreDamaged: describe(1604, "error", {
    text: "The store of the ledger is damaged and is set aside",
    action: "Check the disk; the replica joins anew",
  }),
  ledgerStopped: describe(1605, "error", {
    text: "The replica of the ledger stopped",
    action: "See the reason; restart the instance",
  }),
  peerUp: describe(1701, "info", { text: "Link to another instance is up" }),
  peerDown: describe(1702, "warn", {
    text: "Link to another instance is down",
    action: "Look at the instance and its network",
  }),
  peerRefused: describe(1703, "warn", {
    text: "Connection on the peers' port refused",
    action: "Compare the peers' secrets and certificates",
  }),
  orderSent: describe(1801, "info", { text: "Order sent" }),
  orderEnded: describe(1802, "info", { text: "Order ended" }),
  orderFailed: describe(1803, "warn", {
    text: "Order had no answer and will be sent again",
    action: "Look at the receiver",
  }),
  usageReported: describe(1901, "info", { text: "Usage window reported" }),
  usageInDoubt: describe(1902, "error", {
    text: "Use may have been counted or not; it is not counted again",
    action: "Look at the ledger's primary",
  }),
  weightsLoaded: describe(1404, "info", {
    text: "Target has loaded new weights",
  }),
  weightsFailed: describe(1405, "warn", {
    text: "Target could not load new weights; it is ordered again",
    action: "Look at the target and the weight store",
  }),
  weightsAnnounced: describe(1403, "info", { text: "Weights announced" }),
} as const satisfies Readonly<Record<string, EventDescription>>;

/** Name of an event. */
export type EventName = keyof typeof EVENT_CATALOGUE;
