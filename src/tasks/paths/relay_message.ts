/** What two instances say to each other of a tunnel, in its text messages. */
import * as z from "zod";
import { endpointSchema, parseBoundedJson } from "../../schemas/mod.ts";

/** Why an instance does not relay to a target. */
export const RelayRefusal = {
  /** The target refused its connection as well. */
  TargetRefused: "targetRefused",
  /** It does not reach the target either. */
  Unreachable: "unreachable",
  /** It knows no target at the address. */
  UnknownTarget: "unknownTarget",
  /** It has no room, or drains. */
  Busy: "busy",
  /** It did not answer in time, or the tunnel was lost. */
  Lost: "lost",
} as const;

/** One of the values of {@link RelayRefusal}. */
export type RelayRefusal = typeof RelayRefusal[keyof typeof RelayRefusal];

/** First message of a tunnel: the target to connect to. */
export interface RelayRequest {
  readonly address: string;
}

/** Reply to a {@link RelayRequest}, or a later change. */
export type RelayReply =
  | { readonly type: "opened" }
  | { readonly type: "refused"; readonly reason: RelayRefusal }
  /** The instance drains: the tunnel must carry no further request. */
  | { readonly type: "draining" };

const requestSchema = z.object({ address: endpointSchema });

const replySchema = z.discriminatedUnion("type", [
  z.object({ type: z.literal("opened") }),
  z.object({
    type: z.literal("refused"),
    reason: z.enum(Object.values(RelayRefusal)),
  }),
  z.object({ type: z.literal("draining") }),
]);

/** Decodes a request; undefined if it is malformed. */
export function decodeRelayRequest(text: string): RelayRequest | undefined {
  return decode(requestSchema, text);
}

/** Decodes a reply; undefined if it is malformed. */
export function decodeRelayReply(text: string): RelayReply | undefined {
  return decode(replySchema, text);
}

function decode<T>(schema: z.ZodType<T>, text: string): T | undefined {
  try {
    return schema.safeParse(parseBoundedJson(text)).data;
  } catch {
    // The caller closes the tunnel.
    return undefined;
  }
}
