/** Properties of the decoders of what other instances and targets send. */
import fc from "fast-check";
import { decodeStatus, tryParseJson } from "../../platform/engine_codec.ts";
import { decodeReport } from "../../platform/report_decoder.ts";
import { type FleetCommand, FleetState } from "../../src/core/fleet/mod.ts";
import { TargetRegistry } from "../../src/core/registry/mod.ts";
import {
  confirmRequestSchema,
  decodeNotice,
  fleetCommandSchema,
  isNestedDeeper,
  MAX_BODY_DEPTH,
  parseBoundedJson,
  permitRequestSchema,
  presenceSchema,
  serviceDemandSchema,
  targetReportSchema,
} from "../../src/schemas/mod.ts";
import {
  decodeRelayReply,
  decodeRelayRequest,
} from "../../src/tasks/paths/relay_message.ts";
import { encodeEnvelope } from "../../src/tasks/peers/peer_envelope.ts";
import { oddCopies } from "./odd_values.ts";

interface MessageProperty {
  readonly name: string;
  readonly property: fc.IProperty<unknown>;
}

const REPORT = {
  service: "s",
  address: "127.0.0.1:80",
  zone: "a",
  slots: 4,
  state: "ready",
  models: [{ name: "m", version: 1, adapters: [] }],
  seq: 4,
  born: 1,
  coldLeftMs: 20,
};
const SENT_REPORT = {
  id: "t1",
  service: "s",
  address: "127.0.0.1:80",
  dataCentre: "a",
  incarnation: 1,
  sequence: 4,
  state: "ready",
  slots: 4,
  software: "v1",
  versions: { m: 1 },
  isSpot: false,
};
const MEMBER = { name: "n", dataCentre: "a", role: "ledger", leadsTerm: 3 };
const NOTICES: readonly unknown[] = [
  {
    type: "targets",
    mark: { life: "l", change: 2 },
    isWhole: true,
    reports: [SENT_REPORT, { ...SENT_REPORT, id: "t2" }],
  },
  {
    type: "roster",
    members: [{ ...MEMBER, id: "10.0.0.1" }],
    retiring: ["n"],
    senders: ["10.0.0.2"],
  },
  {
    type: "suspicions",
    version: 1,
    changes: [{ fingerprint: "f", suspicion: "suspect", deaths: 1 }],
  },
  { type: "evacuations", version: 1, dataCentres: ["a"] },
  { type: "cold", target: "t", incarnation: 1, coldMs: 5, isForwarded: true },
  { type: "limit", target: "t", incarnation: 1, maxPerSecond: 2 },
];
const PRESENCE = {
  ledger: "l",
  incarnation: "i",
  isDraining: false,
  member: {
    ...MEMBER,
    policyRevision: 2,
    targetsSeen: { c: { life: "l", change: 2 } },
  },
};
const COMMANDS: readonly FleetCommand[] = [
  { type: "announceWeights", model: "m", version: 2 },
  { type: "sealUsage", window: 7, counts: { w: 3 } },
  {
    type: "reportRuns",
    deaths: [{ fingerprint: "f", target: "t/1", at: 5 }],
    completed: ["g"],
  },
  { type: "takeTrial", fingerprint: "f", at: 6 },
  { type: "evacuate", dataCentre: "a", after: 0 },
  { type: "retire", name: "n" },
];
const REQUESTS: readonly unknown[] = [
  { revision: 1, instance: "e", life: "l", usage: { 7: { w: 1 } } },
  { targets: [{ target: "t/1", perSecond: 2 }], count: 1, maxWaitMs: 9 },
  { service: "s", meanItems: 2.5, peaks: { m: 3 } },
];

/** Gets whether a value can be sent, logged and stored. */
function isBounded(value: unknown): boolean {
  return !isNestedDeeper(value) && JSON.stringify(value) !== null;
}

/** Gets the properties of the decoders of messages. */
export function getMessageProperties(): MessageProperty[] {
  return [
    {
      name: "odd reports of targets",
      property: fc.property(oddCopies(REPORT), (body) => {
        const registry = new TargetRegistry().setServices(["s"], 0);
        try {
          const report = decodeReport("t1", JSON.stringify(body));
          registry.merge(report, 0);
          return targetReportSchema.safeParse(report).success;
        } catch {
          return registry.all.length === 0;
        }
      }),
    },
    {
      name: "odd notices",
      property: fc.property(
        fc.oneof(...NOTICES.map(oddCopies), fc.anything()),
        (body) => {
          const { notice, faults } = decodeNotice(body);
          if (notice === undefined) return faults.length === 1;
          encodeEnvelope({ channel: "notice", body: notice });
          return isBounded(notice);
        },
      ),
    },
    {
      name: "odd presences",
      property: fc.property(
        fc.oneof(oddCopies(PRESENCE), fc.anything()),
        (body) => isBounded(presenceSchema.safeParse(body).data ?? {}),
      ),
    },
    {
      name: "odd commands of the control log",
      property: fc.property(
        fc.oneof(...COMMANDS.map(oddCopies), fc.anything()),
        (body) => {
          const { data, success } = fleetCommandSchema.safeParse(body);
          const state = new FleetState();
          if (success) state.apply(data);
          return isBounded(new FleetState().load(state.save()).save());
        },
      ),
    },
    {
      name: "odd requests of instances",
      property: fc.property(
        fc.oneof(...REQUESTS.map(oddCopies), fc.anything()),
        (body) =>
          [confirmRequestSchema, permitRequestSchema, serviceDemandSchema]
            .every((schema) => isBounded(schema.safeParse(body).data ?? {})),
      ),
    },
    {
      name: "odd states of engines",
      property: fc.property(
        oddCopies({ busy: true, seq: 4, models: REPORT.models, born: 1 }),
        (body) => isBounded(decodeStatus(tryParseJson(JSON.stringify(body)))),
      ),
    },
    {
      name: "messages of tunnels",
      property: fc.property(
        fc.oneof(
          oddCopies({ address: "10.1.2.3:80" }),
          oddCopies({ type: "refused", reason: "busy" }),
        ),
        (body) => {
          const text = JSON.stringify(body);
          return isBounded([decodeRelayRequest(text), decodeRelayReply(text)]);
        },
      ),
    },
    {
      name: "bodies that are nested",
      property: fc.property(
        fc.nat(2 * MAX_BODY_DEPTH),
        fc.json(),
        (depth, inner) => {
          const text = `${"[".repeat(depth)}${inner}${"]".repeat(depth)}`;
          const isDeep = isNestedDeeper(JSON.parse(text), MAX_BODY_DEPTH);
          try {
            parseBoundedJson(text);
            return !isDeep;
          } catch (err) {
            return isDeep && err instanceof SyntaxError;
          }
        },
      ),
    },
  ];
}
