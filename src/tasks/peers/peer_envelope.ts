/** Messages between instances, and their encoding. */
import { constants, deflateRawSync, inflateRawSync } from "node:zlib";
import type {
  ControlCommand,
  ControlSnapshot,
} from "../../core/control/mod.ts";
import type { ConsensusMessage } from "../../core/consensus/mod.ts";
import { MessagePacker } from "../memory/mod.ts";
import type { FleetMember, FleetNotice } from "../../core/fleet/mod.ts";
import type { FeedMessage } from "../../core/feed/mod.ts";
import type { LedgerMessage } from "../../core/ledger/mod.ts";

/** A request to another instance. */
export interface PeerRequest {
  /** Number of the request, unique for its sender. */
  readonly id: number;
  readonly method: string;
  readonly params: unknown;
}

/** The reply to a {@link PeerRequest}. */
export interface PeerReply {
  /** Number of the request. */
  readonly id: number;
  /** Result of a successful request. */
  readonly result?: unknown;
  /** Error of a failed request. */
  readonly refusal?: {
    readonly reason: string;
    readonly verdict: string;
    readonly message: string;
    readonly retryAfterMs?: number;
  };
}

/** Heartbeat of an instance, with its IDs and status. */
export interface Presence {
  /** ID in the control log; undefined on instances without a replica. */
  readonly replica?: string;
  /** ID of the process in the ledger. */
  readonly ledger: string;
  /** Incarnation of the process: a new value at each start. */
  readonly incarnation: string;
  /** Whether the instance is draining. */
  readonly isDraining: boolean;
  /** Whether the instance has lost all targets, so that it cannot relay. */
  readonly isCutOff?: boolean;
  /**
   * Whether the instance takes large messages on connections of their own, in
   * any order. An earlier build sends no such field.
   */
  readonly takesBulk?: boolean;
  /** Membership of an instance that joined a fleet through seeds. */
  readonly member?: FleetMember;
}

/** A message on a link, by channel. */
export type PeerEnvelope =
  | {
    readonly channel: "consensus";
    readonly body: ConsensusMessage<ControlCommand, ControlSnapshot>;
  }
  | { readonly channel: "ledger"; readonly body: LedgerMessage }
  | { readonly channel: "feed"; readonly body: FeedMessage }
  | { readonly channel: "log"; readonly body: LogEnvelope }
  | { readonly channel: "notice"; readonly body: FleetNotice }
  | { readonly channel: "presence"; readonly body: Presence }
  | { readonly channel: "home"; readonly body: HomeMessage }
  | { readonly channel: "request"; readonly body: PeerRequest }
  | { readonly channel: "reply"; readonly body: PeerReply };

/** Channels that tasks can subscribe to. */
export type TaskChannel =
  | "consensus"
  | "ledger"
  | "feed"
  | "home"
  | "log"
  | "notice";

/** Type of the messages of a channel. */
export type BodyOf<C extends PeerEnvelope["channel"]> = Extract<
  PeerEnvelope,
  { channel: C }
>["body"];

/** A message of a named replicated log. */
export interface LogEnvelope {
  /** Name of the log. */
  readonly log: string;
  /** Message; only the log's owner knows the type of its commands. */
  readonly message: ConsensusMessage<unknown, unknown>;
}

/** Request for a backup's promise to follow a primary, or the promise. */
export interface HomeMessage {
  readonly type: "ask" | "promise";
  /** ID of the sending process in ledger views. */
  readonly process: string;
  /** Number of the view. */
  readonly view: number;
  /** Time at which the request was sent, by its sender's clock; echoed. */
  readonly at: number;
}

/** Large integers are decoded as numbers, since JSON knows no others. */
const packer = new MessagePacker({ useRecords: false, int64AsType: "number" });

/**
 * First byte of a message, which indicates whether the remainder is compressed.
 */
const Encoding = { Plain: 0, Compressed: 1 } as const;

/** Bytes before the content of a message: its encoding. */
const HEAD_BYTES = 1;
/**
 * Maximum size of a message for compression, in bytes: its compressed form is
 * held twice as it is made.
 */
const MAX_COMPRESSED_BYTES = 4_194_304;
/** Minimum size of a message for compression, in bytes. */
const MIN_COMPRESSED_BYTES = 1_024;
/** Maximum size of a decompressed message, in bytes. */
const MAX_MESSAGE_BYTES = 268_435_456;
/**
 * Huffman coding without a search for matches, because prompts and texts contain
 * few repetitions. A smaller window or less memory makes it slower: 512 bytes of
 * window took half as long again for messages of 20 KB and more.
 */
const COMPRESSION = {
  level: 1,
  strategy: constants.Z_HUFFMAN_ONLY,
} as const;

/** Encodes an envelope, with compression unless it is small or very large. */
export function encodeEnvelope(envelope: PeerEnvelope): Buffer {
  const bytes = packer.pack(envelope, HEAD_BYTES);
  const isPlain = bytes.length < MIN_COMPRESSED_BYTES ||
    bytes.length > MAX_COMPRESSED_BYTES;
  if (isPlain) {
    bytes[0] = Encoding.Plain;
    return bytes;
  }
  const compressed = deflateRawSync(bytes.subarray(HEAD_BYTES), COMPRESSION);
  return Buffer.concat([Buffer.of(Encoding.Compressed), compressed]);
}

/** Decodes an envelope; returns undefined if it is malformed. */
export function decodeEnvelope(bytes: Buffer): PeerEnvelope | undefined {
  try {
    const content = bytes.subarray(HEAD_BYTES);
    const value = packer.unpack(
      bytes[0] === Encoding.Compressed
        ? inflateRawSync(content, { maxOutputLength: MAX_MESSAGE_BYTES })
        : content,
    );
    return isEnvelope(value) ? value : undefined;
  } catch {
    // The caller closes the connection; the listener also logs that.
    return undefined;
  }
}

function isEnvelope(value: unknown): value is PeerEnvelope {
  if (value === null || typeof value !== "object") return false;
  const { channel, body } = value as { channel?: unknown; body?: unknown };
  return typeof channel === "string" && body !== undefined;
}
