/** Commands for the configuration document. */
import { createHash } from "node:crypto";
import { defineCommand } from "citty";
import {
  checkDocument,
  type ConfigurationDocument,
  SECTION_NAMES,
  type SectionName,
} from "../core/configuration/mod.ts";
import {
  canonicalJson,
  digestOf,
  findChangedMembers,
} from "../core/control/mod.ts";
import { NutmegreelError } from "../core/errors/mod.ts";
import {
  FaultyFileError,
  loadDocument,
  readJsonOrThrow,
} from "../settings/mod.ts";
import { print } from "./output.ts";
import { REMOTE_ARGS, RemoteClient, RemoteError } from "./remote.ts";

/** Configuration as an instance returns it. */
interface CurrentConfiguration {
  readonly revision: number;
  /** Revision of each section. */
  readonly sections: Readonly<Record<SectionName, number>>;
  readonly document: ConfigurationDocument;
}

/** Body of a request that changes the configuration. */
interface ConfigurationChange {
  readonly requestId: string;
  readonly team?: string;
  /** New content of each changed section. */
  readonly sections: Partial<Record<SectionName, unknown>>;
  /** Revisions of these sections on which the change is based. */
  readonly base: Partial<Record<SectionName, number>>;
}

const FILE_ARG = {
  type: "positional",
  required: true,
  description: "Configuration document",
  valueHint: "FILE",
} as const;

const REQUEST_ID_DIGITS = 16;
const RESEND_INTERVAL_MS = 1_000;

const check = defineCommand({
  meta: {
    name: "check",
    description: "Check a document and print all its faults. " +
      "Example: nutmegreel config check configuration.json",
  },
  args: { file: FILE_ARG },
  run({ args }) {
    loadDocument(args.file);
    console.log("No faults");
  },
});

const show = defineCommand({
  meta: {
    name: "show",
    description: "Print the current document and the revision of each " +
      "section. Example: nutmegreel config show --to http://127.0.0.1:7100",
  },
  args: REMOTE_ARGS,
  async run({ args }) {
    const live = await readCurrentConfiguration(new RemoteClient(args));
    print(live, {
      json: args.json,
      lines: () => [JSON.stringify(live, null, 2)],
    });
  },
});

const diff = defineCommand({
  meta: {
    name: "diff",
    description: "Print the sections and members that a document would " +
      "change. Example: nutmegreel config diff configuration.json --to URL",
  },
  args: { file: FILE_ARG, ...REMOTE_ARGS },
  async run({ args }) {
    const live = await readCurrentConfiguration(new RemoteClient(args));
    const wanted = loadDocument(args.file);
    const changes = findChangedSections(live.document, wanted).map((
      section,
    ) => ({
      section,
      members: findChangedMembers(live.document[section], wanted[section]),
    }));
    print({ changes }, {
      json: args.json,
      lines: () =>
        changes.length === 0
          ? ["No changes"]
          : changes.map((c) => `${c.section}: ${c.members.join(", ")}`),
    });
  },
});

const apply = defineCommand({
  meta: {
    name: "apply",
    description: "Apply the changed sections of a document. " +
      "Example: nutmegreel config apply configuration.json --to URL --wait 30",
  },
  args: {
    file: FILE_ARG,
    ...REMOTE_ARGS,
    team: { type: "string", description: "Team that owns the sections" },
    base: {
      type: "string",
      description: "Output of `config show` on which the document is based",
      valueHint: "FILE",
    },
    requestId: {
      type: "string",
      description: "Identifier of the change; by default its digest",
    },
    wait: {
      type: "string",
      default: "10",
      description: "Seconds to wait until every instance applies the change",
    },
  },
  async run({ args }) {
    const client = new RemoteClient(args);
    const live = args.base === undefined
      ? await readCurrentConfiguration(client)
      : readJsonOrThrow(args.base) as CurrentConfiguration;
    const change = createChange(live, loadDocument(args.file), args);
    if (Object.keys(change.sections).length === 0) {
      print({ answer: "unchanged" }, {
        json: args.json,
        lines: () => ["No changes"],
      });
      return;
    }
    const deadline = Date.now() + Number(args.wait) * 1_000;
    await sendUntilAccepted(client, change, {
      deadline,
      json: args.json,
    });
  },
});

/** Commands for the configuration document. */
export const config = defineCommand({
  meta: {
    name: "config",
    description: "Check, compare and change the configuration",
  },
  subCommands: { check, diff, apply, show },
});

/**
 * Sends a change until every instance has applied it. The change keeps its
 * identifier, so that sending it again does not apply it twice.
 * @throws NutmegreelError if it is refused or still pending at the deadline.
 */
async function sendUntilAccepted(
  client: RemoteClient,
  change: ConfigurationChange,
  options: { deadline: number; json: boolean },
): Promise<void> {
  while (true) {
    const response = await client.send("POST", "config", change);
    const { body } = response;
    if (body.answer === "accepted") {
      print(body, {
        json: options.json,
        lines: () => [`Accepted: revision ${body.revision} is in force`],
      });
      return;
    }
    if (body.answer !== "pending") throw createError(response.status, body);
    if (Date.now() >= options.deadline) {
      const awaited = (body.awaited as string[]).join(", ");
      throw new NutmegreelError(
        "pending",
        `Pending: revision ${body.revision} is committed; waiting for ${awaited}`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, RESEND_INTERVAL_MS));
  }
}

function createError(
  status: number,
  body: Readonly<Record<string, unknown>>,
): Error {
  if (body.answer === "invalid") {
    return new FaultyFileError("the change", body.faults as []);
  }
  if (body.answer !== "conflict") return new RemoteError({ status, body });
  const conflicts = body.conflicts as {
    section: string;
    fields: string[];
    winner: string;
  }[];
  const lines = conflicts.map((c) =>
    `${c.section} (${c.fields.join(", ")}) was changed by ${c.winner}`
  );
  return new NutmegreelError("conflict", `Conflict: ${lines.join("; ")}`);
}

async function readCurrentConfiguration(
  client: RemoteClient,
): Promise<CurrentConfiguration> {
  return await client.getOrThrow("config") as unknown as CurrentConfiguration;
}

function createChange(
  live: CurrentConfiguration,
  wanted: ConfigurationDocument,
  options: { team?: string; requestId?: string },
): ConfigurationChange {
  const names = findChangedSections(live.document, wanted);
  const sections = Object.fromEntries(names.map((n) => [n, wanted[n]]));
  const base = Object.fromEntries(names.map((n) => [n, live.sections[n]]));
  const digest = createHash("sha256")
    .update(canonicalJson({ sections, base }))
    .digest("hex")
    .slice(0, REQUEST_ID_DIGITS);
  const requestId = options.requestId ?? `apply-${digest}`;
  return { requestId, team: options.team, sections, base };
}

function findChangedSections(
  live: ConfigurationDocument,
  wanted: ConfigurationDocument,
): SectionName[] {
  const checked = checkDocument(live);
  const current = checked.ok ? checked.value : live;
  return SECTION_NAMES
    .filter((name) => digestOf(current[name]) !== digestOf(wanted[name]));
}
