import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import { type FleetCommand, FleetState } from "../../core/fleet/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { ControlRequests } from "./control_requests.ts";

const COMMAND: FleetCommand = { type: "retire", name: "entry-1" };
const DONE = { type: "done" } as const;
/** Longer than a sender waits for a command to be stored. */
const LATE_MS = 1_000;

describe(ControlRequests.name, () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  /** Sends a request; gets its end and where its command went. */
  async function doTest(
    options: {
      readonly leadsTerm?: number;
      /** Whether committed entries of the leader wait for its write. */
      readonly isWriting?: boolean;
      readonly isStored?: boolean;
    },
    send: (requests: ControlRequests) => Promise<unknown>,
    expected: { readonly ended: unknown; readonly sentTo: readonly string[] },
  ): Promise<void> {
    const sentTo: string[] = [];
    const service = {
      state: new FleetState(),
      applied: 0,
      leadsTerm: options.isWriting ? undefined : options.leadsTerm,
      takesCommands: options.leadsTerm !== undefined,
      propose: (): Promise<typeof DONE> => {
        sentTo.push("log");
        return options.isStored === false
          ? new Promise(() => {})
          : Promise.resolve(DONE);
      },
      confirmLeadership: () => Promise.resolve(),
    };
    const requests = new ControlRequests({
      node: {
        logger: new Logger({ instance: "c1", level: "error" }),
        hub: {
          handle() {
            return this as never;
          },
        },
        requestLeader: (_role, method) => {
          sentTo.push(`leader: ${method}`);
          return Promise.resolve(DONE);
        },
      },
      service,
    });
    const ended = send(requests).catch((err) => {
      if (!(err instanceof RefusalError)) throw err;
      return [err.reason, err.verdict];
    });
    await vi.advanceTimersByTimeAsync(LATE_MS);
    expect({ ended: await ended, sentTo }).toEqual(expected);
  }

  it("proposes to its own log while it leads", () =>
    doTest({ leadsTerm: 3 }, (requests) => requests.propose(COMMAND), {
      ended: DONE,
      sentTo: ["log"],
    }));

  // Guards against commands that a leader refuses, as no other instance leads.
  it("proposes to its own log while it leads and writes", () =>
    doTest(
      { leadsTerm: 3, isWriting: true },
      (requests) => requests.propose(COMMAND),
      { ended: DONE, sentTo: ["log"] },
    ));

  it("reads the policy of its own log while it leads and writes", () =>
    doTest(
      { leadsTerm: 3, isWriting: true },
      (requests) => requests.readPolicy(),
      { ended: undefined, sentTo: [] },
    ));

  // Guards against commands that a follower proposes and that are lost.
  it("proposes through the leader otherwise", () =>
    doTest({}, (requests) => requests.propose(COMMAND), {
      ended: DONE,
      sentTo: ["leader: fleet.propose"],
    }));

  // Guards against a sender that takes a command as lost which is stored later.
  it("may have run if it is not stored in time", () =>
    doTest(
      { leadsTerm: 3, isStored: false },
      (requests) => requests.propose(COMMAND),
      {
        ended: [RefusalReason.ControlUnavailable, Verdict.MayHaveRun],
        sentTo: ["log"],
      },
    ));

  // Guards against a faulty policy in the log, which all instances would apply.
  it("proposes no policy with faults", () => {
    const document = createPolicy({ routes: [createRoute()] });
    return doTest(
      { leadsTerm: 3 },
      (requests) => requests.replacePolicy(document, "{}"),
      {
        ended: [RefusalReason.ConfigurationInvalid, Verdict.NotRun],
        sentTo: [],
      },
    );
  });
});
