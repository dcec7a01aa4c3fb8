import { describe, expect, it } from "vitest";
import {
  decodePaceFile,
  decodePaceMessage,
  PACE_FORMAT,
} from "./pace_format.ts";

const TARGET = {
  id: "t1",
  service: "s",
  incarnation: 1,
  paceMs: 17,
  ageMs: 500,
};
const MEAN = { events: 10, samples: 2 };
const SERVICE = {
  service: "s",
  completed: 30,
  runs: 40,
  events: 500,
  estimatedEvents: 480.5,
  estimatedTokens: 9_000,
  prompts: { uncached: MEAN, cached: MEAN },
  ageMs: 3,
};
const DAY_MS = 86_400_000;

describe("paces of another writer", () => {
  function doTest(
    changed: { readonly target?: object; readonly service?: object },
    isAccepted: boolean,
  ) {
    const paces = {
      targets: [{ ...TARGET, ...changed.target }],
      services: [{ ...SERVICE, ...changed.service }],
    };
    const message = decodePaceMessage({ term: 3, ...paces });
    const file = { format: PACE_FORMAT, savedAt: Date.now(), ...paces };
    expect(message !== undefined).toBe(isAccepted);
    expect(decodePaceFile(file) !== undefined).toBe(isAccepted);
  }

  it("are decoded within their bounds", () => doTest({}, true));

  for (
    const changed of [
      { target: { paceMs: 1e300 } },
      { target: { paceMs: 0 } },
      { target: { ageMs: 1e300 } },
      { target: { incarnation: Date.now() + DAY_MS } },
      { target: { incarnation: 1e300 } },
      { service: { events: 1e300 } },
      { service: { estimatedTokens: 1e300 } },
      { service: { prompts: { uncached: MEAN, cached: {} } } },
    ]
  ) {
    it(`are not taken over with ${JSON.stringify(changed)}`, () =>
      doTest(changed, false));
  }
});
