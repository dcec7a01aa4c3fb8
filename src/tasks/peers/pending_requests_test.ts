import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { PeerEnvelope } from "./peer_envelope.ts";
import { PendingRequests, type RequestLink } from "./pending_requests.ts";

const TIMEOUT_MS = 1_000;

/** Link that keeps what is sent, or sends nothing. */
class RecordedLink implements RequestLink {
  readonly ids: number[] = [];
  isOpen = true;

  send({ channel, body }: PeerEnvelope): boolean {
    if (this.isOpen && channel === "request") this.ids.push(body.id);
    return this.isOpen;
  }
}

describe(PendingRequests.name, () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  /** Sends a request on each of two links; gets how the first one ends. */
  async function doTest(
    during: (
      pending: PendingRequests,
      link: RecordedLink,
      other: RecordedLink,
    ) => void,
    expected: unknown,
    isOpen = true,
  ): Promise<void> {
    const pending = new PendingRequests();
    const [link, other] = [new RecordedLink(), new RecordedLink()];
    link.isOpen = isOpen;
    const request = { method: "echo", params: 1, timeoutMs: TIMEOUT_MS };
    const ended = pending.send(link, request)
      .catch((err: RefusalError) => [err.reason, err.verdict]);
    pending.send(other, request).catch(() => {});
    during(pending, link, other);
    expect(await ended).toEqual(expected);
    expect(pending.isPendingOn(link)).toBe(false);
  }

  // Guards against a request that waits for ever, after a malformed refusal.
  it("settles a request whose refusal is malformed", () =>
    doTest((pending, link) => {
      const reply = { id: link.ids[0], refusal: null } as never;
      try {
        pending.onReply(reply);
      } catch {
        // The hub logs it.
      }
    }, [RefusalReason.ControlUnavailable, Verdict.MayHaveRun]));

  // Guards against replies that settle the request of another number.
  it("settles a request by the reply with its number", () =>
    doTest((pending, link, other) => {
      pending.onReply({ id: other.ids[0], result: "other" });
      pending.onReply({ id: link.ids[0], result: "own" });
    }, "own"));

  it("fails with the refusal of the other instance", () =>
    doTest((pending, link) => {
      const refusal = {
        reason: RefusalReason.NotFound,
        verdict: Verdict.NotRun,
        message: "unknown",
      };
      pending.onReply({ id: link.ids[0], refusal });
    }, [RefusalReason.NotFound, Verdict.NotRun]));

  // Guards against a request that is sent elsewhere although it may have run.
  it("may have run if its link closes", () =>
    doTest(
      (pending, link, other) => {
        pending.failOn(other);
        expect(pending.isPendingOn(link)).toBe(true);
        pending.failOn(link);
      },
      [RefusalReason.ControlUnavailable, Verdict.MayHaveRun],
    ));

  it("may have run if no reply comes in time", () =>
    doTest(
      () => vi.advanceTimersByTime(TIMEOUT_MS),
      [RefusalReason.ControlUnavailable, Verdict.MayHaveRun],
    ));

  it("has not run if it was not sent", () =>
    doTest(
      () => {},
      [RefusalReason.ControlUnavailable, Verdict.NotRun],
      false,
    ));

  // Guards against a timer that outlives its request and keeps the process up.
  it("leaves no timer once a request is settled", async () => {
    await doTest((pending, link, other) => {
      pending.onReply({ id: link.ids[0], result: 1 });
      pending.failOn(other);
      pending.onReply({ id: other.ids[0], result: 2 });
    }, 1);
    expect(vi.getTimerCount()).toBe(0);
  });
});
