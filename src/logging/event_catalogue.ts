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
    text: "Leads a replicated log",
  }),
  lostControlLead: describe(1502, "info", {
    text: "No longer leads a replicated log",
  }),
  controlStopped: describe(1503, "error", {
    text: "The replica of a log stopped",
    action: "See the reason; it is set aside and comes back as a learner",
  }),
  controlStoreDamaged: describe(1504, "error", {
    text: "The store of a log is damaged and is set aside",
    action: "Check the disk; the replica comes back as a learner",
  }),
  controlStoreFailed: describe(1505, "error", {
    text: "The store of a log cannot be written",
    action: "Free or replace the disk; the replica tries again",
  }),
  controlMembers: describe(1506, "info", {
    text: "Change of a log's members proposed",
  }),
  controlRestored: describe(1507, "info", {
    text: "Log restored from its store",
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
  fleetJoined: describe(2001, "info", {
    text: "Instance of a fleet started; others are found by seeds",
  }),
  fleetSettingsFaulty: describe(2002, "error", {
    text: "Changed settings cannot be used; the former ones stay",
    action: "Correct the settings file",
  }),
  fleetSettingsRead: describe(2003, "info", { text: "Settings read again" }),
  policyInForce: describe(2011, "info", {
    text: "Revision of the policy in force here",
  }),
  policyRefused: describe(2012, "warn", {
    text: "Policy refused; nothing has changed",
    action: "Correct the document",
  }),
  policyAccepted: describe(2013, "info", {
    text: "Policy stored by a quorum",
  }),
  policyLeaseHeld: describe(2014, "info", {
    text: "Policy confirmed by the control log; keys are honoured",
  }),
  policyLeaseLost: describe(2015, "warn", {
    text: "Policy not confirmed in time; keyed requests are refused",
    action: "Look at the links to the control instances",
  }),
  policyUnconfirmed: describe(2016, "debug", {
    text: "No leader of the control log confirmed the policy",
  }),
  targetChanged: describe(2021, "info", {
    text: "Registered target changed",
  }),
  targetReportRefused: describe(2022, "warn", {
    text: "Report of a target cannot be read and names no target",
    action: "Look at the sender",
  }),
  callAnswered: describe(2101, "info", { text: "Request answered" }),
  callRefused: describe(2102, "info", { text: "Request refused or failed" }),
  callRetried: describe(2103, "info", {
    text: "Request is tried at another target",
  }),
  callPlaced: describe(2104, "info", { text: "Request sent to a target" }),
  batchAccepted: describe(2201, "info", { text: "Batch stored by a quorum" }),
  batchRefused: describe(2202, "info", { text: "Call for a batch refused" }),
  batchEnded: describe(2203, "info", { text: "Batch ended by its caller" }),
  itemPlaced: describe(2211, "info", { text: "Item sent to a target" }),
  itemListed: describe(2212, "info", { text: "Result of an item listed" }),
  itemBroken: describe(2213, "info", {
    text: "Run of an item ended without its whole output",
  }),
  itemMoved: describe(2214, "info", {
    text: "Run of an item is moved off a slow or silent target",
  }),
  recordsUnstored: describe(2215, "warn", {
    text: "Results could not be stored; their items are run again",
    action: "Look at the leader of the ledger's log",
  }),
  ledgerFormed: describe(2221, "info", {
    text: "First members of the ledger's log are fixed",
  }),
  loadOrdered: describe(2301, "info", {
    text: "Target ordered to load weights",
  }),
  loadEnded: describe(2302, "info", { text: "Order to load weights ended" }),
  loadFailed: describe(2303, "warn", {
    text: "Order to load weights failed; it is looked at again",
    action: "Look at the target",
  }),
  usageSealed: describe(2311, "info", { text: "Usage window sealed" }),
  usageFailed: describe(2312, "warn", {
    text: "Usage report had no answer; it is sent again unchanged",
    action: "Look at the receiver",
  }),
  capacityOrdered: describe(2321, "info", {
    text: "Targets ordered for a data centre",
  }),
  capacityFailed: describe(2322, "warn", {
    text: "Order for targets was refused or had no answer",
    action: "Look at the receiver",
  }),
  weightsNamed: describe(2331, "info", {
    text: "Version of a model named by its trainer",
  }),
  instanceRetiring: describe(2341, "info", {
    text: "Instance is emptied before it is taken away",
  }),
  instanceRetired: describe(2342, "info", { text: "Instance is empty" }),
  linesDropped: describe(2901, "warn", {
    text: "Log lines were left out: too many, or nobody reads them",
    action: "Look at the counts by event",
  }),
  weightsAnnounced: describe(1403, "info", { text: "Weights announced" }),
} as const satisfies Readonly<Record<string, EventDescription>>;

/** Name of an event. */
export type EventName = keyof typeof EVENT_CATALOGUE;
