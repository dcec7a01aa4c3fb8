import { describe, expect, it } from "vitest";
import { decodeRelayReply, decodeRelayRequest } from "./relay_message.ts";

const NESTED = `${"[".repeat(200_000)}${"]".repeat(200_000)}`;

describe(decodeRelayRequest.name, () => {
  function doTest(text: string, expected: string | undefined) {
    expect(decodeRelayRequest(text)?.address).toBe(expected);
  }

  it("decodes the address of a target", () => {
    for (const address of ["10.1.2.3:80", "[::1]:9000", "engine-1.local:80"]) {
      doTest(JSON.stringify({ address }), address);
    }
  });

  it("takes what is no address of a target for none", () => {
    for (
      const address of [
        "10.1.2.3:99999",
        "999.1.2.3:80",
        "10.1.2.3:0",
        "a b:1",
        "",
        7,
        null,
      ]
    ) doTest(JSON.stringify({ address }), undefined);
    doTest(`{"address":"10.1.2.3:80","other":${NESTED}}`, undefined);
    doTest("{", undefined);
  });
});

describe(decodeRelayReply.name, () => {
  it("takes what is no reply for none", () => {
    expect(decodeRelayReply('{"type":"opened"}')).toEqual({ type: "opened" });
    const odd = [
      '{"type":"other"}',
      '{"type":"refused","reason":"other"}',
      `{"type":"opened","other":${NESTED}}`,
      "null",
      "",
    ];
    expect(odd.filter((text) => decodeRelayReply(text) !== undefined))
      .toEqual([]);
  });
});
