/** Parties that send without end, and the states that each has. */
import { request } from "undici";
import { FleetRole } from "../../../src/core/fleet/mod.ts";
import { PeerPath } from "../../../src/tasks/peers/mod.ts";
import { sleep } from "../../../tests/support/fleet_deployment.ts";
import { FLEET_KEY } from "../../../tests/support/fleet_fixture.ts";
import { FLEET_NAMES } from "../../../tests/support/fleet_policy.ts";
import type { EndlessFleet } from "./endless_fleet.ts";
import * as states from "./endless_states.ts";
import { EndlessTarget } from "./endless_target.ts";
import type { EndlessBytes } from "./endless_writer.ts";

/** A party: its states, and a function that starts it and gets its end. */
export interface EndlessParty {
  readonly states: states.EndlessStates;
  readonly start: (
    fleet: EndlessFleet,
    bytes: EndlessBytes,
  ) => Promise<() => void> | (() => void);
}

const CONNECTIONS = 8;
const KNOWN_MS = 1_500;
const PAUSE_MS = 200;
const REQUEST_TIMEOUT_MS = 4_000;

type AddressOf = (fleet: EndlessFleet) => string;
const entryOf: AddressOf = (fleet) => fleet.entries[0];
const controlOf: AddressOf = (fleet) => fleet.controls[0];

function sender(
  party: states.EndlessStates,
  addressOf: AddressOf,
): EndlessParty {
  return {
    states: party,
    start: (fleet, bytes) => fleet.sendTo(addressOf(fleet), bytes, CONNECTIONS),
  };
}

function peer(path: PeerPath): EndlessParty {
  return {
    states: states.LINK_STATES,
    start: (fleet, bytes) => {
      const [entry] = fleet.machines(FleetRole.Entry);
      return fleet.sendAsPeer(entry, bytes, { count: CONNECTIONS, path });
    },
  };
}

/** Creates a target of a service, with requests for it on a path. */
function target(
  service: string,
  prefix: string,
  createBody: (id: string) => string = () => "x",
): EndlessParty {
  return {
    states: states.RESPONSE_STATES,
    start: async (fleet, bytes) => {
      const { model, host } = FLEET_NAMES;
      const { controls } = fleet;
      const options = { service, model, controls, bytes };
      const endless = new EndlessTarget(options);
      await endless.start();
      await sleep(KNOWN_MS);
      let isStopped = false;
      const send = async (name: string) => {
        for (let i = 0; !isStopped; i += 1) {
          const id = `${name}-${Date.now()}-${i}`;
          await request(`http://${entryOf(fleet)}${prefix}${id}`, {
            method: "POST",
            body: createBody(id),
            headers: {
              host,
              model,
              authorization: `Bearer ${FLEET_KEY}`,
              "request-id": id,
            },
            signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
          }).then(({ body }) => readAll(body)).catch(() => {});
          await sleep(PAUSE_MS);
        }
      };
      for (let i = 0; i < CONNECTIONS; i += 1) void send(`endless-${i}`);
      return () => {
        isStopped = true;
        endless.stop();
      };
    },
  };
}

/** Reads without keeping what is read. */
async function readAll(body: AsyncIterable<unknown>): Promise<void> {
  for await (const _ of body);
}

const createBatch = (id: string) =>
  JSON.stringify({ requests: [{ id, path: `/odd-rollout/${id}` }] });

/** Parties by name. */
export const ENDLESS_PARTIES: Readonly<Record<string, EndlessParty>> = {
  caller: sender(states.CALLER_STATES, entryOf),
  trainer: sender(states.TRAINER_STATES, entryOf),
  operator: sender(states.OPERATOR_STATES, controlOf),
  reporter: sender(states.REPORTER_STATES, controlOf),
  stranger: sender(states.STRANGER_STATES, (fleet) => fleet.peerAddress),
  link: peer(PeerPath.Link),
  tunnel: peer(PeerPath.Tunnel),
  call: target("odd-apps", "/odd-plain/"),
  stream: target("odd-engines", "/odd-stream/"),
  batch: target("odd-engines", "/odd-rollout/", createBatch),
};
