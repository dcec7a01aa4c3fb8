import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createSpec } from "../../../tests/support/batch_spec.ts";
import { createEntryNode } from "../../../tests/support/entry_fixture.ts";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import { BatchState } from "../../core/batches/mod.ts";
import { NO_WORKSPACE, PolicyView, RouteKind } from "../../core/policy/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { isUnknown, type RefusalError } from "../../core/verdict/mod.ts";
import { BatchIntake, type LedgerService } from "../batches/batch_intake.ts";
import { BatchMethod } from "../batches/mod.ts";
import { ResultReader } from "../batches/result_reader.ts";
import { EntryTask, type EntryTaskOptions } from "./entry_task.ts";

const PATH = "/p/";
const BATCHES = ["b1", "b2", "b3"];
const KEYS = ["k1", "k2", "k3", undefined];
const ACCEPTED = 202;
const OK = 200;
const UNAUTHORIZED = 401;
const NOT_FOUND = 404;

/** Which route takes batches. */
const RouteState = {
  Gone: "gone",
  Keyed: "keyed",
  Anonymous: "anonymous",
} as const;

type RouteState = typeof RouteState[keyof typeof RouteState];

/** A policy that is put in force: the holder of each key, and the route. */
interface Change {
  readonly type: "change";
  readonly holders: readonly (string | undefined)[];
  readonly route: RouteState;
}

interface Call {
  readonly type: "submit" | "read" | "readBody" | "end";
  readonly batch: string;
  readonly key: string | undefined;
}

type Step = Change | Call;

const CHANGE = fc.record({
  type: fc.constant("change" as const),
  holders: fc.array(fc.constantFrom("park", "zoo", undefined), {
    minLength: 3,
    maxLength: 3,
  }),
  route: fc.constantFrom(...Object.values(RouteState)),
});
const CALL = fc.record({
  type: fc.constantFrom(
    "submit" as const,
    "read" as const,
    "readBody" as const,
    "end" as const,
  ),
  batch: fc.constantFrom(...BATCHES),
  key: fc.constantFrom(...KEYS),
});
const STEPS = fc.array(
  fc.oneof(CHANGE, { arbitrary: CALL, weight: 3 }),
  { maxLength: 30 },
);

/** Says whose each batch is, and what each call is answered. */
class Model {
  readonly #owners = new Map<string, string>();
  #holders: Change["holders"] = [];
  #route: RouteState = RouteState.Gone;

  change({ holders, route }: Change): void {
    this.#holders = holders;
    this.#route = route;
  }

  answer({ type, batch, key }: Call): number {
    const caller = this.#holderOf(key);
    if (type !== "submit") return this.#access(batch, caller) ?? OK;
    const refusal = this.#refusalOf(caller);
    if (refusal !== undefined) {
      return this.#access(batch, caller) === undefined ? ACCEPTED : refusal;
    }
    if (!this.#owners.has(batch)) this.#owners.set(batch, caller);
    return this.#access(batch, caller) ?? ACCEPTED;
  }

  get #needsKeys(): boolean {
    return this.#holders.some((name) => name !== undefined);
  }

  #holderOf(key: string | undefined): string {
    return this.#holders[KEYS.indexOf(key)] ?? NO_WORKSPACE;
  }

  /** Gets why no route takes a new batch of a caller. */
  #refusalOf(caller: string): number | undefined {
    if (this.#route === RouteState.Gone) return NOT_FOUND;
    const isKeyed = this.#route === RouteState.Keyed && this.#needsKeys;
    return isKeyed && caller === NO_WORKSPACE ? UNAUTHORIZED : undefined;
  }

  /** Gets why a caller may not open a batch; undefined if it may. */
  #access(batch: string, caller: string): number | undefined {
    const owner = this.#owners.get(batch);
    if (owner === NO_WORKSPACE || owner === caller) return undefined;
    const lacksKey = caller === NO_WORKSPACE &&
      (this.#needsKeys || owner !== undefined);
    return lacksKey ? UNAUTHORIZED : NOT_FOUND;
  }
}

/** An entry instance beside a ledger of one replica. */
class System {
  readonly #state = new BatchState();
  readonly #entry: EntryTask;
  #policy = new PolicyView(createPolicy());

  constructor() {
    const service = {
      state: this.#state,
      takesCommands: true,
      confirmLeadership: () => Promise.resolve(),
      propose: (command: Parameters<BatchState["apply"]>[0]) =>
        Promise.resolve(this.#state.apply(command)),
    } as unknown as LedgerService;
    const intake = new BatchIntake({
      service,
      admission: () => ({
        decide: () => ({ isAdmitted: true }) as never,
        onRefused: () => {},
      }),
    });
    const reader = new ResultReader({
      state: () => this.#state,
      confirmLeadership: () => Promise.resolve(),
    });
    const handlers: Record<string, (params: never) => Promise<unknown>> = {
      [BatchMethod.Submit]: (params) => intake.submit(params),
      [BatchMethod.Read]: (params) => reader.read(params),
      [BatchMethod.Body]: (params) => reader.readBody(params),
      [BatchMethod.End]: (params) => intake.end(params),
    };
    this.#entry = this.#createEntry((method, params) =>
      handlers[method](params as never)
    );
  }

  change({ holders, route }: Change): void {
    const keysOf = (name: string) =>
      KEYS.filter((_, i) => holders[i] === name) as string[];
    const names = [...new Set(holders)].filter((name) => name !== undefined);
    const routes = route === RouteState.Gone ? [] : [createRoute({
      prefix: PATH,
      kind: RouteKind.Rollout,
      isAnonymous: route === RouteState.Anonymous,
    })];
    this.#policy = new PolicyView(createPolicy({
      routes,
      workspaces: names
        .map((name) => ({ name, keys: keysOf(name), priority: 1 })),
    }));
  }

  async answer(call: Call): Promise<number> {
    try {
      return await this.#send(call);
    } catch (err) {
      return (err as RefusalError).status;
    }
  }

  async #send({ type, batch, key }: Call): Promise<number> {
    if (type === "submit") return await this.#submit(batch, key);
    if (type === "end") await this.#entry.batches.end({ key, batch });
    if (type === "readBody") {
      await this.#entry.batches.readItem({ key, batch, item: "i" });
    }
    if (type === "read") {
      await this.#entry.batches.read({ key, batch, after: 0, waitMs: 0 });
    }
    return OK;
  }

  async #submit(batch: string, key: string | undefined): Promise<number> {
    const call = { id: batch, host: "h", path: PATH, key };
    try {
      const admission = await this.#entry.admit(call as never);
      const workspace = admission.workspace?.name ?? NO_WORKSPACE;
      const items = [{ id: "i", body: new Uint8Array() }] as never;
      const spec = createSpec({ id: batch, workspace, items });
      await this.#entry.batches.submit(spec, admission);
    } catch (err) {
      const isAccepted = isUnknown(err) &&
        await this.#entry.batches.has({ key, batch });
      if (!isAccepted) throw err;
    }
    return ACCEPTED;
  }

  #createEntry(
    request: (method: string, params: unknown) => Promise<unknown>,
  ): EntryTask {
    const node = createEntryNode({
      requestLeader: (_role, method, { params }) => request(method, params),
    });
    const policy = () => this.#policy;
    const follower = {
      get policy() {
        return policy();
      },
      hasLease: true,
      awaitLease: () => Promise.resolve(true),
    };
    return new EntryTask({
      node,
      follower,
      registry: new TargetRegistry(),
    } as unknown as EntryTaskOptions);
  }
}

describe("access to batches, over changes of the policy", () => {
  async function doTest(steps: readonly Step[]): Promise<void> {
    const model = new Model();
    const system = new System();
    for (const step of steps) {
      if (step.type === "change") {
        model.change(step);
        system.change(step);
        continue;
      }
      const expected = model.answer(step);
      expect({ step, status: await system.answer(step) })
        .toEqual({ step, status: expected });
    }
  }

  // Guards against accepted batches that nobody can read or end.
  it("is as whose they are, whatever routes and keys there are", async () => {
    const property = fc.asyncProperty(STEPS, (steps) => doTest(steps));
    await fc.assert(property, { numRuns: 2_000, seed: 59 });
  });
});
