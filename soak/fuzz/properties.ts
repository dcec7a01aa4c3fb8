/** Properties of decoders for arbitrary external input. */
import fc from "fast-check";
import { ZodError } from "zod";
import { decodeSubmission } from "../../platform/batch_codec.ts";
import { decodePolicy } from "../../platform/policy_decoder.ts";
import {
  decodeDeregistration,
  decodeReport,
} from "../../platform/report_decoder.ts";
import {
  parseBearerKey,
  parseNonNegativeInteger,
} from "../../platform/http_names.ts";
import { RunText } from "../../src/core/batches/mod.ts";
import { findPolicyFaults, PolicyView } from "../../src/core/policy/mod.ts";
import { TargetRegistry } from "../../src/core/registry/mod.ts";
import { explain } from "../../src/explain/mod.ts";
import {
  decodeEnvelope,
  encodeEnvelope,
} from "../../src/tasks/peers/peer_envelope.ts";
import { DamagedFileError, FrameCodec } from "../../src/tasks/storage/mod.ts";
import { getMessageProperties } from "./message_properties.ts";
import { fleetPolicy } from "../../tests/support/fleet_policy.ts";

/** A property and the input that it is about. */
export interface NamedProperty {
  readonly name: string;
  readonly property: fc.IProperty<unknown>;
}

/** Gets whether a decoder succeeds or rejects the input with a parse error. */
function decodesOrRejects(decode: () => unknown): boolean {
  try {
    decode();
    return true;
  } catch (err) {
    return err instanceof ZodError || err instanceof SyntaxError;
  }
}

const VALID_POLICY = JSON.stringify(fleetPolicy({ version: 3, keys: ["k"] }));
const VALID_REPORT = JSON.stringify({
  service: "s",
  address: "127.0.0.1:80",
  zone: "a",
  slots: 4,
  state: "ready",
  models: [{ name: "m", version: 1, adapters: [] }],
  seq: 4,
  born: 1,
});
const VALID_BATCH = JSON.stringify({
  model: "m",
  minVersion: 1,
  desired: 1,
  requests: [{
    id: "i",
    path: "/p/",
    headers: { Model: "m" },
    body: "AA==",
    tokens: 1,
    group: "g",
  }],
});
const ROUTE = new PolicyView(decodePolicy(VALID_POLICY)).document.routes[2];

/** Generates copies of a valid text with a few edits, some truncated. */
function corruptedTexts(valid: string): fc.Arbitrary<string> {
  const changes = fc.array(
    fc.tuple(fc.nat(valid.length - 1), fc.string({ maxLength: 3 })),
    { maxLength: 4 },
  );
  return fc.tuple(changes, fc.nat(valid.length)).map(([edits, cut]) => {
    let text = valid;
    for (const [at, replacement] of edits) {
      text = text.slice(0, at) + replacement + text.slice(at + 1);
    }
    return cut % 3 === 0 ? text.slice(0, cut) : text;
  });
}

/**
 * Generates corrupted copies of a valid text, arbitrary JSON, arbitrary
 * strings, and the valid object with arbitrary members.
 */
function arbitraryBodies(valid: string): fc.Arbitrary<string> {
  return fc.oneof(
    corruptedTexts(valid),
    fc.json(),
    fc.string(),
    fc.object().map((fields) =>
      JSON.stringify({ ...JSON.parse(valid), ...fields })
    ),
  );
}

/** Gets the properties of all decoders. */
export function getFuzzProperties(): NamedProperty[] {
  return [
    ...getMessageProperties(),
    {
      name: "policies",
      property: fc.property(
        arbitraryBodies(VALID_POLICY),
        (body) =>
          decodesOrRejects(() => {
            const document = decodePolicy(body);
            findPolicyFaults(document);
            new PolicyView(document).findRoute("fleet.example", "/plain/x");
          }),
      ),
    },
    {
      name: "reports of targets",
      property: fc.property(
        fc.string(),
        arbitraryBodies(VALID_REPORT),
        (id, body) =>
          decodesOrRejects(() => {
            const registry = new TargetRegistry();
            registry.merge(decodeReport(id, body), 0);
            registry.prune(1e9);
          }) && decodesOrRejects(() => decodeDeregistration(body)),
      ),
    },
    {
      name: "batches",
      property: fc.property(
        arbitraryBodies(VALID_BATCH),
        (body) =>
          decodesOrRejects(() =>
            decodeSubmission(Buffer.from(body), {
              id: "b",
              host: "h",
              workspace: "w",
              route: ROUTE,
              acceptedAt: 0,
            })
          ),
      ),
    },
    {
      name: "authorization and number headers",
      property: fc.property(fc.string(), (text) => {
        const number = parseNonNegativeInteger(text);
        const isValid = number === undefined || number >= 0;
        return isValid && parseBearerKey(`Bearer ${text}`) === text.trim();
      }),
    },
    {
      name: "messages between instances",
      property: fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
        decodeEnvelope(Buffer.from(bytes));
        return true;
      }),
    },
    {
      name: "round trip of messages between instances",
      property: fc.property(fc.string({ maxLength: 4_000 }), (text) => {
        const body = { id: 1, method: "m", params: { text } };
        const sent = { channel: "request", body } as const;
        const decoded = decodeEnvelope(encodeEnvelope(sent));
        return JSON.stringify(decoded) === JSON.stringify(sent);
      }),
    },
    {
      name: "stored files",
      property: fc.property(fc.uint8Array({ maxLength: 400 }), (bytes) => {
        try {
          new FrameCodec().decode(Buffer.from(bytes), "file");
          return true;
        } catch (err) {
          return err instanceof DamagedFileError;
        }
      }),
    },
    {
      name: "events of engines",
      property: fc.property(
        fc.array(fc.tuple(fc.integer(), fc.string())),
        (events) => {
          const text = new RunText().setVersion(1);
          const accepted = events.filter(([id, data]) =>
            text.add({ id, data })
          );
          return accepted.every(([id], i) => id === i + 1);
        },
      ),
    },
    {
      name: "log lines",
      property: fc.property(fc.array(fc.string()), (lines) => {
        explain("id", lines);
        return true;
      }),
    },
  ];
}
