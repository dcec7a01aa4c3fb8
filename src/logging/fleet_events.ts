/** Events of instances of a fleet. */
import { defineEvent, type EventDescription } from "./event_description.ts";

/** Events numbered from 2000, by name. */
export const FLEET_EVENTS = {
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
  listenerWaits: defineEvent(2004, "warn", {
    text:
      "Address to listen on is in use or not there yet; the instance tries again until it is free, and does meanwhile what it can without",
    action:
      "End the process that holds the port, or bring up the address; nothing needs to be started again",
  }),
  listenerOpened: defineEvent(2005, "info", {
    text: "Instance listens at an address that it has waited for",
  }),
  listenerFailed: defineEvent(2006, "error", {
    text:
      "Listener cannot accept connections at the moment, or metrics cannot be served; the instance goes on",
    action: "Read `detail`; check descriptors, memory and the address",
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
  targetsChanged: defineEvent(2023, "info", {
    text:
      "Targets registered or changed together; `targets` lists identifier, service, address, state, incarnation, sequence, software and versions",
  }),
  targetReportRefused: defineEvent(2022, "warn", {
    text:
      "Heartbeat of a target is invalid and names no target; it was rejected, and is logged once for each target",
    action: "Check the sender of the heartbeat",
  }),
  responseTooLarge: defineEvent(2024, "warn", {
    text:
      "Response of a target ended, as it exceeded the bound that is named and may have no end",
    action: "Check the target, which sends more than an answer has",
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
      "The control leader granted no permits in time; this instance stays within a share of its targets' limits",
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
  streamUnrecorded: defineEvent(2113, "warn", {
    text:
      "No control instance recorded in time who writes a stream; its caller may be unable to take it up elsewhere",
    action: "Check the network to the control instances",
  }),
  targetCold: defineEvent(2114, "info", {
    text:
      "Target takes only the given requests a second for some time, by its own report or because it has just started",
  }),
  targetWarm: defineEvent(2115, "info", {
    text: "Target is no longer cold, for the given reason",
  }),
  batchAccepted: defineEvent(2201, "info", {
    text: "Batch committed by a quorum of the ledger's log",
  }),
  batchRefused: defineEvent(2202, "info", {
    text:
      "Batch refused, as it could not be complete before its caller gives up, or as there is no memory for its results",
  }),
  batchEnded: defineEvent(2203, "info", {
    text: "Batch ended by its caller",
  }),
  endConfirmed: defineEvent(2204, "info", {
    text: "Ledger confirmed the end of a batch to this instance",
  }),
  endUnconfirmed: defineEvent(2205, "warn", {
    text:
      "Ledger did not confirm the end of a batch, for the given reason; `attempts` lists the members that were asked",
    action: "Check that the ledger's log has a leader and a quorum",
  }),
  itemPlaced: defineEvent(2211, "info", {
    text:
      "Item placed at a target; its request is sent once a connection is ready",
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
      "Run of an item cancelled at a degraded, slow or silent target; the item continues at another one",
  }),
  recordsUnstored: defineEvent(2215, "warn", {
    text: "Results of items could not be stored; the items run again",
    action: "Check that the ledger's log has a leader and a quorum",
  }),
  itemScored: defineEvent(2216, "info", {
    text: "The text of an item was scored; its result is stored",
  }),
  itemUnscored: defineEvent(2217, "info", {
    text:
      "Scoring call of an item ended without a score; it is sent again, or the item abandoned",
  }),
  itemBegunAnew: defineEvent(2218, "info", {
    text:
      "Item restarts from its first event, as its writer is unknown or no target has the versions that wrote its partial output",
  }),
  itemWithheld: defineEvent(2223, "info", {
    text:
      "Run of an item not sent, as its permission ended while the connection was prepared; the item waits again",
  }),
  itemCancelled: defineEvent(2224, "info", {
    text:
      "Run of an item without a response cancelled, as the ledger's leader has lost its lease; the item waits again",
  }),
  itemSent: defineEvent(2225, "info", {
    text:
      "Request of an item written to the connection; `waitedMs` counts from the placement",
  }),
  resultUnreadable: defineEvent(2226, "error", {
    text: "Text of a result cannot be read from its file on this instance",
    action:
      "Check the disk; the results are read from the other ledger instances",
  }),
  dataCentreUnanswered: defineEvent(2222, "warn", {
    text:
      "Several targets of a data centre time out and none there answers; items go to other data centres meanwhile",
    action: "Check the links between the data centres",
  }),
  pacesTakenOver: defineEvent(2219, "info", {
    text:
      "New leader of the ledger knows the paces of this number of targets from earlier leaders",
  }),
  pacesUnstored: defineEvent(2220, "warn", {
    text:
      "Paces of targets could not be written to the data folder; they are kept in memory",
    action: "Check the disk and its free space",
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
  dataCentreEvacuated: defineEvent(2351, "warn", {
    text:
      "Evacuation of a data centre in force on this instance; it sends nothing more to the targets there",
  }),
  dataCentreReadmitted: defineEvent(2352, "info", {
    text:
      "Evacuation of a data centre withdrawn on this instance; its targets get requests again",
  }),
  departureUnrecorded: defineEvent(2361, "warn", {
    text:
      "Target leaves, and the control leader is of an earlier build that keeps no departures: a late report may bring the target back after all control instances have started again",
    action: "Complete the upgrade of the control instances",
  }),
  linesDropped: defineEvent(2901, "warn", {
    text:
      "Log lines dropped: events exceeded their rate limit, or the log reader is too slow",
    action: "Check `dropped`, which holds the number of lines by event",
  }),
} as const satisfies Readonly<Record<string, EventDescription>>;
