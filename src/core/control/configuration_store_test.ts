import { describe, expect, it } from "vitest";
import { ConfigurationStore } from "./configuration_store.ts";
import { digestOf } from "./section_digest.ts";

describe(ConfigurationStore.name, () => {
  const models = { planner: {} };
  const create = () => {
    const store = new ConfigurationStore();
    store.apply({
      requestId: "first",
      sections: {
        models,
        teams: { core: { sections: ["models", "teams"] } },
      },
      base: { models: 0, teams: 0 },
    });
    return store;
  };

  it("returns the first result when a change is resent", () => {
    const store = create();
    const change = {
      requestId: "r",
      sections: { models: { a: {} } },
      base: { models: 1 },
    };
    const first = store.apply(change);
    store.apply({
      requestId: "later",
      sections: { models: { b: {} } },
      base: { models: 2 },
    });
    expect(store.apply(change)).toEqual(first);
    expect(store.apply({ ...change, requestId: "other" })).toEqual(first);
    expect(store.revision).toBe(3);
  });

  it("records the request identifier of a change with equal content", () => {
    const store = create();
    const sameContent = {
      models,
      teams: { core: { sections: ["models", "teams"] } },
    };
    const base = { models: 0, teams: 0 };
    store.apply({ requestId: "twin", sections: sameContent, base });
    expect(
      store.apply({
        requestId: "twin",
        sections: { models: {} },
        base: { models: 1 },
      }).type,
    ).toBe("requestIdReused");
  });

  it("rejects different content under a used request identifier", () => {
    const store = create();
    expect(store.apply({
      requestId: "first",
      sections: { models: { x: {} } },
      base: { models: 1 },
    })).toEqual({ type: "requestIdReused", requestId: "first" });
  });

  it("reports section, fields and winning request of a conflict", () => {
    const store = create();
    const result = store.apply({
      requestId: "second",
      sections: { models: { planner: { maxSwapShare: 0.5 }, other: {} } },
      base: { models: 0 },
    });
    expect(result).toEqual({
      type: "conflict",
      conflicts: [{
        section: "models",
        fields: ["other", "planner"],
        base: 0,
        current: 1,
        winner: "first",
      }],
    });
  });

  it("applies changes of two sections with the same base revision", () => {
    const store = create();
    const zone = {
      dataCentre: "nl-1",
      region: "nl",
      lasting: true,
      pricePerHour: 1,
    };
    store.apply({ requestId: "a", sections: { zones: { z: zone } }, base: {} });
    const result = store.apply({
      requestId: "b",
      sections: { workspaces: { w: {} } },
      base: { workspaces: 0 },
    });
    expect(result.type).toBe("applied");
  });

  it("restricts a team to its own sections", () => {
    expect(
      create().apply({
        requestId: "t",
        team: "core",
        sections: { zones: {} },
        base: {},
      }),
    ).toEqual({ type: "forbidden", sections: ["zones"] });
  });

  it("applies nothing of an invalid change", () => {
    const store = create();
    const result = store.apply({
      requestId: "bad",
      sections: {
        workspaces: { w: {} },
        routes: { r: { kind: "model", model: "missing", idempotent: true } },
      },
      base: {},
    });
    expect(result).toEqual({
      type: "invalid",
      faults: [{ path: "routes.r.model", reason: "Unknown model missing" }],
    });
    expect(store.document.workspaces).toEqual({});
    expect(store.revision).toBe(1);
  });

  it("does not load an older saved state", () => {
    const store = create();
    const old = store.save();
    store.apply({
      requestId: "n",
      sections: { models: {} },
      base: { models: 1 },
    });
    expect(() => store.load(old)).toThrow("configurationForward");
  });

  it("preserves its state across save and load", () => {
    const store = create();
    const loaded = new ConfigurationStore().load(
      JSON.parse(JSON.stringify(store.save())),
    );
    expect(digestOf(loaded.save())).toBe(digestOf(store.save()));
  });
});
