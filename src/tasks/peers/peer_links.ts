/** The connections of an instance, dialled by it or by others. */
import type { Logger } from "../../logging/mod.ts";
import type { MemoryPlan } from "../../core/memory/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import {
  type PeerSettings,
  readSecretOrThrow,
  type Settings,
} from "../../settings/mod.ts";
import { readCertificatesOrThrow } from "../certificates.ts";
import type { AcceptedLink } from "./accepted_link.ts";
import { BulkLinks } from "./bulk_links.ts";
import {
  type DialledPeer,
  dialPeer,
  type LinkSecurity,
  PeerPath,
} from "./peer_dialer.ts";
import { encodeEnvelope, type PeerEnvelope } from "./peer_envelope.ts";
import { LinkMemory } from "./link_memory.ts";
import { PeerLink } from "./peer_link.ts";
import { PeerListener } from "./peer_listener.ts";

/** Handles a tunnel that another instance has opened. */
export type TunnelListener = (tunnel: DialledPeer, from: string) => void;

/** A link, dialled by either side. */
export type AnyLink = PeerLink | AcceptedLink;

/** Options of {@link PeerLinks}. */
export interface PeerLinksOptions {
  readonly settings: Pick<
    Settings,
    "id" | "peerSecretFile" | "peerListen" | "tls"
  >;
  readonly logger: Logger;
  /** What the process may hold; by default, what a large machine bears. */
  readonly memory?: MemoryPlan | undefined;
  readonly metrics: Metrics;
  /** Finds the settings of an instance; undefined if it is unknown. */
  readonly getPeer: (id: string) => PeerSettings | undefined;
  /** Called when a link comes up or goes down. */
  readonly onChange: (id: string, link: AnyLink, isUp: boolean) => void;
  /** Called with each message received. */
  readonly onMessage: (
    id: string,
    link: AnyLink,
    envelope: PeerEnvelope,
  ) => void;
}

/** Dials each instance at most once, and accepts connections of others. */
export class PeerLinks {
  readonly #options: PeerLinksOptions;
  readonly #secret: string;
  readonly #memory: LinkMemory;
  #security: LinkSecurity | undefined;
  readonly #listener: PeerListener | undefined;
  readonly #dialled = new Map<string, PeerLink>();
  /** Dialled links that the other instance still reads. */
  readonly #replaced = new Set<PeerLink>();
  readonly #bulk: BulkLinks;
  #onTunnel: TunnelListener = ({ socket }) => socket.terminate();

  /**
   * Reads the secret and the certificates; no link is opened yet.
   * @throws if a file of the settings cannot be read.
   */
  constructor(options: PeerLinksOptions) {
    this.#options = options;
    const { metrics, logger } = options;
    this.#memory = new LinkMemory({
      metrics,
      maxReceivedBytes: options.memory?.messageBytes,
      maxUnsentBytes: options.memory?.unsentBytes,
      onOverrun: (detail) => logger.event("peerRefused", { detail }),
    });
    const { peerSecretFile, tls } = options.settings;
    this.#secret = peerSecretFile === undefined
      ? ""
      : readSecretOrThrow(peerSecretFile);
    this.#security = tls.peers === undefined
      ? undefined
      : readCertificatesOrThrow(tls.peers);
    this.#listener = this.#createListener();
    this.#bulk = new BulkLinks({
      dial: (id) => this.#dial(id, { path: PeerPath.Bulk, onChange: () => {} }),
      now: () => performance.now(),
    });
  }

  /** Starts listening once the address is free, if there is one. */
  async listen(): Promise<void> {
    await this.#listener?.listen();
  }

  /** Gets the instances with a link, whether a dialled one is up or not. */
  get ids(): ReadonlySet<string> {
    return new Set([
      ...this.#dialled.keys(),
      ...this.#listener?.linkedIds ?? [],
    ]);
  }

  /** Gets the link dialled to an instance; undefined if there is none. */
  getDialled(id: string): PeerLink | undefined {
    return this.#dialled.get(id);
  }

  /** Gets the open link that an instance has dialled; undefined without one. */
  getAccepted(id: string): AcceptedLink | undefined {
    return this.#listener?.getLink(id);
  }

  /** Gets an open link to an instance, whichever side dialled it. */
  getOpen(id: string): AnyLink | undefined {
    const own = this.#dialled.get(id);
    return own?.isUp === true ? own : this.getAccepted(id);
  }

  /**
   * Gets the link to an instance, dialled now if there is none.
   * @returns The link; undefined for an unknown instance and for this one.
   */
  getOrDial(id: string): PeerLink | undefined {
    const link = this.#dialled.get(id);
    if (link !== undefined) return link;
    const { logger, onChange } = this.#options;
    const dialled = this.#dial(id, {
      path: PeerPath.Link,
      onChange: (changed, isUp) => {
        logger.event(isUp ? "peerUp" : "peerDown", { peer: id });
        if (!isUp) this.#replaced.delete(changed);
        onChange(id, changed, isUp);
      },
    });
    if (dialled !== undefined) this.#dialled.set(id, dialled);
    return dialled;
  }

  /** Dials an instance; undefined for an unknown one and for this one. */
  #dial(
    id: string,
    options: {
      readonly path: PeerPath;
      readonly onChange: (link: PeerLink, isUp: boolean) => void;
    },
  ): PeerLink | undefined {
    const { settings, getPeer, onMessage } = this.#options;
    const peer = getPeer(id);
    if (peer === undefined || id === settings.id) return undefined;
    const dialled: PeerLink = new PeerLink({
      ...this.#traffic,
      self: settings.id,
      peer,
      secret: this.#secret,
      security: () => this.#security,
      path: options.path,
      onChange: (isUp) => options.onChange(dialled, isUp),
      onMessage: (envelope) => onMessage(id, dialled, envelope),
    });
    return dialled;
  }

  /** Closes the link dialled to an instance, and gets it. */
  drop(id: string): PeerLink | undefined {
    const link = this.#dialled.get(id);
    if (link === undefined) return undefined;
    link.stop();
    this.#dialled.delete(id);
    this.#bulk.close(id);
    return link;
  }

  /**
   * Replaces the link dialled to an instance by the one that the instance has
   * dialled. No message that was given to it is lost.
   */
  replace(id: string): void {
    const link = this.#dialled.get(id);
    if (link === undefined) return;
    this.#dialled.delete(id);
    if (link.isUp) this.#replaced.add(link);
    link.closeWhenRead();
  }

  /** Sends a message, which may be lost; returns false if it was not sent. */
  send(to: string, envelope: PeerEnvelope): boolean {
    const link = this.getOpen(to) ?? this.getOrDial(to);
    return link?.send(envelope) ?? false;
  }

  /**
   * Sends a large message beside the link, or on it while no other connection is
   * open. It may be lost, and may overtake others.
   */
  sendBulk(to: string, envelope: PeerEnvelope): boolean {
    return this.#bulk.send(to, envelope) || this.send(to, envelope);
  }

  /** Sends a message, encoded once, to several instances; it may be lost. */
  sendAll(to: Iterable<string>, envelope: PeerEnvelope): void {
    let bytes: Buffer | undefined;
    const encode = () => bytes ??= encodeEnvelope(envelope);
    for (const id of to) {
      const link = this.getOpen(id) ?? this.getOrDial(id);
      link?.sendBytes(encode);
    }
  }

  /** Sets the listener of tunnels, which are closed at once without one. */
  onTunnel(listener: TunnelListener): void {
    this.#onTunnel = listener;
  }

  /**
   * Dials an instance for a tunnel, beside its link.
   * @returns The connection; undefined if the instance is unknown.
   */
  dialTunnel(
    id: string,
    onAuthenticated: () => void,
  ): DialledPeer | undefined {
    const { settings, getPeer } = this.#options;
    const peer = getPeer(id);
    if (peer === undefined) return undefined;
    return dialPeer({
      self: settings.id,
      peer,
      secret: this.#secret,
      security: () => this.#security,
      path: PeerPath.Tunnel,
      memory: this.#memory,
      onAuthenticated,
    });
  }

  /** Replaces the certificates for new connections. */
  setSecurity(security: LinkSecurity): void {
    this.#security = security;
    this.#listener?.setSecureContext(security);
  }

  /** Checks whether each dialled link is alive. */
  check(): void {
    for (const link of this.#dialled.values()) link.check();
    this.#bulk.check();
    this.#memory.record();
  }

  /** Closes all links and stops listening. */
  stop(): void {
    const links = [...this.#dialled.values(), ...this.#replaced];
    for (const link of links) link.stop();
    this.#bulk.stop();
    this.#listener?.stop();
  }

  #createListener(): PeerListener | undefined {
    const { settings, logger, getPeer, onChange, onMessage } = this.#options;
    if (settings.peerListen === undefined) return undefined;
    return new PeerListener({
      ...this.#traffic,
      self: settings.id,
      address: settings.peerListen,
      logger,
      secret: this.#secret,
      security: this.#security,
      isKnown: (id) => getPeer(id) !== undefined,
      onMessage: (link, envelope) => onMessage(link.peer, link, envelope),
      onChange: (link, isUp) => onChange(link.peer, link, isUp),
      onTunnel: (tunnel, from) => this.#onTunnel(tunnel, from),
      onRefused: (detail) => logger.event("peerRefused", { detail }),
    });
  }

  get #traffic() {
    const { metrics } = this.#options;
    return {
      memory: this.#memory,
      onReceived: (bytes: number) =>
        metrics.count("peers.receivedBytes", bytes),
      onSent: (bytes: number) => metrics.count("peers.sentBytes", bytes),
    };
  }
}
