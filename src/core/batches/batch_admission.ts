/** Decides whether a batch may be accepted, by the work that precedes it. */
import { spreadRetryAfterMs } from "../retry/mod.ts";
import { sumOf } from "../statistics/mod.ts";

/** Work of an open batch that is ordered before the submitted one. */
export interface PrecedingWork {
  readonly workspace: string;
  /** Whether its priority is higher; else both have the same. */
  readonly isMoreUrgent: boolean;
  /** Time until its items are abandoned, in milliseconds. */
  readonly giveUpInMs: number;
  /** Expected output that its caller still waits for, in tokens. */
  readonly tokens: number;
  /** Identifies the set of targets at which it may run. */
  readonly place: string;
  /** Rate of these targets with full slots, in tokens per millisecond. */
  readonly placeTokensPerMs: number;
}

/** Capacity of the targets of a service at which a batch may run. */
export interface ServiceCapacity {
  /** Slots of targets that are present or may return in time. */
  readonly slots: number;
  /**
   * Their rate with full slots at long-run paces, in tokens per millisecond.
   */
  readonly tokensPerMs: number;
  /** Rate of the targets that may yet start, in tokens per millisecond. */
  readonly startableTokensPerMs: number;
  /** Time until these serve, in milliseconds. */
  readonly bootMs: number;
}

/** Input of {@link decideAdmission}. */
export interface AdmissionInput {
  readonly batch: string;
  readonly workspace: string;
  readonly items: number;
  /** Expected output of the groups that its caller waits for, in tokens. */
  readonly tokens: number;
  /** Time until its items are abandoned, in milliseconds. */
  readonly giveUpInMs: number;
  readonly preceding: readonly PrecedingWork[];
  /** Number of open items of the service. */
  readonly openItems: number;
  /** Undefined if the paces of the targets or lengths are not known. */
  readonly capacity: ServiceCapacity | undefined;
  /** Measured drain rate in tokens per millisecond; undefined if not known. */
  readonly drainTokensPerMs: number | undefined;
  /** Time for which this replica has led, in milliseconds. */
  readonly leadingMs: number;
}

/** Reasons for admitting or refusing a batch. */
export const AdmissionReason = {
  /** The leader is new or does not know how the queue drains. */
  Unknown: "unknown",
  /** All items have a slot at once, or no work precedes the batch. */
  Idle: "idle",
  /** The batch can be complete in time. */
  Fits: "fits",
  /** Its workspace is below its fair share, and another one above. */
  BelowShare: "belowShare",
  /** More urgent work takes the time of the targets. */
  UrgentWork: "urgentWork",
  /** Work that was accepted before exceeds the share of the workspace. */
  AboveShare: "aboveShare",
  /** The ledger has no memory for its results. */
  Memory: "memory",
} as const;

/** One of the values of {@link AdmissionReason}. */
export type AdmissionReason =
  typeof AdmissionReason[keyof typeof AdmissionReason];

/** Decision on a batch, with the figures that it is based on. */
export interface AdmissionDecision {
  readonly isAdmitted: boolean;
  readonly reason: AdmissionReason;
  /** Work that precedes the batch, in tokens. */
  readonly precedingTokens: number;
  /** Work that the targets can do in time, in tokens. */
  readonly capacityTokens: number;
  /** Fair share of the workspace in it, in tokens. */
  readonly shareTokens: number;
  /** Open work of the workspace, in tokens. */
  readonly usedTokens: number;
  /** Time after which the caller may retry, in milliseconds; 0 if admitted. */
  readonly retryAfterMs: number;
}

/**
 * Factor on what the targets can do: only a batch that cannot fit is refused,
 * and paces and lengths are estimates.
 */
const CAPACITY_MARGIN = 1.25;
/**
 * Time for which a new leader refuses nothing, in milliseconds: it does not
 * know yet how the queue drains.
 */
const MIN_LEADING_MS = 5_000;
/**
 * Part of the capacity up to which a batch's own length counts: estimates are
 * often off by a factor of two, so a batch is refused only for the work of
 * others.
 */
const MAX_OWN_CAPACITY_SHARE = 0.5;
/**
 * Part of the capacity reserved for less urgent batches; the order of items
 * reserves as much (`batch_shares.ts`).
 */
const LESS_URGENT_SHARE = 0.25;

/**
 * Decides whether a submitted batch is accepted. It is refused only if it could
 * not be complete before its caller gives up, if its workspace uses its fair
 * share, and if enough is known to decide.
 *
 * @example
 * ```ts
 * const { isAdmitted, retryAfterMs } = decideAdmission(input);
 * ```
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const { capacity, drainTokensPerMs, leadingMs, preceding } = input;
  if (
    leadingMs < MIN_LEADING_MS || drainTokensPerMs === undefined ||
    capacity === undefined
  ) {
    return admit(AdmissionReason.Unknown);
  }
  const hasSlots = input.openItems + input.items <= capacity.slots;
  if (hasSlots || preceding.every(({ tokens }) => tokens <= 0)) {
    return admit(AdmissionReason.Idle);
  }
  const capacityTokens = capacityTokensOf(input, capacity, drainTokensPerMs);
  const work = boundByPlace(preceding, input.giveUpInMs);
  const urgentTokens = Math.min(
    tokensOf(work.filter(({ isMoreUrgent }) => isMoreUrgent)),
    capacityTokens * (1 - LESS_URGENT_SHARE),
  );
  const used = usedByWorkspace(work);
  return decideByShares(input, {
    capacityTokens,
    precedingTokens: tokensOf(work),
    leftTokens: capacityTokens - urgentTokens,
    hasUrgent: urgentTokens > 0,
    used,
    drainTokensPerMs,
  });
}

interface KnownWork {
  readonly capacityTokens: number;
  readonly precedingTokens: number;
  /** What more urgent work leaves of the capacity. */
  readonly leftTokens: number;
  readonly hasUrgent: boolean;
  /** Work of the same urgency, by workspace. */
  readonly used: ReadonlyMap<string, number>;
  readonly drainTokensPerMs: number;
}

function decideByShares(
  input: AdmissionInput,
  known: KnownWork,
): AdmissionDecision {
  const { workspace, batch } = input;
  const { capacityTokens, precedingTokens, leftTokens, used } = known;
  const usedTokens = used.get(workspace) ?? 0;
  const ownTokens = Math.min(
    input.tokens,
    capacityTokens * MAX_OWN_CAPACITY_SHARE,
  );
  const wanted = new Map(used).set(workspace, usedTokens + ownTokens);
  const shares = shareFairly(wanted, leftTokens);
  const shareTokens = shares.get(workspace) ?? 0;
  const figures = { precedingTokens, capacityTokens, shareTokens, usedTokens };
  const excessTokens = usedTokens + ownTokens - shareTokens;
  if (excessTokens <= 0) return admit(AdmissionReason.Fits, figures);
  const isOtherAbove = [...used].some(([name, tokens]) =>
    name !== workspace && tokens > (shares.get(name) ?? 0)
  );
  if (isOtherAbove && usedTokens < shareTokens) {
    return admit(AdmissionReason.BelowShare, figures);
  }
  const isUrgentWork = known.hasUrgent &&
    sumOf([...wanted], ([, tokens]) => tokens) <= capacityTokens;
  const shareOfCapacity = shareTokens / Math.max(1, leftTokens);
  const waitMs = excessTokens /
    Math.max(Number.MIN_VALUE, known.drainTokensPerMs * shareOfCapacity);
  return {
    isAdmitted: false,
    reason: isUrgentWork
      ? AdmissionReason.UrgentWork
      : AdmissionReason.AboveShare,
    ...figures,
    retryAfterMs: spreadRetryAfterMs(waitMs, batch),
  };
}

/** Refuses a batch until there is memory for its results. */
export function refuseForMemory(retryAfterMs: number): AdmissionDecision {
  return {
    ...admit(AdmissionReason.Memory),
    isAdmitted: false,
    retryAfterMs,
  };
}

function admit(
  reason: AdmissionReason,
  figures: Partial<AdmissionDecision> = {},
): AdmissionDecision {
  return {
    precedingTokens: 0,
    capacityTokens: 0,
    shareTokens: 0,
    usedTokens: 0,
    ...figures,
    isAdmitted: true,
    reason,
    retryAfterMs: 0,
  };
}

/** Gets the work that the targets can do until the caller gives up. */
function capacityTokensOf(
  { giveUpInMs }: AdmissionInput,
  capacity: ServiceCapacity,
  drainTokensPerMs: number,
): number {
  // A measured drain rate is achievable, whatever the paces suggest.
  const tokensPerMs = Math.max(capacity.tokensPerMs, drainTokensPerMs);
  const startedMs = Math.max(0, giveUpInMs - capacity.bootMs);
  return CAPACITY_MARGIN * (tokensPerMs * Math.max(0, giveUpInMs) +
    capacity.startableTokensPerMs * startedMs);
}

/**
 * Limits work to what its targets can do before it is abandoned, or before the
 * submitted batch is. A batch that may run at few targets takes nothing from
 * the others.
 */
function boundByPlace(
  preceding: readonly PrecedingWork[],
  horizonMs: number,
): PrecedingWork[] {
  const taken = new Map<string, number>();
  return [...preceding].sort((a, b) => a.giveUpInMs - b.giveUpInMs).map(
    (work) => {
      const { place, placeTokensPerMs, giveUpInMs } = work;
      const before = taken.get(place) ?? 0;
      const capacityTokens = CAPACITY_MARGIN * placeTokensPerMs *
        Math.min(giveUpInMs, horizonMs);
      const tokens = Math.max(
        0,
        Math.min(work.tokens, capacityTokens - before),
      );
      taken.set(place, before + tokens);
      return { ...work, tokens };
    },
  );
}

function usedByWorkspace(
  work: readonly PrecedingWork[],
): Map<string, number> {
  const used = new Map<string, number>();
  for (const { workspace, tokens, isMoreUrgent } of work) {
    if (isMoreUrgent) continue;
    used.set(workspace, (used.get(workspace) ?? 0) + tokens);
  }
  return used;
}

/**
 * Divides capacity by max-min fairness: no workspace gets more than it
 * requests, and the remainder goes to the others in equal parts.
 */
function shareFairly(
  wanted: ReadonlyMap<string, number>,
  capacityTokens: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  let left = capacityTokens;
  const ascending = [...wanted].sort(([, a], [, b]) => a - b);
  for (const [index, [workspace, tokens]] of ascending.entries()) {
    const share = Math.min(tokens, left / (ascending.length - index));
    shares.set(workspace, share);
    left -= share;
  }
  return shares;
}

function tokensOf(work: readonly PrecedingWork[]): number {
  return sumOf(work, ({ tokens }) => tokens);
}
