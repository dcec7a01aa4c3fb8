/** Requests to other instances that wait for their replies. */
import { Verdict } from "../../core/verdict/mod.ts";
import type { PeerEnvelope, PeerReply } from "./peer_envelope.ts";
import { createUnansweredError, decodeRefusal } from "./peer_refusal.ts";

/** A link that requests are sent on. */
export interface RequestLink {
  /** Sends a message; returns false if it was not sent. */
  send(envelope: PeerEnvelope): boolean;
}

interface PendingRequest {
  /** Link that the request was sent on; the reply arrives on the same link. */
  readonly link: RequestLink;
  readonly resolve: (result: unknown) => void;
  readonly reject: (err: Error) => void;
  readonly timer: NodeJS.Timeout;
}

/** Numbers requests, and settles each by its reply, its link or its timeout. */
export class PendingRequests {
  readonly #pending = new Map<number, PendingRequest>();
  #nextId = 1;

  /**
   * Sends a request on a link and waits for its reply.
   * @throws RefusalError from the other instance; with verdict `notRun` if the
   *     request could not be sent; with `mayHaveRun` if no reply arrives in time
   *     or the link closes.
   * @example
   * const result = await pending.send(link, {
   *   method: "echo",
   *   params: 1,
   *   timeoutMs: 500,
   * });
   */
  send(
    link: RequestLink | undefined,
    request: {
      readonly method: string;
      readonly params: unknown;
      readonly timeoutMs: number;
    },
  ): Promise<unknown> {
    const id = this.#nextId;
    this.#nextId += 1;
    const { method, params, timeoutMs } = request;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#pending.delete(id);
        reject(createUnansweredError(Verdict.MayHaveRun));
      }, timeoutMs);
      const body = { id, method, params };
      if (link?.send({ channel: "request", body }) !== true) {
        clearTimeout(timer);
        reject(createUnansweredError(Verdict.NotRun));
        return;
      }
      this.#pending.set(id, { link, resolve, reject, timer });
    });
  }

  /** Settles the request that a reply belongs to; ignores a late reply. */
  onReply(reply: PeerReply): void {
    const request = this.#pending.get(reply.id);
    if (request === undefined) return;
    this.#pending.delete(reply.id);
    clearTimeout(request.timer);
    if (reply.refusal === undefined) request.resolve(reply.result);
    else request.reject(decodeRefusal(reply.refusal));
  }

  /** Gets whether a request was sent on a link and waits for its reply. */
  isPendingOn(link: RequestLink | undefined): boolean {
    return [...this.#pending.values()].some((request) => request.link === link);
  }

  /** Fails the requests of a closed link; a reply never uses another link. */
  failOn(link: RequestLink): void {
    for (const [id, request] of this.#pending) {
      if (request.link !== link) continue;
      this.#pending.delete(id);
      clearTimeout(request.timer);
      request.reject(createUnansweredError(Verdict.MayHaveRun));
    }
  }
}
