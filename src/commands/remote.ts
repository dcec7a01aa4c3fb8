/** Requests of commands to an instance. */
import { readFileSync } from "node:fs";
import { request } from "undici";
import { NutmegreelError } from "../core/errors/mod.ts";

/** Arguments that every remote command takes. */
export const REMOTE_ARGS = {
  to: {
    type: "string",
    required: true,
    description: "Address of an instance",
    valueHint: "URL",
  },
  tokenFile: {
    type: "string",
    description: "File with the operator's token; else NUTMEGREEL_TOKEN",
    valueHint: "FILE",
  },
  json: {
    type: "boolean",
    default: false,
    description: "Print one JSON object",
  },
} as const;

/** Values of {@link REMOTE_ARGS}. */
export interface RemoteOptions {
  /** Address of an instance. */
  readonly to: string;
  /** File with the operator's token. */
  readonly tokenFile?: string;
}

/** An answer of an instance. */
export interface RemoteAnswer {
  /** HTTP status. */
  readonly status: number;
  /** Parsed body. */
  readonly body: Readonly<Record<string, unknown>>;
}

const TOKEN_VARIABLE = "NUTMEGREEL_TOKEN";
const TIMEOUT_MS = 15_000;
const STATUS_BAD_REQUEST = 400;

/** Represents a refusal by an instance. */
export class RemoteError extends NutmegreelError {
  /** Parsed body of the answer. */
  readonly body: Readonly<Record<string, unknown>>;

  /**
   * Creates the error.
   * @param answer - Answer of the instance.
   */
  constructor(answer: RemoteAnswer) {
    const error = answer.body.error as { message?: string } | undefined;
    const message = error?.message ?? `Status ${answer.status}`;
    super("remote", message);
    this.body = answer.body;
  }
}

/** Asks the operators' endpoints of an instance. */
export class RemoteClient {
  readonly #url: string;
  readonly #token: string;

  /** Creates a client; the token never comes from the command line. */
  constructor(options: RemoteOptions) {
    this.#url = options.to.replace(/\/$/, "");
    this.#token = tokenOf(options);
  }

  /** Gets a resource, or throws the refusal. */
  async getOrThrow(path: string): Promise<RemoteAnswer["body"]> {
    const answer = await this.ask("GET", path);
    if (answer.status >= STATUS_BAD_REQUEST) throw new RemoteError(answer);
    return answer.body;
  }

  /** Sends a request and gets its answer, refusals included. */
  async ask(
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: unknown,
  ): Promise<RemoteAnswer> {
    const res = await request(`${this.#url}/operator/${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.#token}`,
        "content-type": "application/json",
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const parsed = await res.body.json() as RemoteAnswer["body"];
    return { status: res.statusCode, body: parsed };
  }
}

function tokenOf(options: RemoteOptions): string {
  const text = options.tokenFile === undefined
    ? process.env[TOKEN_VARIABLE]
    : readFileSync(options.tokenFile, "utf8");
  const token = text?.trim() ?? "";
  if (token.length > 0) return token;
  throw new NutmegreelError(
    "tokenMissing",
    `Expected a token in --tokenFile or in ${TOKEN_VARIABLE}`,
  );
}
