import { describe, expect, it } from "vitest";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import { comparePolicies, type PolicyDifference } from "./policy_difference.ts";
import type { PolicyDocument } from "./policy_document.ts";

const ROUTE = createRoute({ name: "plans" });
const SERVICE = {
  name: "apps",
  healthPath: "/",
  maxConnections: 64,
  models: [],
  scaling: undefined,
};
const IN_FORCE = createPolicy({
  revision: 7,
  routes: [ROUTE],
  services: [SERVICE],
  workspaces: [{ name: "park", keys: ["secret-1", "secret-2"], priority: 1 }],
});
const SAME = { added: [], removed: [], changed: [] };

describe(comparePolicies, () => {
  function doTest(
    next: Partial<PolicyDocument>,
    expected: Partial<PolicyDifference>,
  ) {
    const difference = comparePolicies(IN_FORCE, {
      ...IN_FORCE,
      revision: 8,
      ...next,
    });
    expect(difference).toEqual({
      revision: { inForce: 7, next: 8, isNewer: true },
      routes: SAME,
      services: SAME,
      workspaces: SAME,
      keys: [],
      limits: [],
      ...expected,
    });
    expect(JSON.stringify(difference)).not.toContain("secret");
  }

  it("finds no difference between equal documents", () => doTest({}, {}));

  it.each([6, 7])(
    "finds that revision %i has no effect",
    (revision) =>
      doTest({ revision }, {
        revision: { inForce: 7, next: revision, isNewer: false },
      }),
  );

  it("finds routes that are added, removed and changed", () => {
    doTest({ routes: [ROUTE, { ...ROUTE, name: "b" }] }, {
      routes: { ...SAME, added: ["b"] },
    });
    doTest({ routes: [] }, { routes: { ...SAME, removed: ["plans"] } });
    doTest({ routes: [{ ...ROUTE, timeoutMs: 1, priority: 0 }] }, {
      routes: {
        ...SAME,
        changed: [{ name: "plans", fields: ["priority", "timeoutMs"] }],
      },
    });
  });

  it("distinguishes routes of the same name", () =>
    doTest({ routes: [ROUTE, { ...ROUTE, prefix: "/b/" }] }, {
      routes: { ...SAME, added: ["plans"] },
    }));

  it("finds changed services", () =>
    doTest({ services: [{ ...SERVICE, maxConnections: 1 }] }, {
      services: {
        ...SAME,
        changed: [{ name: "apps", fields: ["maxConnections"] }],
      },
    }));

  it("finds changed limits", () =>
    doTest({ limits: { ...IN_FORCE.limits, maxBodyBytes: 2 } }, {
      limits: ["maxBodyBytes"],
    }));

  it("counts the keys of a workspace that are added and withdrawn", () =>
    doTest({
      workspaces: [{
        name: "park",
        keys: ["secret-2", "secret-3", "secret-4"],
        priority: 1,
      }],
    }, { keys: [{ workspace: "park", added: 2, withdrawn: 1 }] }));

  it("counts the keys of workspaces that are added and removed", () =>
    doTest({
      workspaces: [{ name: "zoo", keys: ["secret-1"], priority: 1 }],
    }, {
      workspaces: { ...SAME, added: ["zoo"], removed: ["park"] },
      keys: [
        { workspace: "park", added: 0, withdrawn: 2 },
        { workspace: "zoo", added: 1, withdrawn: 0 },
      ],
    }));
});
