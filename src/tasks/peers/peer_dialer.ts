/** Outgoing connections to other instances, authenticated on both sides. */
import { connect as connectTcp, type Socket } from "node:net";
import { connect as connectTls } from "node:tls";
import { type ClientOptions, WebSocket } from "ws";
import type { PeerSettings } from "../../settings/mod.ts";
import { type LinkMemory, MAX_MESSAGE_BYTES } from "./link_memory.ts";
import { createNonce, createProof, isValidProof } from "./peer_handshake.ts";

/** TLS certificate, key and authority of a link. */
export interface LinkSecurity {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca?: Buffer;
}

/** What a connection to another instance is for. */
export const PeerPath = {
  /** Messages, requests and heartbeats. */
  Link: "/peer",
  /** Large messages, beside a link. */
  Bulk: "/bulk",
  /** The bytes of one connection to a target. */
  Tunnel: "/tunnel",
} as const;

/** One of the values of {@link PeerPath}. */
export type PeerPath = typeof PeerPath[keyof typeof PeerPath];

/** Options of {@link dialPeer}. */
export interface PeerDialOptions {
  /** ID of this instance. */
  readonly self: string;
  /** Settings of the other instance. */
  readonly peer: PeerSettings;
  /** Secret shared by all instances; empty if certificates are used instead. */
  readonly secret: string;
  /** Gets the certificates; undefined for a plain connection. */
  readonly security: () => LinkSecurity | undefined;
  readonly path: PeerPath;
  /** Memory of all links; what arrives is not counted without it. */
  readonly memory?: LinkMemory;
  /** Called once both sides are authenticated. */
  readonly onAuthenticated: () => void;
}

/** A dialled connection. */
export interface DialledPeer {
  readonly socket: WebSocket;
  /** The connection that carries it. */
  readonly connection: Socket;
}

/**
 * Time in which a connection must be authenticated. The library's own timeout
 * does not cover connections that are made for it.
 */
const HANDSHAKE_TIMEOUT_MS = 1_500;
/** Time in which the other side answers a close. */
export const CLOSE_TIMEOUT_MS = 1_000;

/** Dials an instance; a failed handshake closes the connection. */
export function dialPeer(options: PeerDialOptions): DialledPeer {
  const { self, secret, peer, path } = options;
  const security = options.security();
  const { host, port } = peer.address;
  const urlHost = host.includes(":") ? `[${host}]` : host;
  const scheme = security === undefined ? "ws" : "wss";
  const connection = security === undefined
    ? connectTcp({ host, port })
    : connectTls({
      host,
      port,
      ...security,
      checkServerIdentity: acceptAnyHostName,
    });
  const clientOptions: ClientOptions & { readonly closeTimeout: number } = {
    closeTimeout: CLOSE_TIMEOUT_MS,
    perMessageDeflate: false,
    maxPayload: MAX_MESSAGE_BYTES,
    generateMask: clearMask,
    createConnection: () => connection,
  };
  const url = `${scheme}://${urlHost}:${port}${path}`;
  const socket = new WebSocket(url, clientOptions);
  const timer = setTimeout(() => socket.terminate(), HANDSHAKE_TIMEOUT_MS);
  socket.once("close", () => clearTimeout(timer));
  const nonce = createNonce();
  let trust: (() => void) | undefined;
  socket.on("open", () => {
    trust = options.memory?.watch(socket, connection, peer.id);
    socket.send(JSON.stringify({ id: self, nonce }));
  });
  socket.once("message", (data: Buffer) => {
    const reply = parseHandshakeReply(data);
    const proof = { secret, id: peer.id, to: self, nonce };
    if (reply === undefined || !isValidProof(proof, reply.proof)) {
      socket.terminate();
      return;
    }
    const ownProof = { secret, id: self, to: peer.id, nonce: reply.nonce };
    socket.send(JSON.stringify({ proof: createProof(ownProof) }));
    clearTimeout(timer);
    trust?.();
    options.onAuthenticated();
  });
  socket.on("error", () => {});
  return { socket, connection };
}

/**
 * Leaves a message as it is. Masks protect proxies, of which there are none
 * between instances, and cost a copy of each message.
 */
function clearMask(mask: Buffer): void {
  mask.fill(0);
}

/**
 * Accepts any host name in a certificate of the authority: the addresses are IP
 * addresses, and the instance proves its identity in the handshake. Node treats
 * undefined as acceptance, although the type requires a boolean.
 */
const acceptAnyHostName = (() => undefined) as unknown as () => Error;

function parseHandshakeReply(
  data: Buffer,
): { nonce: string; proof: string } | undefined {
  try {
    const { nonce, proof } = JSON.parse(data.toString());
    const isReply = typeof nonce === "string" && typeof proof === "string";
    return isReply ? { nonce, proof } : undefined;
  } catch {
    return undefined;
  }
}
