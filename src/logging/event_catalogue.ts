/** Catalogue of the numbered log events, with texts for operators. */

/** Severity of an event. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** Definition of a log event. */
export interface EventDescription {
  /** Unique number; numbers of removed events are not reused. */
  readonly number: number;
  readonly level: EventLevel;
  /** Message of the log line. */
  readonly text: string;
  /** Recommended action of an operator; `None` if there is none. */
  readonly action: string;
}

function defineEvent(
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

/** All log events, by name. */
export const EVENT_CATALOGUE = {
  instanceStarted: defineEvent(1001, "info", {
    text: "Instance started and accepts requests",
  }),
  instanceDraining: defineEvent(1002, "info", {
    text:
      "Instance drains: it accepts no new requests and finishes the running ones",
  }),
  instanceStopped: defineEvent(1003, "info", {
    text: "Instance stopped",
  }),
  internalError: defineEvent(1004, "error", {
    text: "Unexpected error in the instance",
    action: "Report it as a bug with all fields of the event",
  }),
  invariantRefused: defineEvent(1005, "error", {
    text: "Action refused because it would violate an invariant",
    action: "Report it as a bug with all fields of the event",
  }),
  certificatesRead: defineEvent(1006, "info", {
    text: "Certificate files changed; the new certificates are in use",
  }),
  certificatesFaulty: defineEvent(1007, "error", {
    text:
      "Changed certificate files are invalid; the previous certificates stay in use",
    action:
      "Correct the certificate files; they are read again when they change",
  }),
  requestRefused: defineEvent(1101, "debug", {
    text: "Request refused",
  }),
  requestRetried: defineEvent(1102, "info", {
    text: "Request failed at its target and is retried",
  }),
  requestSuspected: defineEvent(1103, "warn", {
    text:
      "A target died while running this request; the request is suspected of crashing targets",
    action:
      "If deaths with the same fingerprint recur, read the logs of those targets",
  }),
  requestQuarantined: defineEvent(1104, "error", {
    text:
      "A request repeatedly crashed its targets; requests with its fingerprint are now refused",
    action:
      "Inform the caller and pass the fingerprint to the owner of the engine",
  }),
  targetAnnounced: defineEvent(1201, "info", {
    text: "Target announced itself with a new incarnation",
  }),
  targetLeaving: defineEvent(1202, "info", {
    text: "Target is leaving; it receives no new requests",
  }),
  targetRemoved: defineEvent(1203, "info", {
    text: "Target removed",
  }),
  targetDied: defineEvent(1204, "warn", {
    text: "Target process died; its running requests fail or are retried",
    action: "Read the log of the target",
  }),
  targetUnreachable: defineEvent(1205, "warn", {
    text:
      "Target does not respond to probes; it is removed if it stays without contact",
    action: "Check that the target runs and that its network works",
  }),
  stepSubmitted: defineEvent(1301, "info", {
    text: "Step submitted",
  }),
  stepDone: defineEvent(1302, "info", {
    text: "Step completed: every slot is delivered or has failed",
  }),
  stepCancelled: defineEvent(1303, "info", {
    text: "Step cancelled by its caller",
  }),
  sampleDiscarded: defineEvent(1304, "info", {
    text:
      "Sample discarded for the given reason; it is generated again if its slot is still empty",
  }),
  stepsResumed: defineEvent(1305, "info", {
    text:
      "This instance became primary of the ledger and resumed its open steps",
  }),
  sampleGivenUp: defineEvent(1306, "warn", {
    text: "Slot of a step failed: no target could generate its sample",
    action:
      "Check the request of the group and inform the owner of the trainer",
  }),
  configurationApplied: defineEvent(1401, "info", {
    text: "New configuration revision applied",
  }),
  keyWithdrawn: defineEvent(1402, "info", {
    text: "Key withdrawn; this instance no longer accepts it",
  }),
  becameControlLeader: defineEvent(1501, "info", {
    text: "This replica became leader of a replicated log",
  }),
  lostControlLead: defineEvent(1502, "info", {
    text: "This replica is no longer leader of a replicated log",
  }),
  controlStopped: defineEvent(1503, "error", {
    text:
      "Replica of a replicated log stopped on an error; it restarts from its store",
    action:
      "Read `detail`; a replica with a damaged store rejoins as a learner",
  }),
  controlStoreDamaged: defineEvent(1504, "error", {
    text:
      "Store of a replicated log is damaged; it is renamed and the replica rejoins as a learner",
    action: "Check the disk of the instance",
  }),
  controlStoreFailed: defineEvent(1505, "error", {
    text:
      "Store of a replicated log cannot be read or written; the replica retries",
    action: "Free disk space or replace the disk",
  }),
  controlMembers: defineEvent(1506, "info", {
    text: "Change of a replicated log's voters or learners proposed",
  }),
  controlRestored: defineEvent(1507, "info", {
    text: "Replicated log restored from its store",
  }),
  leaseLost: defineEvent(1508, "warn", {
    text:
      "Lease of the control log expired; routes that need a key serve at most workspaces whose home is this data centre",
    action: "Check the network to the control instances",
  }),
  leaseHeld: defineEvent(1509, "info", {
    text: "Lease of the control log is held",
  }),
  ledgerPrimary: defineEvent(1601, "info", {
    text: "This instance became primary of the data centre's ledger",
  }),
  ledgerBackup: defineEvent(1602, "info", {
    text: "This instance is no longer primary of the data centre's ledger",
  }),
  ledgerView: defineEvent(1603, "info", {
    text: "New view of the ledger: its primary or backups changed",
  }),
  ledgerStoreDamaged: defineEvent(1604, "error", {
    text:
      "Store of the ledger is damaged; it is renamed and the replica rejoins with an empty store",
    action: "Check the disk of the instance",
  }),
  ledgerStopped: defineEvent(1605, "error", {
    text:
      "Replica of the ledger stopped on an error and does not restart by itself",
    action: "Read `detail`, then restart the instance",
  }),
  peerUp: defineEvent(1701, "info", {
    text: "Connection to another instance established",
  }),
  peerDown: defineEvent(1702, "warn", {
    text: "Connection to another instance lost; it is reopened automatically",
    action: "Check that the other instance runs and that its network works",
  }),
  peerRefused: defineEvent(1703, "warn", {
    text: "Connection or message on the peer port rejected",
    action: "Compare the peer secrets and certificates of both instances",
  }),
  orderSent: defineEvent(1801, "info", {
    text: "Order sent to the receiver",
  }),
  orderEnded: defineEvent(1802, "info", {
    text: "Order to the receiver ended with the given outcome",
  }),
  orderFailed: defineEvent(1803, "warn", {
    text: "Order got no response from the receiver; it is sent again",
    action: "Check the receiver and the network to it",
  }),
  usageReported: defineEvent(1901, "info", {
    text: "Usage window reported to the receiver",
  }),
  usageInDoubt: defineEvent(1902, "error", {
    text:
      "Usage entries may not have been stored; they are not written again, so that nothing is counted twice",
    action: "Check the primary of the ledger; usage may be reported too low",
  }),
  weightsLoaded: defineEvent(1404, "info", {
    text: "Target loaded new weights",
  }),
  weightsFailed: defineEvent(1405, "warn", {
    text: "Target did not load new weights; it is ordered again later",
    action: "Check the target and the weight store",
  }),
  fleetJoined: defineEvent(2001, "info", {
    text:
      "Instance started as a member of a fleet; it finds the other members through its seeds",
  }),
  fleetSettingsFaulty: defineEvent(2002, "error", {
    text: "Changed settings file is invalid; the previous settings stay in use",
    action: "Correct the settings file",
  }),
  fleetSettingsRead: defineEvent(2003, "info", {
    text: "Settings file changed; the new seeds are in use",
  }),
  policyInForce: defineEvent(2011, "info", {
    text: "New policy revision in force on this instance",
  }),
  policyRefused: defineEvent(2012, "warn", {
    text:
      "Policy is invalid and was rejected; the previous policy stays in force",
    action: "Correct the faults listed in the event",
  }),
  policyAccepted: defineEvent(2013, "info", {
    text: "Policy committed by a quorum of the control log",
  }),
  policyLeaseHeld: defineEvent(2014, "info", {
    text: "Control log confirmed the policy; requests with keys are accepted",
  }),
  policyLeaseLost: defineEvent(2015, "warn", {
    text:
      "Control log did not confirm the policy in time; requests with keys are refused",
    action: "Check the network to the control instances",
  }),
  policyUnconfirmed: defineEvent(2016, "debug", {
    text:
      "Periodic request to another instance failed, such as the confirmation of the policy; it is repeated",
  }),
  targetChanged: defineEvent(2021, "info", {
    text: "Target registered, or its address, state or incarnation changed",
  }),
  targetReportRefused: defineEvent(2022, "warn", {
    text:
      "Heartbeat of a target is invalid and names no target; it was rejected",
    action: "Check the sender of the heartbeat",
  }),
  callAnswered: defineEvent(2101, "info", {
    text: "Request completed",
  }),
  callRefused: defineEvent(2102, "info", {
    text: "Request refused or failed with the given reason",
  }),
  callRetried: defineEvent(2103, "info", {
    text: "Request failed or is slow at a target and is sent to another one",
  }),
  callPlaced: defineEvent(2104, "info", {
    text: "Request sent to a target",
  }),
  suspicionUnreported: defineEvent(2105, "warn", {
    text:
      "The control leader did not store in time which requests targets ended under; it is tried again",
  }),
  targetLimited: defineEvent(2106, "info", {
    text:
      "Target names the requests a second that it takes from all instances, or names none any more",
  }),
  permitsUnanswered: defineEvent(2107, "info", {
    text:
      "The control leader granted no permits in time; this instance keeps to a share of its targets' limits",
  }),
  pathLost: defineEvent(2108, "warn", {
    text:
      "Target is reached through another instance only; this instance has no connection to it",
    action: "Check the network between the instance and the target",
  }),
  pathFound: defineEvent(2109, "info", {
    text: "This instance connects to the target itself again",
  }),
  targetsLost: defineEvent(2110, "error", {
    text:
      "This instance has lost several targets in a row that others reach; its requests go through other instances",
    action: "Check the network of the instance",
  }),
  targetsFound: defineEvent(2111, "info", {
    text: "This instance reaches targets itself again",
  }),
  relayRefused: defineEvent(2112, "info", {
    text:
      "A connection to a target was not opened for another instance, for the given reason",
  }),
  batchAccepted: defineEvent(2201, "info", {
    text: "Batch committed by a quorum of the ledger's log",
  }),
  batchRefused: defineEvent(2202, "info", {
    text: "Request for a batch refused",
  }),
  batchEnded: defineEvent(2203, "info", {
    text: "Batch ended by its caller",
  }),
  itemPlaced: defineEvent(2211, "info", {
    text: "Item sent to a target",
  }),
  itemListed: defineEvent(2212, "info", {
    text: "Item ended; its result is stored and visible to the caller",
  }),
  itemBroken: defineEvent(2213, "info", {
    text:
      "Run of an item ended without its complete output; the item is retried or abandoned",
  }),
  itemMoved: defineEvent(2214, "info", {
    text:
      "Run of an item cancelled at a slow or silent target; the item continues at another one",
  }),
  itemScored: defineEvent(2216, "info", {
    text: "The text of an item was scored; its result is stored",
  }),
  itemUnscored: defineEvent(2217, "info", {
    text:
      "Scoring call of an item ended without a score; it is sent again, or the item abandoned",
  }),
  recordsUnstored: defineEvent(2215, "warn", {
    text: "Results of items could not be stored; the items run again",
    action: "Check that the ledger's log has a leader and a quorum",
  }),
  ledgerFormed: defineEvent(2221, "info", {
    text: "Initial voters of the ledger's log chosen and proposed",
  }),
  loadOrdered: defineEvent(2301, "info", {
    text: "Target ordered to load weights",
  }),
  loadEnded: defineEvent(2302, "info", {
    text: "Target loaded the ordered weights",
  }),
  loadFailed: defineEvent(2303, "warn", {
    text: "Target did not load the ordered weights; it is checked again later",
    action: "Check the target and the weight store",
  }),
  usageSealed: defineEvent(2311, "info", {
    text: "Usage window sealed; its counts no longer change",
  }),
  usageFailed: defineEvent(2312, "warn", {
    text: "Usage report failed; the same report is sent again",
    action: "Check the receiver and the network to it",
  }),
  capacityOrdered: defineEvent(2321, "info", {
    text: "Targets ordered from the receiver for a data centre",
  }),
  capacityFailed: defineEvent(2322, "warn", {
    text:
      "Order for targets was rejected or got no response; it is planned again after a pause",
    action: "Check the receiver and the network to it",
  }),
  weightsNamed: defineEvent(2331, "info", {
    text: "Trainer announced a new version of a model's weights",
  }),
  instanceRetiring: defineEvent(2341, "info", {
    text: "Instance is being retired: its data moves to other instances",
  }),
  instanceRetired: defineEvent(2342, "info", {
    text: "Instance is retired: it holds no data and may be removed",
  }),
  linesDropped: defineEvent(2901, "warn", {
    text:
      "Log lines dropped: events exceeded their rate limit, or the log reader is too slow",
    action: "Check `dropped`, which holds the number of lines by event",
  }),
  weightsAnnounced: defineEvent(1403, "info", {
    text: "New version of a model's weights announced",
  }),
} as const satisfies Readonly<Record<string, EventDescription>>;

/** Name of an event. */
export type EventName = keyof typeof EVENT_CATALOGUE;
