/** Authorization of operators and targets by bearer tokens. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { getPresentedKey } from "./caller.ts";

/** Bearer tokens of operators and targets. */
export interface AccessTokens {
  /** Token of operators; if undefined, their endpoints refuse all requests. */
  readonly operator?: string;
  /** Token of targets; if undefined, any client may announce a target. */
  readonly target?: string;
}

/** Compares the tokens of requests in constant time. */
export class AccessGuard {
  readonly #tokens: AccessTokens;

  constructor(tokens: AccessTokens) {
    this.#tokens = tokens;
  }

  /** @throws RefusalError unless the request has the token of operators. */
  throwIfNotOperator(req: IncomingMessage): void {
    const { operator } = this.#tokens;
    if (operator !== undefined && hasToken(req, operator)) return;
    throw new RefusalError(RefusalReason.OperatorTokenInvalid, Verdict.NotRun);
  }

  /**
   * @throws RefusalError unless the request has the token of targets, if one is
   * set.
   */
  throwIfNotTarget(req: IncomingMessage): void {
    const { target } = this.#tokens;
    if (target === undefined || hasToken(req, target)) return;
    throw new RefusalError(RefusalReason.OperatorTokenInvalid, Verdict.NotRun);
  }
}

function hasToken(req: IncomingMessage, expected: string): boolean {
  const digest = (text: string) => createHash("sha256").update(text).digest();
  return timingSafeEqual(
    digest(getPresentedKey(req) ?? ""),
    digest(expected),
  );
}
