/** All links of an instance: messages, requests and heartbeats. */
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import {
  type PeerSettings,
  readSecretOrThrow,
  type Settings,
} from "../../settings/mod.ts";
import { readCertificatesOrThrow } from "../certificates.ts";
import {
  encodeEnvelope,
  type PeerEnvelope,
  type PeerReply,
  type Presence,
} from "./peer_envelope.ts";
import type { AcceptedLink } from "./accepted_link.ts";
import {
  type DialledPeer,
  dialPeer,
  type LinkSecurity,
  PeerPath,
} from "./peer_dialer.ts";
import { PeerLink, PING_INTERVAL_MS } from "./peer_link.ts";
import { PeerListener } from "./peer_listener.ts";

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

/** Handles a request from another instance. */
export type RequestHandler = (
  params: unknown,
  from: string,
) => unknown | Promise<unknown>;

/** Handles a tunnel that another instance has opened. */
export type TunnelListener = (tunnel: DialledPeer, from: string) => void;

/** Options of {@link PeerHub}. */
export interface PeerHubOptions {
  readonly settings: Pick<
    Settings,
    "id" | "dataCentre" | "peers" | "peerSecretFile" | "peerListen" | "tls"
  >;
  /** Finds instances that are not in the settings; by default, finds none. */
  readonly findPeer?: (id: string) => PeerSettings | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the presence that this instance sends. */
  readonly presence: () => Presence;
  /** Gets the instances that receive it; undefined for all linked ones. */
  readonly presenceRecipients: () => readonly string[] | undefined;
}

interface PendingRequest {
  /** Link that the request was sent on; the reply arrives on the same link. */
  readonly link: PeerLink | AcceptedLink;
  readonly resolve: (result: unknown) => void;
  readonly reject: (err: Error) => void;
  readonly timer: NodeJS.Timeout;
}

interface ReceivedPresence {
  readonly presence: Presence;
  readonly at: number;
}

/** Maximum time that a request waits for its link to come up. */
const LINK_WAIT_MS = 700;
/** Number of checks of the links per heartbeat. */
const CHECKS_PER_HEARTBEAT = 2;
/** Time without a heartbeat after which an instance counts as absent. */
const ABSENT_AFTER_MS = 3_500;

/**
 * Owns the links of an instance.
 *
 * An instance keeps links to the instances of its data centre and to the
 * control instances; others are dialled when a message is sent to them.
 */
export class PeerHub {
  readonly #options: PeerHubOptions;
  readonly #secret: string;
  #security: LinkSecurity | undefined;
  readonly #listener: PeerListener | undefined;
  readonly #links = new Map<string, PeerLink>();
  readonly #presences = new Map<string, ReceivedPresence>();
  readonly #pendingRequests = new Map<number, PendingRequest>();
  readonly #handlers = new Map<string, RequestHandler>();
  readonly #listeners = new Map<
    TaskChannel,
    (from: string, body: never) => void
  >();
  #onTunnel: TunnelListener = ({ socket }) => socket.terminate();
  #timer: NodeJS.Timeout | undefined;
  readonly #createdAt = Date.now();
  #nextRequest = 1;
  #checkCount = 0;

  /**
   * Reads the secret and the certificates; {@link PeerHub.start} opens the
   * links.
   * @throws if a file of the settings cannot be read.
   */
  constructor(options: PeerHubOptions) {
    this.#options = options;
    const { settings, metrics, logger } = options;
    const { peerSecretFile, peerListen, tls } = settings;
    this.#secret = peerSecretFile === undefined
      ? ""
      : readSecretOrThrow(peerSecretFile);
    this.#security = tls.peers === undefined
      ? undefined
      : readCertificatesOrThrow(tls.peers);
    if (peerListen === undefined) return;
    this.#listener = new PeerListener({
      self: settings.id,
      address: peerListen,
      secret: this.#secret,
      security: this.#security,
      isKnown: (id) => this.getPeer(id) !== undefined,
      onMessage: (accepted, envelope) =>
        this.#onMessage(
          accepted.peer,
          envelope,
          (reply) => accepted.send(reply),
        ),
      onChange: (accepted, isUp) => {
        if (isUp) this.#sendPresence(accepted.peer);
        else this.#failPending(accepted);
      },
      onTunnel: (tunnel, from) => this.#onTunnel(tunnel, from),
      onReceived: (bytes) => metrics.count("peers.receivedBytes", bytes),
      onSent: (bytes) => metrics.count("peers.sentBytes", bytes),
      onRefused: (detail) => logger.event("peerRefused", { detail }),
    });
  }

  /** Gets the settings of an instance; undefined if it is unknown. */
  getPeer(id: string): PeerSettings | undefined {
    const { settings, findPeer } = this.#options;
    return settings.peers.find((peer) => peer.id === id) ?? findPeer?.(id);
  }

  /** Gets the other instances of this data centre. */
  get localPeers(): readonly PeerSettings[] {
    const { id, dataCentre, peers } = this.#options.settings;
    return peers.filter((p) => p.id !== id && p.dataCentre === dataCentre);
  }

  /** Gets the other control instances. */
  get controlPeers(): readonly PeerSettings[] {
    const { id, peers } = this.#options.settings;
    return peers.filter((peer) => peer.id !== id && peer.control);
  }

  /** Starts listening, and dials the local and the control instances. */
  async start(): Promise<void> {
    await this.#listener?.listen();
    for (const { id } of [...this.localPeers, ...this.controlPeers]) {
      this.#getOrDial(id);
    }
    this.#timer = setInterval(() => this.#checkLinks(), PING_INTERVAL_MS);
  }

  /** Sets the listener of a channel, replacing the previous one. */
  on<C extends TaskChannel>(
    channel: C,
    listener: (from: string, body: BodyOf<C>) => void,
  ): this {
    this.#listeners.set(channel, listener as never);
    return this;
  }

  /** Sets the handler of a method. */
  handle(method: string, handler: RequestHandler): this {
    this.#handlers.set(method, handler);
    return this;
  }

  /**
   * Runs the handler of a method.
   * @throws RefusalError with verdict `notRun` if the method has no handler.
   */
  async handleRequest(
    method: string,
    params: unknown,
    from: string,
  ): Promise<unknown> {
    const handler = this.#handlers.get(method);
    if (handler === undefined) throw createUnansweredError(Verdict.NotRun);
    return await handler(params, from);
  }

  /** Sends the presence of this instance immediately. */
  announce(): this {
    this.#sendHeartbeat();
    return this;
  }

  /** Dials an instance if necessary, and keeps the link up. */
  keepLink(id: string): this {
    this.#getOrDial(id);
    return this;
  }

  /** Closes the link dialled to an instance; its pending requests fail. */
  dropLink(id: string): this {
    const link = this.#links.get(id);
    if (link === undefined) return this;
    link.stop();
    this.#links.delete(id);
    this.#failPending(link);
    return this;
  }

  /** Checks whether a link to an instance is open, dialled by either side. */
  isLinked(id: string): boolean {
    return this.#getOpenLink(id) !== undefined;
  }

  /**
   * Closes the link dialled to an instance if that instance has dialled one
   * too, and if no request is pending on it.
   */
  dropRedundantLink(id: string): this {
    const own = this.#links.get(id);
    const isRedundant = this.#listener?.getLink(id) !== undefined &&
      ![...this.#pendingRequests.values()].some(({ link }) => link === own);
    return isRedundant ? this.dropLink(id) : this;
  }

  /** Gets the instances that are present. */
  get presentIds(): readonly string[] {
    return [...this.#presences.keys()].filter((id) => this.isPresent(id));
  }

  /** Sends a message, which may be lost; returns false if it was not sent. */
  send(to: string, envelope: PeerEnvelope): boolean {
    const link = this.#getOpenLink(to) ?? this.#getOrDial(to);
    return link?.send(envelope) ?? false;
  }

  /** Sends a message, encoded once, to several instances; it may be lost. */
  sendAll(to: Iterable<string>, envelope: PeerEnvelope): void {
    let bytes: Buffer | undefined;
    const encode = () => bytes ??= encodeEnvelope(envelope);
    for (const id of to) {
      const link = this.#getOpenLink(id) ?? this.#getOrDial(id);
      link?.sendBytes(encode);
    }
  }

  /** Sets the listener of tunnels, which are closed at once without one. */
  onTunnel(listener: TunnelListener): this {
    this.#onTunnel = listener;
    return this;
  }

  /**
   * Dials an instance for a tunnel, beside its link.
   * @param onAuthenticated - Called once the tunnel is open.
   * @returns The connection; undefined if the instance is unknown.
   */
  dialTunnel(
    id: string,
    onAuthenticated: () => void,
  ): DialledPeer | undefined {
    const peer = this.getPeer(id);
    if (peer === undefined) return undefined;
    return dialPeer({
      self: this.#options.settings.id,
      peer,
      secret: this.#secret,
      security: () => this.#security,
      path: PeerPath.Tunnel,
      onAuthenticated,
    });
  }

  /**
   * Sends a request to another instance and waits for its reply.
   * @throws RefusalError from the other instance, or, if the link is down or no
   *     reply arrives in time, with the verdict whether it may have run.
   */
  async request(
    to: string,
    method: string,
    options: { params: unknown; timeoutMs: number },
  ): Promise<unknown> {
    const linkMs = Math.min(LINK_WAIT_MS, options.timeoutMs);
    const isUp = this.isLinked(to) ||
      await this.#getOrDial(to)?.waitUntilUp(linkMs);
    if (isUp !== true) throw createUnansweredError(Verdict.NotRun);
    return await this.#sendRequest(to, method, options);
  }

  #sendRequest(
    to: string,
    method: string,
    options: { params: unknown; timeoutMs: number },
  ): Promise<unknown> {
    const id = this.#nextRequest;
    this.#nextRequest += 1;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#pendingRequests.delete(id);
        reject(createUnansweredError(Verdict.MayHaveRun));
      }, options.timeoutMs);
      const { params } = options;
      const body = { id, method, params };
      const link = this.#getOpenLink(to);
      if (link?.send({ channel: "request", body }) !== true) {
        clearTimeout(timer);
        reject(createUnansweredError(Verdict.NotRun));
        return;
      }
      this.#pendingRequests.set(id, { link, resolve, reject, timer });
    });
  }

  /** Checks whether a heartbeat has arrived within {@link ABSENT_AFTER_MS}. */
  isPresent(id: string): boolean {
    const received = this.#presences.get(id);
    return received !== undefined && Date.now() - received.at < ABSENT_AFTER_MS;
  }

  /**
   * Gets the time since the last heartbeat of an instance in milliseconds, or
   * since this hub was created if there was none.
   */
  absentMs(id: string): number {
    return Date.now() - (this.#presences.get(id)?.at ?? this.#createdAt);
  }

  /** Gets the last presence of an instance; undefined if it is absent. */
  getPresence(id: string): Presence | undefined {
    return this.isPresent(id) ? this.#presences.get(id)?.presence : undefined;
  }

  /** Replaces the certificates for new connections. */
  setSecurity(security: LinkSecurity): this {
    this.#security = security;
    this.#listener?.setSecureContext(security);
    return this;
  }

  /** Closes all links and stops listening. */
  stop(): void {
    clearInterval(this.#timer);
    for (const link of this.#links.values()) link.stop();
    this.#listener?.stop();
  }

  #getOrDial(id: string): PeerLink | undefined {
    const link = this.#links.get(id);
    if (link !== undefined) return link;
    const peer = this.getPeer(id);
    if (peer === undefined || id === this.#options.settings.id) {
      return undefined;
    }
    const { metrics, logger } = this.#options;
    const dialled = new PeerLink({
      self: this.#options.settings.id,
      peer,
      secret: this.#secret,
      security: () => this.#security,
      onChange: (isUp) => {
        logger.event(isUp ? "peerUp" : "peerDown", { peer: id });
        if (isUp) this.#sendPresence(id);
        else this.#failPending(dialled);
      },
      onSent: (bytes) => metrics.count("peers.sentBytes", bytes),
      onReceived: (bytes) => metrics.count("peers.receivedBytes", bytes),
      onMessage: (envelope) =>
        this.#onMessage(id, envelope, (reply) => dialled.send(reply)),
    });
    this.#links.set(id, dialled);
    return dialled;
  }

  /** Gets an open link to an instance, whichever side dialled it. */
  #getOpenLink(id: string): PeerLink | AcceptedLink | undefined {
    const own = this.#links.get(id);
    return own?.isUp === true ? own : this.#listener?.getLink(id);
  }

  /** Fails the requests of a closed link; a reply never uses another link. */
  #failPending(link: PeerLink | AcceptedLink): void {
    for (const [id, request] of this.#pendingRequests) {
      if (request.link !== link) continue;
      this.#pendingRequests.delete(id);
      clearTimeout(request.timer);
      request.reject(createUnansweredError(Verdict.MayHaveRun));
    }
  }

  /** Checks all links with one timer, because each timer wakes the process. */
  #checkLinks(): void {
    for (const link of this.#links.values()) link.check();
    this.#checkCount += 1;
    if (this.#checkCount % CHECKS_PER_HEARTBEAT === 0) this.#sendHeartbeat();
  }

  #sendHeartbeat(): void {
    const recipients = this.#options.presenceRecipients() ?? this.#linkedIds;
    const body = this.#options.presence();
    const linked = [...recipients].filter((id) => this.isLinked(id));
    this.sendAll(linked, { channel: "presence", body });
  }

  #sendPresence(to: string): void {
    const body = this.#options.presence();
    this.#getOpenLink(to)?.send({ channel: "presence", body });
  }

  get #linkedIds(): ReadonlySet<string> {
    return new Set([...this.#links.keys(), ...this.#listener?.linkedIds ?? []]);
  }

  #onMessage(
    from: string,
    envelope: PeerEnvelope,
    respond: (reply: PeerEnvelope) => void,
  ): void {
    const { logger } = this.#options;
    try {
      if (envelope.channel === "presence") {
        this.#presences.set(from, { presence: envelope.body, at: Date.now() });
      } else if (envelope.channel === "request") {
        this.#onRequest(from, envelope, respond)
          .catch((err) => logger.error(err));
      } else if (envelope.channel === "reply") {
        this.#onReply(envelope.body);
      } else {
        this.#listeners.get(envelope.channel)?.(from, envelope.body as never);
      }
    } catch (err) {
      logger.error(err, { peer: from, channel: envelope.channel });
    }
  }

  async #onRequest(
    from: string,
    envelope: Extract<PeerEnvelope, { channel: "request" }>,
    respond: (reply: PeerEnvelope) => void,
  ): Promise<void> {
    const { id, method, params } = envelope.body;
    try {
      const result = await this.handleRequest(method, params, from);
      respond({ channel: "reply", body: { id, result } });
    } catch (err) {
      const refusal = toRefusal(err);
      respond({ channel: "reply", body: { id, refusal } });
    }
  }

  #onReply(reply: PeerReply): void {
    const request = this.#pendingRequests.get(reply.id);
    if (request === undefined) return;
    this.#pendingRequests.delete(reply.id);
    clearTimeout(request.timer);
    if (reply.refusal === undefined) {
      request.resolve(reply.result);
      return;
    }
    const { reason, verdict, message, retryAfterMs } = reply.refusal;
    request.reject(
      new RefusalError(reason as RefusalReason, verdict as Verdict, {
        message,
        retryAfterMs,
      }),
    );
  }
}

function createUnansweredError(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, verdict, {
    message: "Another instance did not answer",
    retryAfterMs: 1_000,
  });
}

function toRefusal(err: unknown): PeerReply["refusal"] {
  if (!(err instanceof RefusalError)) {
    return {
      reason: RefusalReason.Internal,
      verdict: Verdict.MayHaveRun,
      message: (err as Error).message,
    };
  }
  const { reason, verdict, message, retryAfterMs } = err;
  return { reason, verdict, message, retryAfterMs };
}
