/** All links of an instance: messages, requests and signs of life. */
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
import { type LinkSecurity, PeerLink, PING_INTERVAL_MS } from "./peer_link.ts";
import { PeerListener } from "./peer_listener.ts";

/** Channels that tasks listen to. */
export type TaskChannel =
  | "consensus"
  | "ledger"
  | "feed"
  | "home"
  | "log"
  | "notice";

/** Body of a channel's message. */
export type BodyOf<C extends PeerEnvelope["channel"]> = Extract<
  PeerEnvelope,
  { channel: C }
>["body"];

/** Answers a request of another instance. */
export type RequestHandler = (
  params: unknown,
  from: string,
) => unknown | Promise<unknown>;

/** Options of {@link PeerHub}. */
export interface PeerHubOptions {
  /** Settings of this instance. */
  readonly settings: Pick<
    Settings,
    "id" | "dataCentre" | "peers" | "peerSecretFile" | "peerListen" | "tls"
  >;
  /** Finds instances that the settings do not name; none where absent. */
  readonly directory?: (id: string) => PeerSettings | undefined;
  /** Logs. */
  readonly logger: Logger;
  /** Metrics. */
  readonly metrics: Metrics;
  /** Gets what this instance tells of itself. */
  readonly presence: () => Presence;
  /** Gets the instances to tell it; all linked ones where undefined. */
  readonly audience: () => readonly string[] | undefined;
}

interface Waiting {
  /** Link on which the question went, and on which the answer comes. */
  readonly link: PeerLink | AcceptedLink;
  readonly resolve: (result: unknown) => void;
  readonly reject: (err: Error) => void;
  readonly timer: NodeJS.Timeout;
}

interface Seen {
  readonly presence: Presence;
  readonly at: number;
}

/** Time for which a request waits for the link to come up. */
const LINK_WAIT_MS = 700;
/** Checks of the links between two tellings of the presence. */
const CHECKS_PER_PRESENCE = 2;
/** Time without a sign of life after which an instance counts as away. */
const AWAY_AFTER_MS = 3_500;

/**
 * Owns the links of an instance.
 *
 * An instance keeps links to those of its own data centre and to the control
 * instances; others are dialled when a message is to be sent to them.
 */
export class PeerHub {
  readonly #options: PeerHubOptions;
  readonly #secret: string;
  #security: LinkSecurity | undefined;
  readonly #listener: PeerListener | undefined;
  readonly #links = new Map<string, PeerLink>();
  readonly #seen = new Map<string, Seen>();
  readonly #waiting = new Map<number, Waiting>();
  readonly #methods = new Map<string, RequestHandler>();
  readonly #listeners = new Map<
    TaskChannel,
    (from: string, body: never) => void
  >();
  #timer: NodeJS.Timeout | undefined;
  readonly #createdAt = Date.now();
  #nextRequest = 1;
  #checks = 0;

  /** Creates the hub; it does not listen or dial yet. */
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
          (answer) => accepted.send(answer),
        ),
      onChange: (accepted, isUp) => {
        if (isUp) this.#sendPresence(accepted.peer);
        else this.#failWaiting(accepted);
      },
      onReceived: (bytes) => metrics.count("peers.receivedBytes", bytes),
      onSent: (bytes) => metrics.count("peers.sentBytes", bytes),
      onRefused: (detail) => logger.event("peerRefused", { detail }),
    });
  }

  /** Gets the settings of another instance. */
  getPeer(id: string): PeerSettings | undefined {
    const { settings, directory } = this.#options;
    return settings.peers.find((peer) => peer.id === id) ?? directory?.(id);
  }

  /** Gets the other instances of this data centre. */
  get neighbours(): readonly PeerSettings[] {
    const { id, dataCentre, peers } = this.#options.settings;
    return peers.filter((p) => p.id !== id && p.dataCentre === dataCentre);
  }

  /** Gets the other instances of the control log. */
  get controls(): readonly PeerSettings[] {
    const { id, peers } = this.#options.settings;
    return peers.filter((peer) => peer.id !== id && peer.control);
  }

  /** Listens, and dials neighbours and control instances. */
  async start(): Promise<void> {
    await this.#listener?.listen();
    for (const { id } of [...this.neighbours, ...this.controls]) {
      this.#linkTo(id);
    }
    this.#timer = setInterval(() => this.#check(), PING_INTERVAL_MS);
  }

  /** Takes the messages of a channel. */
  on<C extends TaskChannel>(
    channel: C,
    listener: (from: string, body: BodyOf<C>) => void,
  ): this {
    this.#listeners.set(channel, listener as never);
    return this;
  }

  /** Answers the requests of a method. */
  handle(method: string, handler: RequestHandler): this {
    this.#methods.set(method, handler);
    return this;
  }

  /**
   * Answers a question of an instance.
   * @throws RefusalError with verdict `notRun` where nothing takes it.
   */
  async answer(
    method: string,
    params: unknown,
    from: string,
  ): Promise<unknown> {
    const handler = this.#methods.get(method);
    if (handler === undefined) throw unanswered(Verdict.NotRun);
    return await handler(params, from);
  }

  /** Tells what this instance is to all that hear of it, now. */
  announce(): this {
    this.#beat();
    return this;
  }

  /** Keeps a link to an instance from now on. */
  keepLink(id: string): this {
    this.#linkTo(id);
    return this;
  }

  /** Ends the link to an instance. */
  dropLink(id: string): this {
    const link = this.#links.get(id);
    if (link === undefined) return this;
    link.stop();
    this.#links.delete(id);
    this.#failWaiting(link);
    return this;
  }

  /** Gets whether messages to an instance can be sent now. */
  isLinked(id: string): boolean {
    return this.#openLinkTo(id) !== undefined;
  }

  /** Ends the own link to an instance that keeps one to this one too. */
  dropSpareLink(id: string): this {
    const own = this.#links.get(id);
    const isSpare = this.#listener?.getLink(id) !== undefined &&
      ![...this.#waiting.values()].some(({ link }) => link === own);
    return isSpare ? this.dropLink(id) : this;
  }

  /** Gets the instances that gave a sign of life lately. */
  get presentIds(): readonly string[] {
    return [...this.#seen.keys()].filter((id) => this.isPresent(id));
  }

  /** Sends a message; it may be lost. */
  send(to: string, envelope: PeerEnvelope): boolean {
    const link = this.#openLinkTo(to) ?? this.#linkTo(to);
    return link?.send(envelope) ?? false;
  }

  /** Sends the same message to several instances; it may be lost. */
  sendAll(to: Iterable<string>, envelope: PeerEnvelope): void {
    let bytes: Buffer | undefined;
    const encode = () => bytes ??= encodeEnvelope(envelope);
    for (const id of to) {
      const link = this.#openLinkTo(id) ?? this.#linkTo(id);
      link?.sendBytes(encode);
    }
  }

  /**
   * Asks another instance and waits for its answer.
   * @throws RefusalError of the other side, or of a lost link.
   */
  async request(
    to: string,
    method: string,
    options: { params: unknown; timeoutMs: number },
  ): Promise<unknown> {
    const linkMs = Math.min(LINK_WAIT_MS, options.timeoutMs);
    const isUp = this.isLinked(to) || await this.#linkTo(to)?.whenUp(linkMs);
    if (isUp !== true) throw unanswered(Verdict.NotRun);
    return await this.#ask(to, method, options);
  }

  #ask(
    to: string,
    method: string,
    options: { params: unknown; timeoutMs: number },
  ): Promise<unknown> {
    const id = this.#nextRequest;
    this.#nextRequest += 1;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#waiting.delete(id);
        reject(unanswered(Verdict.MayHaveRun));
      }, options.timeoutMs);
      const { params } = options;
      const body = { id, method, params };
      const link = this.#openLinkTo(to);
      if (link?.send({ channel: "request", body }) !== true) {
        clearTimeout(timer);
        reject(unanswered(Verdict.NotRun));
        return;
      }
      this.#waiting.set(id, { link, resolve, reject, timer });
    });
  }

  /** Gets whether an instance gave a sign of life lately. */
  isPresent(id: string): boolean {
    const seen = this.#seen.get(id);
    return seen !== undefined && Date.now() - seen.at < AWAY_AFTER_MS;
  }

  /** Gets the time since the last sign of life of an instance. */
  absentMs(id: string): number {
    return Date.now() - (this.#seen.get(id)?.at ?? this.#createdAt);
  }

  /** Gets what an instance told of itself, where it is present. */
  getPresence(id: string): Presence | undefined {
    return this.isPresent(id) ? this.#seen.get(id)?.presence : undefined;
  }

  /** Uses other certificates for new connections. */
  setSecurity(security: LinkSecurity): this {
    this.#security = security;
    this.#listener?.setSecureContext(security);
    return this;
  }

  /** Ends all links. */
  stop(): void {
    clearInterval(this.#timer);
    for (const link of this.#links.values()) link.stop();
    this.#listener?.stop();
  }

  #linkTo(id: string): PeerLink | undefined {
    const link = this.#links.get(id);
    if (link !== undefined) return link;
    const peer = this.getPeer(id);
    if (peer === undefined || id === this.#options.settings.id) {
      return undefined;
    }
    const { metrics, logger } = this.#options;
    const own = new PeerLink({
      self: this.#options.settings.id,
      peer,
      secret: this.#secret,
      security: () => this.#security,
      onChange: (isUp) => {
        logger.event(isUp ? "peerUp" : "peerDown", { peer: id });
        if (isUp) this.#sendPresence(id);
        else this.#failWaiting(own);
      },
      onSent: (bytes) => metrics.count("peers.sentBytes", bytes),
      onReceived: (bytes) => metrics.count("peers.receivedBytes", bytes),
      onMessage: (envelope) =>
        this.#onMessage(id, envelope, (answer) => own.send(answer)),
    });
    this.#links.set(id, own);
    return own;
  }

  /** Gets a link to an instance that is up, whoever has dialled it. */
  #openLinkTo(id: string): PeerLink | AcceptedLink | undefined {
    const own = this.#links.get(id);
    return own?.isUp === true ? own : this.#listener?.getLink(id);
  }

  /** Answers on a link are lost with it, even where there is another. */
  #failWaiting(link: PeerLink | AcceptedLink): void {
    for (const [id, waiting] of this.#waiting) {
      if (waiting.link !== link) continue;
      this.#waiting.delete(id);
      clearTimeout(waiting.timer);
      waiting.reject(unanswered(Verdict.MayHaveRun));
    }
  }

  /** One timer serves all links, for each wakes the process. */
  #check(): void {
    for (const link of this.#links.values()) link.check();
    this.#checks += 1;
    if (this.#checks % CHECKS_PER_PRESENCE === 0) this.#beat();
  }

  #beat(): void {
    const audience = this.#options.audience() ?? this.#linkedIds;
    const body = this.#options.presence();
    const linked = [...audience].filter((id) => this.isLinked(id));
    this.sendAll(linked, { channel: "presence", body });
  }

  #sendPresence(to: string): void {
    const body = this.#options.presence();
    this.#openLinkTo(to)?.send({ channel: "presence", body });
  }

  get #linkedIds(): ReadonlySet<string> {
    return new Set([...this.#links.keys(), ...this.#listener?.linkedIds ?? []]);
  }

  #onMessage(
    from: string,
    envelope: PeerEnvelope,
    respond: (answer: PeerEnvelope) => void,
  ): void {
    const { logger } = this.#options;
    try {
      if (envelope.channel === "presence") {
        this.#seen.set(from, { presence: envelope.body, at: Date.now() });
      } else if (envelope.channel === "request") {
        this.#answer(from, envelope, respond)
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

  async #answer(
    from: string,
    envelope: Extract<PeerEnvelope, { channel: "request" }>,
    respond: (answer: PeerEnvelope) => void,
  ): Promise<void> {
    const { id, method, params } = envelope.body;
    try {
      const result = await this.answer(method, params, from);
      respond({ channel: "reply", body: { id, result } });
    } catch (err) {
      const refusal = refusalOf(err);
      respond({ channel: "reply", body: { id, refusal } });
    }
  }

  #onReply(reply: PeerReply): void {
    const waiting = this.#waiting.get(reply.id);
    if (waiting === undefined) return;
    this.#waiting.delete(reply.id);
    clearTimeout(waiting.timer);
    if (reply.refusal === undefined) {
      waiting.resolve(reply.result);
      return;
    }
    const { reason, verdict, message, retryAfterMs } = reply.refusal;
    waiting.reject(
      new RefusalError(reason as RefusalReason, verdict as Verdict, {
        message,
        retryAfterMs,
      }),
    );
  }
}

function unanswered(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, verdict, {
    message: "Another instance did not answer",
    retryAfterMs: 1_000,
  });
}

function refusalOf(err: unknown): PeerReply["refusal"] {
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
