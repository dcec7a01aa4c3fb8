import { describe, expect, it } from "vitest";
import { PaceRecipients } from "./pace_recipients.ts";

describe(PaceRecipients.name, () => {
  const at = { id: "b", incarnation: "1" };

  // Failure: a message is lost, and its changes are never sent again.
  it("sends with the next message what one that was lost held", () => {
    const recipients = new PaceRecipients();
    recipients.sinceOf(at, 3, 0);
    recipients.onAcknowledged("b", 3);
    expect(recipients.sinceOf(at, 3, 0)).toBe(undefined);
    expect(recipients.sinceOf(at, 5, 0)).toBe(3);
    recipients.onFailed("b", 0);
    expect(recipients.sinceOf(at, 7, 2_000)).toBe(3);
  });

  it("sends all to an instance that has restarted", () => {
    const recipients = new PaceRecipients();
    recipients.sinceOf(at, 3, 0);
    recipients.onAcknowledged("b", 3);
    expect(recipients.sinceOf({ ...at, incarnation: "2" }, 3, 0)).toBe(0);
  });

  // Failure: an earlier build refuses each message, every 2 s.
  it("pauses up to a minute while messages are refused", () => {
    const recipients = new PaceRecipients();
    let sent = 0;
    for (let now = 0; now < 600_000; now += 2_000) {
      if (recipients.sinceOf(at, 3, now) === undefined) continue;
      sent += 1;
      recipients.onFailed("b", now);
    }
    expect(sent).toBeLessThan(20);
    expect(sent).toBeGreaterThan(10);
  });
});
