/** Client of the operator endpoints of an instance. */
import { readFileSync } from "node:fs";
import { request } from "undici";
import { NutmegreelError } from "../core/errors/mod.ts";

/** Arguments of all commands that send requests to an instance. */
export const REMOTE_ARGS = {
  to: {
    type: "string",
    required: true,
    description: "Address of an instance",
    valueHint: "URL",
  },
  tokenFile: {
    type: "string",
    description: "File with the operator's token; default: NUTMEGREEL_TOKEN",
    valueHint: "FILE",
  },
  json: {
    type: "boolean",
    default: false,
    description: "Print the result as one JSON object",
  },
} as const;

/** Values of {@link REMOTE_ARGS}. */
export interface RemoteOptions {
  /** Address of an instance. */
  readonly to: string;
  /** File with the operator's token. */
  readonly tokenFile?: string;
}

/** A response of an instance. */
export interface RemoteResponse {
  /** HTTP status. */
  readonly status: number;
  /** Parsed body. */
  readonly body: Readonly<Record<string, unknown>>;
}

const TOKEN_VARIABLE = "NUTMEGREEL_TOKEN";
const TIMEOUT_MS = 15_000;
const STATUS_BAD_REQUEST = 400;

/** Represents a response of an instance with an error status. */
export class RemoteError extends NutmegreelError {
  /** Parsed body of the response. */
  readonly body: Readonly<Record<string, unknown>>;

  /**
   * Creates the error.
   * @param response - Response of the instance.
   */
  constructor(response: RemoteResponse) {
    const error = response.body.error as { message?: string } | undefined;
    const message = error?.message ?? `Status ${response.status}`;
    super("remote", message);
    this.body = response.body;
  }
}

/** Sends requests to the operator endpoints of an instance. */
export class RemoteClient {
  readonly #url: string;
  readonly #token: string;

  /**
   * Creates a client. The token is read from a file or the environment, never
   * from an argument of the command.
   * @throws NutmegreelError if there is no token.
   */
  constructor(options: RemoteOptions) {
    this.#url = options.to.replace(/\/$/, "");
    this.#token = readTokenOrThrow(options);
  }

  /**
   * Gets a resource.
   * @throws RemoteError if the instance responds with an error status.
   */
  async getOrThrow(path: string): Promise<RemoteResponse["body"]> {
    const response = await this.send("GET", path);
    if (response.status >= STATUS_BAD_REQUEST) throw new RemoteError(response);
    return response.body;
  }

  /** Sends a request and returns its response, also with an error status. */
  async send(
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: unknown,
  ): Promise<RemoteResponse> {
    const res = await request(`${this.#url}/operator/${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.#token}`,
        "content-type": "application/json",
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const parsed = await res.body.json() as RemoteResponse["body"];
    return { status: res.statusCode, body: parsed };
  }
}

function readTokenOrThrow(options: RemoteOptions): string {
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
