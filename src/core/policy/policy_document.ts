/** A deployment's routes, services and workspaces under an outside number. */

/** What a failed request of a route means for a second try. */
export const RouteKind = {
  Idempotent: "idempotent",
  NonIdempotent: "nonIdempotent",
  Streaming: "streaming",
  Rollout: "rollout",
} as const;

/** One of the values of {@link RouteKind}. */
export type RouteKind = typeof RouteKind[keyof typeof RouteKind];

/** Part of a route's requests that goes to a service. */
export interface ServiceShare {
  /** Name of the service. */
  readonly service: string;
  /** Weight against the other shares of the route. */
  readonly weight: number;
}

/** A route. */
export interface RoutePolicy {
  readonly name: string;
  readonly host: string;
  /** Beginning of the paths; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time for which a request is kept waiting. */
  readonly timeoutMs: number;
  /** Latency objective. */
  readonly objectiveMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Targets to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isAnonymous: boolean;
  /** Whether a stream may be resumed at another target. */
  readonly isResumable: boolean;
  /** Rollouts: whether one version of the weights must make a whole sample. */
  readonly isSingleVersion: boolean;
  /** Rollouts: time after which an item may be given up. */
  readonly giveUpMs: number;
  /** Rollouts: time after which all results are due. */
  readonly resultObjectiveMs: number;
}

/** How many targets of a service may be ordered, a data centre. */
export interface ScalingPolicy {
  readonly min: number;
  readonly max: number;
  /** Time from the order until a new target serves. */
  readonly bootMs: number;
  /** Price of a reclaimable target against another; undefined for none. */
  readonly spotPrice: number | undefined;
  /** Price of a target by data centre. */
  readonly prices: Readonly<Record<string, number>>;
}

/** A service: targets of one kind. */
export interface ServicePolicy {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that a target accepts from all callers. */
  readonly maxConnections: number;
  /** Names of the models; empty for a plain service. */
  readonly models: readonly string[];
  readonly scaling: ScalingPolicy | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A workspace and its keys. */
export interface WorkspacePolicy {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number;
}

/** The whole document. */
export interface PolicyDocument {
  /** Number that the operator gave it; the highest is in force. */
  readonly revision: number;
  readonly routes: readonly RoutePolicy[];
  readonly services: readonly ServicePolicy[];
  readonly limits: CallerLimits;
  /** Workspaces; empty where no key is asked for. */
  readonly workspaces: readonly WorkspacePolicy[];
}
