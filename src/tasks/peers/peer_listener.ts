/** Accepts the connections of other instances. */
import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Server as TlsServer } from "node:https";
import { type WebSocket, WebSocketServer } from "ws";
import type { Address } from "../../settings/mod.ts";
import { AcceptedLink } from "./accepted_link.ts";
import { createNonce, createProof, isProofOf } from "./peer_handshake.ts";
import { decodeEnvelope, type PeerEnvelope } from "./peer_envelope.ts";
import type { LinkSecurity } from "./peer_link.ts";

/** Options of {@link PeerListener}. */
export interface PeerListenerOptions {
  /** This instance. */
  readonly self: string;
  /** Where it listens. */
  readonly address: Address;
  /** Secret that all instances share; empty where certificates prove. */
  readonly secret: string;
  /** Certificates; plain connections where absent. */
  readonly security?: LinkSecurity;
  /** Gets whether an instance is one of the system's. */
  readonly isKnown: (id: string) => boolean;
  /** Takes a message, and the connection to answer it on. */
  readonly onMessage: (link: AcceptedLink, envelope: PeerEnvelope) => void;
  /** Hears that the newest connection of an instance is up, or has ended. */
  readonly onChange: (link: AcceptedLink, isUp: boolean) => void;
  /** Counts received bytes. */
  readonly onReceived: (bytes: number) => void;
  /** Counts sent bytes. */
  readonly onSent: (bytes: number) => void;
  /** Hears of a connection that could not prove itself. */
  readonly onRefused: (detail: string) => void;
}

const MAX_MESSAGE_BYTES = 134_217_728;
const MAX_HANDSHAKE_BYTES = 1_024;
const HANDSHAKE_TIMEOUT_MS = 3_000;
const WATCH_INTERVAL_MS = 600;

/** Listens for other instances and hands their messages on. */
export class PeerListener {
  readonly #options: PeerListenerOptions;
  readonly #http: Server | TlsServer;
  readonly #sockets: WebSocketServer;
  /** Newest connection of each instance. */
  readonly #links = new Map<string, AcceptedLink>();
  #watchTimer: NodeJS.Timeout | undefined;

  /** Creates the listener; it does not listen yet. */
  constructor(options: PeerListenerOptions) {
    this.#options = options;
    const { security } = options;
    this.#http = security === undefined
      ? createServer()
      : createTlsServer({ ...security, requestCert: true });
    this.#sockets = new WebSocketServer({
      server: this.#http as Server,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.#sockets.on("connection", (socket) => this.#greet(socket));
  }

  /** Begins to listen. */
  listen(): Promise<void> {
    const { host, port } = this.#options.address;
    this.#watchTimer = setInterval(() => {
      for (const link of this.#links.values()) link.endIfSilent();
    }, WATCH_INTERVAL_MS);
    return new Promise((resolve, reject) => {
      this.#http.once("error", reject);
      this.#http.listen(port, host, () => {
        this.#http.off("error", reject);
        resolve();
      });
    });
  }

  /** Gets the instances that keep a connection to this one. */
  get linkedIds(): readonly string[] {
    return [...this.#links.keys()];
  }

  /** Gets the newest connection of an instance. */
  getLink(id: string): AcceptedLink | undefined {
    const link = this.#links.get(id);
    return link?.isUp === true ? link : undefined;
  }

  /** Replaces the certificate for new connections. */
  setSecureContext(security: LinkSecurity): this {
    if ("setSecureContext" in this.#http) {
      this.#http.setSecureContext(security);
    }
    return this;
  }

  /** Ends all connections. */
  stop(): void {
    clearInterval(this.#watchTimer);
    for (const socket of this.#sockets.clients) socket.terminate();
    this.#sockets.close();
    this.#http.close();
  }

  #greet(socket: WebSocket): void {
    const { self, secret, isKnown, onRefused } = this.#options;
    const nonce = createNonce();
    let id: string | undefined;
    const refuse = (detail: string) => {
      onRefused(detail);
      socket.terminate();
    };
    const timer = setTimeout(
      () => refuse("No proof in time"),
      HANDSHAKE_TIMEOUT_MS,
    );
    socket.on("error", () => {});
    socket.on("close", () => clearTimeout(timer));
    const onHello = (data: Buffer) => {
      const hello = parseText(data);
      if (hello?.id === undefined || hello.nonce === undefined) {
        return refuse("Malformed greeting");
      }
      if (!isKnown(hello.id)) return refuse(`Unknown instance ${hello.id}`);
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
      const proof = parseText(data)?.proof;
      if (id === undefined || proof === undefined) {
        return refuse("Malformed proof");
      }
      if (!isProofOf({ secret, id, to: self, nonce }, proof)) {
        return refuse(`Wrong proof of ${id}`);
      }
      clearTimeout(timer);
      this.#accept(socket, id);
    };
    socket.once("message", onHello);
  }

  #accept(socket: WebSocket, id: string): void {
    const { onMessage, onChange, onReceived, onRefused, onSent } =
      this.#options;
    const link = new AcceptedLink({ peer: id, socket, onSent });
    this.#links.set(id, link);
    socket.on("message", (data: Buffer) => {
      link.hear();
      onReceived(data.length);
      const envelope = decodeEnvelope(data);
      if (envelope === undefined) {
        onRefused(`Malformed message of ${id}`);
        socket.terminate();
        return;
      }
      onMessage(link, envelope);
    });
    socket.on("close", () => {
      if (this.#links.get(id) !== link) return;
      this.#links.delete(id);
      onChange(link, false);
    });
    onChange(link, true);
  }
}

function parseText(
  data: Buffer,
): { id?: string; nonce?: string; proof?: string } | undefined {
  if (data.length > MAX_HANDSHAKE_BYTES) return undefined;
  try {
    const value = JSON.parse(data.toString());
    const isRight = ["id", "nonce", "proof"].every((name) =>
      value[name] === undefined || typeof value[name] === "string"
    );
    return isRight ? value : undefined;
  } catch {
    return undefined;
  }
}
