import { describe, expect, it } from "vitest";
import { createPolicy } from "../../../tests/support/policy_document.ts";
import { CurrentPolicy } from "./current_policy.ts";
import type { PolicyDocument, ServicePolicy } from "./policy_document.ts";

describe(CurrentPolicy.name, () => {
  const service = (maxConnections: number) =>
    ({ name: "s", maxConnections }) as ServicePolicy;

  /** Looks a service up under each document in turn. */
  function doTest(
    documents: readonly (PolicyDocument | undefined)[],
    expected: readonly (number | undefined)[],
  ) {
    let document: PolicyDocument | undefined;
    const current = new CurrentPolicy(() => document);
    const found = documents.map((next) => {
      document = next;
      return current.getService("s")?.maxConnections;
    });
    expect(found).toEqual(expected);
  }

  // Guards against services of a policy that is no longer in force.
  it("follows the document in force", () =>
    doTest([
      undefined,
      createPolicy({ services: [service(1)] }),
      createPolicy({ services: [service(2)] }),
      createPolicy(),
      undefined,
    ], [undefined, 1, 2, undefined, undefined]));

  // Guards against control instances that use another one than entry instances.
  it("finds the last of services of the same name", () =>
    doTest([createPolicy({ services: [service(1), service(2)] })], [2]));
});
