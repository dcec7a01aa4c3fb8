/** Server for connections from other instances. */
import { createServer, type IncomingMessage, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Server as TlsServer } from "node:https";
import { type ServerOptions, type WebSocket, WebSocketServer } from "ws";
import type { Logger } from "../../logging/mod.ts";
import type { Address } from "../../settings/mod.ts";
import { Listener } from "../listener.ts";
import { AcceptedLink } from "./accepted_link.ts";
import { type LinkMemory, MAX_MESSAGE_BYTES } from "./link_memory.ts";
import { createNonce, createProof, isValidProof } from "./peer_handshake.ts";
import { decodeEnvelope, type PeerEnvelope } from "./peer_envelope.ts";
import {
  CLOSE_TIMEOUT_MS,
  type DialledPeer,
  type LinkSecurity,
  PeerPath,
} from "./peer_dialer.ts";

/** Options of {@link PeerListener}. */
export interface PeerListenerOptions {
  /** ID of this instance. */
  readonly self: string;
  /** Address to listen on. */
  readonly address: Address;
  readonly logger: Pick<Logger, "event">;
  /** Secret shared by all instances; empty if certificates are used instead. */
  readonly secret: string;
  /** Certificates; connections are not encrypted by default. */
  readonly security?: LinkSecurity;
  /** Checks whether an instance may connect. */
  readonly isKnown: (id: string) => boolean;
  /** Memory of all links. */
  readonly memory: LinkMemory;
  /** Called with each message received, and the link to reply on. */
  readonly onMessage: (link: AcceptedLink, envelope: PeerEnvelope) => void;
  /** Called when the newest connection of an instance is up or has closed. */
  readonly onChange: (link: AcceptedLink, isUp: boolean) => void;
  /** Called with each tunnel that another instance has opened. */
  readonly onTunnel: (tunnel: DialledPeer, from: string) => void;
  /** Called with the size of each message received, in bytes. */
  readonly onReceived: (bytes: number) => void;
  /** Called with the size of each message sent, in bytes. */
  readonly onSent: (bytes: number) => void;
  /**
   * Called with the reason when a handshake fails, or when a connection is
   * closed because of a malformed message.
   */
  readonly onRefused: (detail: string) => void;
}

const MAX_HANDSHAKE_BYTES = 1_024;
const HANDSHAKE_TIMEOUT_MS = 3_000;
const SILENCE_CHECK_INTERVAL_MS = 600;

/** Accepts and authenticates connections, and forwards their messages. */
export class PeerListener {
  readonly #options: PeerListenerOptions;
  readonly #httpServer: Server | TlsServer;
  readonly #socketServer: WebSocketServer;
  readonly #listener: Listener;
  /** Newest connection of each instance. */
  readonly #links = new Map<string, AcceptedLink>();
  /** Connections for large messages, beside those. */
  readonly #bulkLinks = new Set<AcceptedLink>();
  #silenceTimer: NodeJS.Timeout | undefined;

  constructor(options: PeerListenerOptions) {
    this.#options = options;
    const { address, logger, security } = options;
    this.#httpServer = security === undefined
      ? createServer()
      : createTlsServer({ ...security, requestCert: true });
    this.#socketServer = new WebSocketServer({
      server: this.#httpServer as Server,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      closeTimeout: CLOSE_TIMEOUT_MS,
    } as ServerOptions);
    const server = this.#httpServer as Server;
    this.#listener = new Listener({ server, address, use: "peers", logger });
    this.#socketServer.on("error", () => {
      // An error of the HTTP server, which its listener handles.
    });
    this.#socketServer.on(
      "connection",
      (socket, req) => this.#authenticate(socket, req),
    );
  }

  /**
   * Starts listening, once the address is free.
   * @throws ListenError if the address cannot be used.
   */
  listen(): Promise<void> {
    this.#silenceTimer = setInterval(() => {
      const links = [...this.#links.values(), ...this.#bulkLinks];
      for (const link of links) link.closeIfSilent();
    }, SILENCE_CHECK_INTERVAL_MS);
    return this.#listener.open();
  }

  /** Gets the instances with a connection to this one. */
  get linkedIds(): readonly string[] {
    return [...this.#links.keys()];
  }

  /** Gets an instance's newest connection, if it is open. */
  getLink(id: string): AcceptedLink | undefined {
    const link = this.#links.get(id);
    return link?.isUp === true ? link : undefined;
  }

  /** Replaces the certificate for new connections. */
  setSecureContext(security: LinkSecurity): this {
    if ("setSecureContext" in this.#httpServer) {
      this.#httpServer.setSecureContext(security);
    }
    return this;
  }

  /** Closes all connections and stops listening. */
  stop(): void {
    clearInterval(this.#silenceTimer);
    this.#listener.stop();
    for (const socket of this.#socketServer.clients) socket.terminate();
    this.#socketServer.close();
    this.#httpServer.close();
  }

  #authenticate(socket: WebSocket, req: IncomingMessage): void {
    const { self, secret, isKnown, onRefused, memory } = this.#options;
    const from = req.socket.remoteAddress ?? "";
    const trust = memory.watch(socket, req.socket, from);
    const nonce = createNonce();
    let id: string | undefined;
    const refuse = (detail: string) => {
      onRefused(detail);
      socket.terminate();
    };
    const timer = setTimeout(
      () => refuse("peer did not complete the handshake in time"),
      HANDSHAKE_TIMEOUT_MS,
    );
    socket.on("error", () => {});
    socket.on("close", () => clearTimeout(timer));
    const onHello = (data: Buffer) => {
      const hello = parseHandshake(data);
      if (hello?.id === undefined || hello.nonce === undefined) {
        return refuse("handshake: malformed hello message");
      }
      if (!isKnown(hello.id)) {
        return refuse(`handshake: unknown instance ${hello.id}`);
      }
      id = hello.id;
      const proof = createProof({
        secret,
        id: self,
        to: hello.id,
        nonce: hello.nonce,
      });
      socket.once("message", onProof);
      socket.send(JSON.stringify({ nonce, proof }));
    };
    const onProof = (data: Buffer) => {
      const proof = parseHandshake(data)?.proof;
      if (id === undefined || proof === undefined) {
        return refuse("handshake: malformed proof message");
      }
      if (!isValidProof({ secret, id, to: self, nonce }, proof)) {
        return refuse(`handshake: invalid proof from ${id}`);
      }
      clearTimeout(timer);
      trust();
      if (req.url === PeerPath.Tunnel) {
        this.#options.onTunnel({ socket, connection: req.socket }, id);
      } else if (req.url === PeerPath.Bulk) {
        this.#acceptBulk(socket, id);
      } else {
        this.#accept(socket, id);
      }
    };
    socket.once("message", onHello);
  }

  #accept(socket: WebSocket, id: string): void {
    const { onChange } = this.#options;
    const link = this.#createLink(socket, id);
    this.#links.set(id, link);
    socket.on("close", () => {
      if (this.#links.get(id) !== link) return;
      this.#links.delete(id);
      onChange(link, false);
    });
    onChange(link, true);
  }

  #acceptBulk(socket: WebSocket, id: string): void {
    const link = this.#createLink(socket, id);
    this.#bulkLinks.add(link);
    socket.on("close", () => this.#bulkLinks.delete(link));
  }

  /** Creates the link of a connection, and forwards its messages. */
  #createLink(socket: WebSocket, id: string): AcceptedLink {
    const { onMessage, onReceived, onRefused, onSent, memory } = this.#options;
    const link = new AcceptedLink({ peer: id, socket, onSent, memory });
    socket.on("message", (data: Buffer) => {
      link.recordReceived();
      onReceived(data.length);
      const envelope = decodeEnvelope(data);
      if (envelope === undefined) {
        onRefused(`malformed message from ${id}; connection closed`);
        socket.terminate();
        return;
      }
      onMessage(link, envelope);
    });
    return link;
  }
}

function parseHandshake(
  data: Buffer,
): { id?: string; nonce?: string; proof?: string } | undefined {
  if (data.length > MAX_HANDSHAKE_BYTES) return undefined;
  try {
    const value = JSON.parse(data.toString());
    const isValid = ["id", "nonce", "proof"].every((name) =>
      value[name] === undefined || typeof value[name] === "string"
    );
    return isValid ? value : undefined;
  } catch {
    return undefined;
  }
}
