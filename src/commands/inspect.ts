/** Commands that print the state of a running system. */
import { defineCommand } from "citty";
import { NutmegreelError } from "../core/errors/mod.ts";
import { formatTable, print } from "./output.ts";
import { REMOTE_ARGS, RemoteClient } from "./remote.ts";

type Body = Readonly<Record<string, unknown>>;

/** Prints the state of an instance. */
export const status = defineCommand({
  meta: {
    name: "status",
    description: "Print the state of an instance, its targets and the " +
      "other instances. Example: nutmegreel status --to http://127.0.0.1:7100",
  },
  args: REMOTE_ARGS,
  async run({ args }) {
    const body = await new RemoteClient(args).getOrThrow("status");
    print(body, { json: args.json, lines: () => statusLines(body) });
  },
});

const listSteps = defineCommand({
  meta: {
    name: "list",
    description: "List the steps of the data centre. " +
      "Example: nutmegreel steps list --to URL",
  },
  args: REMOTE_ARGS,
  async run({ args }) {
    const body = await new RemoteClient(args).getOrThrow("steps");
    print(body, {
      json: args.json,
      lines: () => formatTable(body.steps as Body[]),
    });
  },
});

const showStep = defineCommand({
  meta: {
    name: "show",
    description: "Print one step. " +
      "Example: nutmegreel steps show artis week-1 --to URL",
  },
  args: {
    workspace: { type: "positional", required: true },
    step: { type: "positional", required: true },
    ...REMOTE_ARGS,
  },
  async run({ args }) {
    const body = await new RemoteClient(args).getOrThrow("steps");
    const found = (body.steps as Body[]).find((step) =>
      step.workspace === args.workspace && step.step === args.step
    );
    if (found === undefined) {
      throw new NutmegreelError("notFound", "Unknown step");
    }
    print(found, { json: args.json, lines: () => formatTable([found]) });
  },
});

/** Commands for steps. */
export const steps = defineCommand({
  meta: { name: "steps", description: "List and show steps" },
  subCommands: { list: listSteps, show: showStep },
});

/** Prints the open and the sealed usage windows. */
export const usage = defineCommand({
  meta: {
    name: "usage",
    description: "Print the open and the sealed usage windows. " +
      "Example: nutmegreel usage --to URL --json",
  },
  args: REMOTE_ARGS,
  async run({ args }) {
    const body = await new RemoteClient(args).getOrThrow("usage");
    print(body, { json: args.json, lines: () => usageLines(body) });
  },
});

function statusLines(body: Body): string[] {
  const { targets, instances, metrics, ...rest } = body;
  const lines = Object.entries(rest)
    .map(([name, value]) => `${name}: ${JSON.stringify(value)}`);
  return [
    ...lines,
    "",
    "targets",
    ...formatTable((targets ?? []) as Body[]),
    "",
    "instances",
    ...formatTable((instances ?? []) as Body[]),
    "",
    "metrics",
    ...Object.entries((metrics ?? {}) as Body)
      .map(([name, value]) => `${name} ${value}`),
  ];
}

function usageLines(body: Body): string[] {
  const committed = (body.committed ?? []) as {
    dataCentre: string;
    isReported: boolean;
    sealed: { window: number; figures: Body[] };
  }[];
  const windows = committed.map(({ dataCentre, isReported, sealed }) => ({
    window: new Date(sealed.window).toISOString(),
    dataCentre,
    workspaces: sealed.figures.length,
    isReported,
  }));
  return [
    "open window",
    ...formatTable((body.open ?? []) as Body[]),
    "",
    "sealed windows",
    ...formatTable(windows),
  ];
}
