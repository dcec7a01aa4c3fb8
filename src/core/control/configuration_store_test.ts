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

  it("answers a change that is sent again with its first answer", () => {
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

  it("remembers an identifier that was answered for its content", () => {
    const store = create();
    const same = {
      models,
      teams: { core: { sections: ["models", "teams"] } },
    };
    const base = { models: 0, teams: 0 };
    store.apply({ requestId: "twin", sections: same, base });
    expect(
      store.apply({
        requestId: "twin",
        sections: { models: {} },
        base: { models: 1 },
      }).type,
    ).toBe("requestIdReused");
  });

  it("refuses another content under a used identifier", () => {
    const store = create();
    expect(store.apply({
      requestId: "first",
      sections: { models: { x: {} } },
      base: { models: 1 },
    })).toEqual({ type: "requestIdReused", requestId: "first" });
  });

  it("names section, fields and winner of a conflict", () => {
    const store = create();
    const answer = store.apply({
      requestId: "second",
      sections: { models: { planner: { maxSwapShare: 0.5 }, other: {} } },
      base: { models: 0 },
    });
    expect(answer).toEqual({
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

  it("lets two teams change two sections on one base", () => {
    const store = create();
    const zone = {
      dataCentre: "nl-1",
      region: "nl",
      lasting: true,
      pricePerHour: 1,
    };
    store.apply({ requestId: "a", sections: { zones: { z: zone } }, base: {} });
    const answer = store.apply({
      requestId: "b",
      sections: { workspaces: { w: {} } },
      base: { workspaces: 0 },
    });
    expect(answer.type).toBe("applied");
  });

  it("keeps a team to its sections", () => {
    expect(
      create().apply({
        requestId: "t",
        team: "core",
        sections: { zones: {} },
        base: {},
      }),
    ).toEqual({ type: "forbidden", sections: ["zones"] });
  });

  it("applies nothing of a faulty change", () => {
    const store = create();
    const answer = store.apply({
      requestId: "bad",
      sections: {
        workspaces: { w: {} },
        routes: { r: { kind: "model", model: "missing", idempotent: true } },
      },
      base: {},
    });
    expect(answer).toEqual({
      type: "invalid",
      faults: [{ path: "routes.r.model", reason: "Unknown model missing" }],
    });
    expect(store.document.workspaces).toEqual({});
    expect(store.revision).toBe(1);
  });

  it("never goes back to an older saved state", () => {
    const store = create();
    const old = store.save();
    store.apply({
      requestId: "n",
      sections: { models: {} },
      base: { models: 1 },
    });
    expect(() => store.load(old)).toThrow("configurationForward");
  });

  it("keeps its answers over save and load", () => {
    const store = create();
    const loaded = new ConfigurationStore().load(
      JSON.parse(JSON.stringify(store.save())),
    );
    expect(digestOf(loaded.save())).toBe(digestOf(store.save()));
  });
});
