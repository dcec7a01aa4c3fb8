/** Events of instances with settings for their peers, and of all instances. */
import { defineEvent, type EventDescription } from "./event_description.ts";

/** Events numbered below 2000, by name. */
export const INSTANCE_EVENTS = {
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
  processStopped: defineEvent(1021, "info", {
    text:
      "Process ends as planned, with code 0; `reason` is the signal that asked for it",
  }),
  processFailed: defineEvent(1022, "error", {
    text:
      "Process ends on an error, with code 1; `reason` tells what it interrupts",
    action:
      "startFailed: correct what `message` names; otherwise report it as a bug with all fields of the event",
  }),
  endUnlogged: defineEvent(1023, "warn", {
    text:
      "The process before ended without a last line; the fields tell its start and build",
    action:
      "Check whether it was killed, whether its last lines hold event 1025 (heap), and whether the machine lost power",
  }),
  processMarkerFailed: defineEvent(1024, "warn", {
    text:
      "File that tells the next process of an end without a last line cannot be written or removed",
    action: "Check the data folder or the folder for temporary files",
  }),
  heapNearLimit: defineEvent(1025, "warn", {
    text:
      "Heap in use is near its limit, at which the process ends without a last line; logged every 10 s at most",
    action:
      "Look in the lines before for what this instance keeps; compare process.heapUsedBytes with its limit",
  }),
  loopDelayed: defineEvent(1026, "warn", {
    text:
      "Event loop came round late, beyond half of the time after which peers count the instance as lost; logged every 10 s at most",
    action:
      "Look in the lines before for long work, and check the load of the machine",
  }),
  clientsBounded: defineEvent(1028, "warn", {
    text:
      "Requests refused, connections closed or responses broken off since the last such line, as clients took what the process has for them; logged every 10 s at most",
    action:
      "Look for clients that send large bodies slowly, hold connections or read no responses; add instances if they are sound",
  }),
  processUsage: defineEvent(1027, "info", {
    text:
      "Processor time that the process has used since its start, and messages received from other instances by what they hold; logged every 10 s",
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
  weightsAnnounced: defineEvent(1403, "info", {
    text: "New version of a model's weights announced",
  }),
  weightsLoaded: defineEvent(1404, "info", {
    text: "Target loaded new weights",
  }),
  weightsFailed: defineEvent(1405, "warn", {
    text: "Target did not load new weights; it is ordered again later",
    action: "Check the target and the weight store",
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
  learnerBehind: defineEvent(1510, "info", {
    text:
      "Learner of a replicated log does not hold all entries yet; logged each second by the leader",
  }),
  compactionFailed: defineEvent(1511, "warn", {
    text:
      "Snapshot of a replicated log could not be written; the entries are kept and it is tried again",
    action: "Free disk space or replace the disk",
  }),
  logCompacted: defineEvent(1512, "info", {
    text:
      "Applied entries of a replicated log replaced by a snapshot; sizes in bytes",
  }),
  snapshotPartLost: defineEvent(1513, "warn", {
    text:
      "Part of a snapshot dropped, as a file of its texts could not be read or written; the leader sends it again",
    action: "Free disk space or replace the disk",
  }),
  learnerCaughtUp: defineEvent(1514, "info", {
    text:
      "Learner of a replicated log holds all entries; with the time since it was added, the bytes sent to it, and how often a snapshot was begun",
  }),
  textsFetched: defineEvent(1515, "info", {
    text:
      "This replica of the ledger has fetched texts of results that it lacked; `missingBytes` are still to come",
  }),
  textsNotFetched: defineEvent(1516, "warn", {
    text:
      "Another replica did not answer with texts of results; others are asked, and it is tried again",
    action: "Check the network to `source`",
  }),
  textsNotStored: defineEvent(1517, "warn", {
    text:
      "Texts of results that were fetched could not be stored; it is tried again each second",
    action: "Free disk space or replace the disk",
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
  ledgerStoreFailed: defineEvent(1606, "error", {
    text: "Store of the ledger cannot be written; the replica tries again",
    action: "Free disk space or replace the disk",
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
  peerInputRefused: defineEvent(1704, "warn", {
    text:
      "Message of another instance, or entries of it, malformed and left out; logged once for each sender",
    action: "Check the build of the sender",
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
} as const satisfies Readonly<Record<string, EventDescription>>;
