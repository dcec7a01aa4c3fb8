import { describe, expect, it } from "vitest";
import { BulkLinks } from "./bulk_links.ts";
import type { PeerEnvelope } from "./peer_envelope.ts";
import type { PeerLink } from "./peer_link.ts";

const ENVELOPE = {
  channel: "notice",
  body: { type: "roster", members: [], retiring: [] },
} as PeerEnvelope;

/** A connection that counts what it is given. */
class CountingLink {
  isUp = true;
  bufferedBytes = 0;
  isStopped = false;

  send(): boolean {
    this.bufferedBytes += 1;
    return true;
  }

  check(): void {}

  stop(): void {
    this.isStopped = true;
  }
}

describe(BulkLinks.name, () => {
  function create() {
    const links: CountingLink[] = [];
    const clock = { now: 0 };
    const bulk = new BulkLinks({
      dial: () => {
        const link = new CountingLink();
        links.push(link);
        return link as unknown as PeerLink;
      },
      now: () => clock.now,
    });
    return { bulk, links, clock };
  }

  it("spreads messages over its connections", () => {
    const { bulk, links } = create();
    for (let i = 0; i < 8; i += 1) bulk.send("a", ENVELOPE);
    expect(links.map(({ bufferedBytes }) => bufferedBytes)).toEqual([
      2,
      2,
      2,
      2,
    ]);
  });

  it("sends nothing while no connection is open", () => {
    const { bulk, links } = create();
    bulk.send("a", ENVELOPE);
    links.forEach((link) => link.isUp = false);
    expect(bulk.send("a", ENVELOPE)).toBe(false);
    links[2].isUp = true;
    expect(bulk.send("a", ENVELOPE)).toBe(true);
    expect(links[2].bufferedBytes).toBe(1);
  });

  it("closes connections that are idle, and dials again", () => {
    const { bulk, links, clock } = create();
    bulk.send("a", ENVELOPE);
    clock.now = 4_000;
    bulk.check();
    expect(links.some(({ isStopped }) => isStopped)).toBe(false);
    clock.now = 6_000;
    bulk.check();
    expect(links.every(({ isStopped }) => isStopped)).toBe(true);
    bulk.send("a", ENVELOPE);
    expect(links).toHaveLength(8);
  });
});
