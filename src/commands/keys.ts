/** Commands for the API keys of callers. */
import { randomBytes } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { defineCommand } from "citty";
import { NutmegreelError } from "../core/errors/mod.ts";
import {
  createKeyRecord,
  formatKey,
  type KeyRecord,
} from "../core/keys/mod.ts";
import { formatTable, print } from "./output.ts";
import { REMOTE_ARGS, RemoteClient, RemoteError } from "./remote.ts";

const SECRET_BYTES = 24;
const SALT_BYTES = 16;
/** Only the owner may read and write a file that holds a key. */
const KEY_FILE_MODE = 0o600;
const STATUS_BAD_REQUEST = 400;

const create = defineCommand({
  meta: {
    name: "create",
    description: "Create a key and print it once. Example: nutmegreel keys " +
      "create --id artis-2 --workspace artis --to URL --out artis-2.key",
  },
  args: {
    ...REMOTE_ARGS,
    to: { ...REMOTE_ARGS.to, required: false },
    id: { type: "string", required: true, description: "Name of the key" },
    workspace: {
      type: "string",
      required: true,
      description: "Workspace that the key gives access to",
    },
    out: {
      type: "string",
      description: "File to write the key to, instead of printing it",
      valueHint: "FILE",
    },
    offline: {
      type: "string",
      description: "File of key records to add to, for `bootstrap.keysFile`",
      valueHint: "FILE",
    },
  },
  async run({ args }) {
    const { id, workspace } = args;
    const key = args.offline === undefined
      ? await createOnInstance(args)
      : createInFile(args.offline, { id, workspace });
    if (args.out === undefined) {
      print({ id, workspace, key }, { json: args.json, lines: () => [key] });
      return;
    }
    writeFileSync(args.out, key + "\n", { mode: KEY_FILE_MODE, flag: "wx" });
    print({ id, workspace, file: args.out }, {
      json: args.json,
      lines: () => [`Created ${id}; the key is in ${args.out}`],
    });
  },
});

const withdraw = defineCommand({
  meta: {
    name: "withdraw",
    description: "Withdraw a key; exits 0 once no instance accepts it. " +
      "Example: nutmegreel keys withdraw artis-2 --to URL",
  },
  args: {
    id: { type: "positional", required: true, description: "Name of the key" },
    ...REMOTE_ARGS,
  },
  async run({ args }) {
    const client = new RemoteClient(args);
    const path = `keys/${encodeURIComponent(args.id)}`;
    const response = await client.send("DELETE", path);
    if (response.status >= STATUS_BAD_REQUEST) throw new RemoteError(response);
    const { body } = response;
    if (body.answer !== "accepted") {
      const awaited = (body.awaited as string[]).join(", ");
      throw new NutmegreelError(
        "pending",
        `Pending: the withdrawal is committed; waiting for ${awaited}`,
      );
    }
    print(body, {
      json: args.json,
      lines: () => [`Withdrawn: no instance accepts ${args.id}`],
    });
  },
});

const list = defineCommand({
  meta: {
    name: "list",
    description: "List the keys. Example: nutmegreel keys list --to URL",
  },
  args: REMOTE_ARGS,
  async run({ args }) {
    const body = await new RemoteClient(args).getOrThrow("keys");
    print(body, {
      json: args.json,
      lines: () => formatTable(body.keys as []),
    });
  },
});

/** Commands for the API keys of callers. */
export const keys = defineCommand({
  meta: { name: "keys", description: "Create, withdraw and list keys" },
  subCommands: { create, withdraw, list },
});

async function createOnInstance(args: {
  to?: string;
  tokenFile?: string;
  id: string;
  workspace: string;
}): Promise<string> {
  const { to, tokenFile, id, workspace } = args;
  if (to === undefined) {
    throw new NutmegreelError("usage", "Expected --to or --offline");
  }
  const client = new RemoteClient({ to, tokenFile });
  const response = await client.send("POST", "keys", { id, workspace });
  if (response.status >= STATUS_BAD_REQUEST) throw new RemoteError(response);
  return String(response.body.key);
}

function createInFile(
  file: string,
  options: { id: string; workspace: string },
): string {
  const records: KeyRecord[] = existsSync(file)
    ? JSON.parse(readFileSync(file, "utf8"))
    : [];
  if (records.some((record) => record.id === options.id)) {
    throw new NutmegreelError(
      "exists",
      `Key ${options.id} already exists in ${file}`,
    );
  }
  const secret = randomBytes(SECRET_BYTES).toString("base64url");
  const salt = randomBytes(SALT_BYTES).toString("hex");
  records.push(createKeyRecord({ ...options, secret, salt }));
  writeFileSync(file, JSON.stringify(records, null, 2) + "\n");
  return formatKey({ id: options.id, secret });
}
