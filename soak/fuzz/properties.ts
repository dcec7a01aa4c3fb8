/** What must hold for whatever arrives from outside. */
import fc from "fast-check";
import { ZodError } from "zod";
import { decodeSubmission } from "../../platform/batch_codec.ts";
import { decodePolicy } from "../../platform/policy_decoder.ts";
import { decodeFarewell, decodeReport } from "../../platform/report_decoder.ts";
import { keyOf, numberOf } from "../../platform/names.ts";
import { RunText } from "../../src/core/batches/mod.ts";
import { findPolicyFaults, PolicyView } from "../../src/core/policy/mod.ts";
import { TargetRegistry } from "../../src/core/registry/mod.ts";
import { explain } from "../../src/explain/mod.ts";
import {
  decodeEnvelope,
  encodeEnvelope,
} from "../../src/tasks/peers/peer_envelope.ts";
import { DamagedFileError, FrameCodec } from "../../src/tasks/storage/mod.ts";
import { fleetPolicy } from "../../tests/support/fleet_policy.ts";

/** A property and its name. */
export interface NamedProperty {
  readonly name: string;
  readonly property: fc.IProperty<unknown>;
}

/** Runs a decoder; it must give a value or one of its own errors. */
function decodes(decode: () => unknown): boolean {
  try {
    decode();
    return true;
  } catch (err) {
    return err instanceof ZodError || err instanceof SyntaxError;
  }
}

const SOUND_POLICY = JSON.stringify(fleetPolicy({ version: 3, keys: ["k"] }));
const SOUND_REPORT = JSON.stringify({
  service: "s",
  address: "127.0.0.1:80",
  zone: "a",
  slots: 4,
  state: "ready",
  models: [{ name: "m", version: 1, adapters: [] }],
  seq: 4,
  born: 1,
});
const SOUND_BATCH = JSON.stringify({
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
const ROUTE = new PolicyView(decodePolicy(SOUND_POLICY)).document.routes[2];

/** Bytes of a sound message with a few of them changed, or cut short. */
function spoilt(sound: string): fc.Arbitrary<string> {
  const changes = fc.array(
    fc.tuple(fc.nat(sound.length - 1), fc.string({ maxLength: 3 })),
    { maxLength: 4 },
  );
  return fc.tuple(changes, fc.nat(sound.length)).map(([edits, cut]) => {
    let text = sound;
    for (const [at, by] of edits) {
      text = text.slice(0, at) + by + text.slice(at + 1);
    }
    return cut % 3 === 0 ? text.slice(0, cut) : text;
  });
}

/** Anything: values as JSON, spoilt messages, any text. */
function bodies(sound: string): fc.Arbitrary<string> {
  return fc.oneof(
    spoilt(sound),
    fc.json(),
    fc.string(),
    fc.object().map((fields) =>
      JSON.stringify({ ...JSON.parse(sound), ...fields })
    ),
  );
}

/** Gets every property. */
export function fuzzProperties(): NamedProperty[] {
  return [
    {
      name: "policies",
      property: fc.property(bodies(SOUND_POLICY), (body) =>
        decodes(() => {
          const document = decodePolicy(body);
          findPolicyFaults(document);
          new PolicyView(document).findRoute("fleet.example", "/plain/x");
        })),
    },
    {
      name: "reports of targets",
      property: fc.property(
        fc.string(),
        bodies(SOUND_REPORT),
        (id, body) =>
          decodes(() => {
            const registry = new TargetRegistry();
            registry.merge(decodeReport(id, body), 0);
            registry.prune(1e9);
          }) && decodes(() => decodeFarewell(body)),
      ),
    },
    {
      name: "batches",
      property: fc.property(
        bodies(SOUND_BATCH),
        (body) =>
          decodes(() =>
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
      name: "headers",
      property: fc.property(fc.string(), (text) => {
        const number = numberOf(text);
        const isSound = number === undefined || number >= 0;
        return isSound && keyOf(`Bearer ${text}`) === text.trim();
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
      name: "messages keep their content",
      property: fc.property(fc.string({ maxLength: 4_000 }), (text) => {
        const body = { id: 1, method: "m", params: { text } };
        const sent = { channel: "request", body } as const;
        const got = decodeEnvelope(encodeEnvelope(sent));
        return JSON.stringify(got) === JSON.stringify(sent);
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
          const taken = events.filter(([id, data]) => text.add({ id, data }));
          return taken.every(([id], i) => id === i + 1);
        },
      ),
    },
    {
      name: "lines of logs",
      property: fc.property(fc.array(fc.string()), (lines) => {
        explain("id", lines);
        return true;
      }),
    },
  ];
}
