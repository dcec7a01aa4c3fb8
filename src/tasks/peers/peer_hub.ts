/** All links of an instance: messages, requests and heartbeats. */
import type { FleetNotice } from "../../core/fleet/mod.ts";
import { Verdict } from "../../core/verdict/mod.ts";
import type { MemoryPlan } from "../../core/memory/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import {
  isNestedDeeper,
  MAX_MESSAGE_DEPTH,
  presenceSchema,
  refusalTextOf,
} from "../../schemas/mod.ts";
import type { PeerSettings, Settings } from "../../settings/mod.ts";
import { RefusedInputs } from "../refused_inputs.ts";
import type { DialledPeer, LinkSecurity } from "./peer_dialer.ts";
import type {
  BodyOf,
  PeerEnvelope,
  Presence,
  TaskChannel,
} from "./peer_envelope.ts";
import { PING_INTERVAL_MS } from "./peer_link.ts";
import { type AnyLink, PeerLinks, type TunnelListener } from "./peer_links.ts";
import { createUnansweredError } from "./peer_refusal.ts";
import { PendingRequests } from "./pending_requests.ts";
import { PresenceTable } from "./presence_table.ts";
import { type RequestHandler, RequestHandlers } from "./request_handlers.ts";

/** Options of {@link PeerHub}. */
export interface PeerHubOptions {
  readonly settings: Pick<
    Settings,
    "id" | "dataCentre" | "peers" | "peerSecretFile" | "peerListen" | "tls"
  >;
  /** Finds instances that are not in the settings; by default, finds none. */
  readonly findPeer?: (id: string) => PeerSettings | undefined;
  /** What the process may hold; by default, what a large machine bears. */
  readonly memory?: MemoryPlan;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the presence that this instance sends. */
  readonly presence: () => Presence;
  /** Gets the instances that receive it; undefined for all linked ones. */
  readonly presenceRecipients: () => readonly string[] | undefined;
}

/** Maximum time that a request waits for its link to come up. */
const LINK_WAIT_MS = 700;
/** Channels and types of notices that are counted by themselves. */
const COUNTED_KINDS: ReadonlySet<unknown> = new Set<
  PeerEnvelope["channel"] | FleetNotice["type"]
>([
  "evacuations",
  "loaded",
  "loading",
  "log",
  "policy",
  "presence",
  "reply",
  "request",
  "roster",
  "targets",
]);
const OTHER_KIND = "other";
/** Number of checks of the links per heartbeat. */
const CHECKS_PER_HEARTBEAT = 2;

/**
 * Owns the links of an instance.
 *
 * An instance keeps links to the instances of its data centre and to the
 * control instances; others are dialled when a message is sent to them.
 */
export class PeerHub {
  readonly #options: PeerHubOptions;
  readonly #links: PeerLinks;
  readonly #presences = new PresenceTable(() => Date.now());
  readonly #pending = new PendingRequests();
  readonly #handlers = new RequestHandlers((from, reason) =>
    this.refuse(from, reason)
  );
  readonly #refused: RefusedInputs;
  readonly #listeners = new Map<
    TaskChannel,
    (from: string, body: never) => void
  >();
  #timer: NodeJS.Timeout | undefined;
  #checkCount = 0;
  #onReplicaPresent: () => void = () => {};

  /**
   * Reads the secret and the certificates; {@link PeerHub.start} opens the
   * links.
   * @throws if a file of the settings cannot be read.
   */
  constructor(options: PeerHubOptions) {
    this.#options = options;
    const { settings, metrics, logger, memory } = options;
    this.#refused = new RefusedInputs({
      logger,
      metrics,
      event: "peerInputRefused",
      metric: "peers.refusedInputs",
    });
    this.#links = new PeerLinks({
      settings,
      logger,
      metrics,
      memory,
      getPeer: (id) => this.getPeer(id),
      onChange: (id, link, isUp) => this.#onLinkChange(id, link, isUp),
      onMessage: (id, link, envelope) => this.#onMessage(id, link, envelope),
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
    await this.listen();
    this.connect();
  }

  /**
   * Starts listening; resolves once the address is free.
   * @throws ListenError if the address cannot be used.
   */
  async listen(): Promise<void> {
    await this.#links.listen();
  }

  /** Dials the local and the control instances, and keeps the links up. */
  connect(): void {
    for (const { id } of [...this.localPeers, ...this.controlPeers]) {
      this.#links.getOrDial(id);
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
    return await this.#handlers.run(method, params, from);
  }

  /** Records that input of another instance was left out. */
  refuse(from: string, reason: string): this {
    this.#refused.record(from, reason);
    return this;
  }

  /** Sends the presence of this instance immediately. */
  announce(): this {
    this.#sendHeartbeat();
    return this;
  }

  /** Dials an instance if necessary, and keeps the link up. */
  keepLink(id: string): this {
    this.#links.getOrDial(id);
    return this;
  }

  /** Closes the link dialled to an instance; its pending requests fail. */
  dropLink(id: string): this {
    const link = this.#links.drop(id);
    if (link !== undefined) this.#pending.failOn(link);
    return this;
  }

  /** Checks whether a link to an instance is open, dialled by either side. */
  isLinked(id: string): boolean {
    return this.#links.getOpen(id) !== undefined;
  }

  /**
   * Closes the link dialled to an instance if that instance has dialled one
   * too, and if no request of either side is pending on it. What was sent on it
   * arrives before.
   */
  dropRedundantLink(id: string): this {
    const dialled = this.#links.getDialled(id);
    if (dialled === undefined || this.#links.getAccepted(id) === undefined) {
      return this;
    }
    const isInUse = this.#pending.isPendingOn(dialled) ||
      this.#handlers.isAnsweringOn(dialled);
    if (!isInUse) this.#links.replace(id);
    return this;
  }

  /** Gets the instances that are present. */
  get presentIds(): readonly string[] {
    return this.#presences.presentIds;
  }

  /** Sends a message, which may be lost; returns false if it was not sent. */
  send(to: string, envelope: PeerEnvelope): boolean {
    return this.#links.send(to, envelope);
  }

  /**
   * Sends a large message beside the link, if the other instance takes it so. It
   * may be lost, and may overtake others.
   */
  sendBulk(to: string, envelope: PeerEnvelope): boolean {
    return this.getPresence(to)?.takesBulk === true
      ? this.#links.sendBulk(to, envelope)
      : this.send(to, envelope);
  }

  /** Sends a message, encoded once, to several instances; it may be lost. */
  sendAll(to: Iterable<string>, envelope: PeerEnvelope): void {
    this.#links.sendAll(to, envelope);
  }

  /** Sets the listener of replicas that have just become present. */
  onReplicaPresent(listener: () => void): this {
    this.#onReplicaPresent = listener;
    return this;
  }

  /** Sets the listener of tunnels, which are closed at once without one. */
  onTunnel(listener: TunnelListener): this {
    this.#links.onTunnel(listener);
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
    return this.#links.dialTunnel(id, onAuthenticated);
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
      await this.#links.getOrDial(to)?.waitUntilUp(linkMs);
    if (isUp !== true) throw createUnansweredError(Verdict.NotRun);
    const link = this.#links.getOpen(to);
    return await this.#pending.send(link, { method, ...options });
  }

  /** Checks whether heartbeats of an instance arrive. */
  isPresent(id: string): boolean {
    return this.#presences.isPresent(id);
  }

  /**
   * Gets the time since the last heartbeat of an instance in milliseconds, or
   * since this hub was created if there was none.
   */
  absentMs(id: string): number {
    return this.#presences.absentMs(id);
  }

  /** Gets the last presence of an instance; undefined if it is absent. */
  getPresence(id: string): Presence | undefined {
    return this.#presences.get(id);
  }

  /** Replaces the certificates for new connections. */
  setSecurity(security: LinkSecurity): this {
    this.#links.setSecurity(security);
    return this;
  }

  /** Closes all links and stops listening. */
  stop(): void {
    clearInterval(this.#timer);
    this.#links.stop();
  }

  #onLinkChange(
    id: string,
    link: AnyLink,
    isUp: boolean,
  ): void {
    if (isUp) this.#sendPresence(id);
    else this.#pending.failOn(link);
  }

  /** Checks all links with one timer, because each timer wakes the process. */
  #checkLinks(): void {
    this.#links.check();
    this.#checkCount += 1;
    if (this.#checkCount % CHECKS_PER_HEARTBEAT === 0) this.#sendHeartbeat();
  }

  #sendHeartbeat(): void {
    const recipients = this.#options.presenceRecipients() ?? this.#links.ids;
    const body = this.#options.presence();
    const linked = [...recipients].filter((id) => this.isLinked(id));
    this.sendAll(linked, { channel: "presence", body });
  }

  #sendPresence(to: string): void {
    const body = this.#options.presence();
    this.#links.getOpen(to)?.send({ channel: "presence", body });
  }

  #onMessage(
    from: string,
    link: AnyLink,
    envelope: PeerEnvelope,
  ): void {
    const { logger, metrics } = this.#options;
    metrics.count(`peers.received.${kindOf(envelope)}`);
    try {
      if (envelope.channel === "presence") {
        this.#recordPresence(from, envelope.body);
      } else if (isTooDeep(envelope)) {
        this.refuse(
          from,
          `${envelope.channel}: nested over ${MAX_MESSAGE_DEPTH}`,
        );
      } else if (envelope.channel === "request") {
        this.#handlers.answer(envelope.body, from, link)
          .catch((err) => logger.error(err));
      } else if (envelope.channel === "reply") {
        this.#pending.onReply(envelope.body);
      } else {
        this.#listeners.get(envelope.channel)?.(from, envelope.body as never);
      }
    } catch (err) {
      logger.error(err, { peer: from, channel: envelope.channel });
    }
  }

  #recordPresence(from: string, body: unknown): void {
    const { success, data, error } = presenceSchema.safeParse(body);
    if (!success) {
      this.refuse(from, `presence: ${refusalTextOf(error)}`);
      return;
    }
    const isNewReplica = this.#presences.record(from, data);
    if (isNewReplica) this.#onReplicaPresent();
  }
}

/** Gets what a message holds, by a few names, whatever its sender writes. */
function kindOf({ channel, body }: PeerEnvelope): string {
  if (channel !== "notice") {
    return COUNTED_KINDS.has(channel) ? channel : OTHER_KIND;
  }
  const { type, isWhole } = (body ?? {}) as {
    readonly type?: unknown;
    readonly isWhole?: unknown;
  };
  if (type === "targets" && isWhole === true) return "allTargets";
  return COUNTED_KINDS.has(type) ? type as string : OTHER_KIND;
}

/** Notices are lists, of which the receiver leaves out single entries. */
function isTooDeep(envelope: PeerEnvelope): boolean {
  return envelope.channel !== "notice" && isNestedDeeper(envelope.body);
}
