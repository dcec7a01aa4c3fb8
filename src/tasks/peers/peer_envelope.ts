/** What travels between instances. */
import { constants, deflateRawSync, inflateRawSync } from "node:zlib";
import { Packr } from "msgpackr";
import type {
  ControlCommand,
  ControlSnapshot,
} from "../../core/control/mod.ts";
import type { ConsensusMessage } from "../../core/consensus/mod.ts";
import type { FleetMember, FleetNotice } from "../../core/fleet/mod.ts";
import type { FeedMessage } from "../../core/feed/mod.ts";
import type { LedgerMessage } from "../../core/ledger/mod.ts";

/** A request of another instance, to be answered. */
export interface PeerRequest {
  /** Number of the request on its link. */
  readonly id: number;
  /** What is asked. */
  readonly method: string;
  /** Parameters. */
  readonly params: unknown;
}

/** The answer to a {@link PeerRequest}. */
export interface PeerReply {
  /** Number of the request. */
  readonly id: number;
  /** Result, where it succeeded. */
  readonly result?: unknown;
  /** Refusal, where it did not. */
  readonly refusal?: {
    readonly reason: string;
    readonly verdict: string;
    readonly message: string;
    readonly retryAfterMs?: number;
  };
}

/** Sign of life and identities of an instance. */
export interface Presence {
  /** Identity in the control log; undefined for others. */
  readonly replica?: string;
  /** Identity in the ledger. */
  readonly ledger: string;
  /** One life of the process. */
  readonly incarnation: string;
  /** Whether it drains. */
  readonly isDraining: boolean;
  /** What an instance of a fleet that finds itself by seeds adds. */
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

/** A message of a replicated log, by the log's name. */
export interface LogEnvelope {
  /** Name of the log. */
  readonly log: string;
  /** Message; its commands are known to the log's owner alone. */
  readonly message: ConsensusMessage<unknown, unknown>;
}

/** Asks a backup for its promise, or gives it. */
export interface HomeMessage {
  readonly type: "ask" | "promise";
  /** Process that gives the promise, as views name it. */
  readonly process: string;
  /** Number of the view. */
  readonly view: number;
  /** Sending time of the question; echoed. */
  readonly at: number;
}

const packr = new Packr({ useRecords: false });

/** First byte of a message: whether the rest is compressed. */
const Form = { Plain: 0, Compressed: 1 } as const;

/** Size from which a message is compressed, in bytes. */
const MIN_COMPRESSED_BYTES = 1_024;
/** Greatest size of a message after it has been decompressed. */
const MAX_MESSAGE_BYTES = 268_435_456;
/** Prompts and texts repeat little; their letters are coded by frequency. */
const COMPRESSION = {
  level: 1,
  strategy: constants.Z_HUFFMAN_ONLY,
  memLevel: 5,
  windowBits: 9,
} as const;

/** Gets the bytes of an envelope. */
export function encodeEnvelope(envelope: PeerEnvelope): Buffer {
  const bytes = packr.pack(envelope);
  if (bytes.length < MIN_COMPRESSED_BYTES) {
    return Buffer.concat([Buffer.of(Form.Plain), bytes]);
  }
  const compressed = deflateRawSync(bytes, COMPRESSION);
  return Buffer.concat([Buffer.of(Form.Compressed), compressed]);
}

/** Gets an envelope from its bytes, or undefined where it is malformed. */
export function decodeEnvelope(bytes: Buffer): PeerEnvelope | undefined {
  try {
    const content = bytes.subarray(1);
    const value = packr.unpack(
      bytes[0] === Form.Compressed
        ? inflateRawSync(content, { maxOutputLength: MAX_MESSAGE_BYTES })
        : content,
    );
    const isEnvelope = value !== null && typeof value === "object" &&
      typeof value.channel === "string" && value.body !== undefined;
    return isEnvelope ? value as PeerEnvelope : undefined;
  } catch {
    // The listener refuses the peer and logs that.
    return undefined;
  }
}
