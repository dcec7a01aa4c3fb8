/** Elections of a replica: its candidacies, and its votes for others. */
import type {
  PreVoteReply,
  PreVoteRequest,
  TransferRequest,
  VoteReply,
  VoteRequest,
} from "./consensus_message.ts";
import type { ElectionTimer } from "./election_timer.ts";
import { quorumSize } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";
import type { ReplicaState } from "./replica_state.ts";
import { Role, RoleEvent } from "./role.ts";

/** Options of {@link Elections}. */
export interface ElectionsOptions<C, S> {
  readonly state: ReplicaState<C, S>;
  readonly timer: ElectionTimer;
  /** Gets whether this replica holds the leader lease. */
  readonly hasLease: (now: number) => boolean;
  /** Called when this replica has become leader. */
  readonly onElected: (now: number) => void;
}

/**
 * Requests votes, counts them and grants them, with a pre-vote before each vote.
 *
 * @example
 * ```ts
 * if (now >= timer.dueAt) elections.startPreVote(now);
 * ```
 */
export class Elections<C, S> {
  readonly #options: ElectionsOptions<C, S>;
  readonly #state: ReplicaState<C, S>;
  readonly #timer: ElectionTimer;
  #votes = new Set<ReplicaId>();

  /** Creates the elections of a follower. */
  constructor(options: ElectionsOptions<C, S>) {
    this.#options = options;
    this.#state = options.state;
    this.#timer = options.timer;
  }

  /** Starts an election after the election timeout. */
  startPreVote(now: number): void {
    this.#state.transition(RoleEvent.Timeout).setLeader(undefined);
    this.#timer.onTimeout(now);
    this.#requestVotes((request) => ({ type: "preVoteRequest", ...request }));
    this.#countPreVotes(now);
  }

  /** Discards the votes for this replica. */
  clearVotes(): this {
    this.#votes.clear();
    return this;
  }

  /** Gets whether a vote request is rejected because of the current leader. */
  ignores({ isTransfer }: VoteRequest, now: number): boolean {
    if (isTransfer || !this.#state.guards.leaderStickiness) return false;
    return this.#state.role === Role.Leader
      ? this.#options.hasLease(now)
      : this.#timer.hasContact(now);
  }

  /**
   * Grants a pre-vote even if the local log does not show this replica as a
   * voter: its promotion may be committed without it having received the entry.
   */
  onPreVoteRequest(message: PreVoteRequest, now: number): void {
    const state = this.#state;
    const hasLeader = state.role === Role.Leader || this.#timer.hasContact(now);
    const isRefused = hasLeader && state.guards.leaderStickiness;
    const isGranted = !isRefused && message.term >= state.term &&
      this.#isUpToDate(message);
    state.send({
      type: "preVoteReply",
      ...state.envelope(message.from),
      isGranted,
    });
  }

  /** Counts the reply to a pre-vote request. */
  onPreVoteReply(message: PreVoteReply, now: number): void {
    if (this.#state.role !== Role.PreCandidate || !message.isGranted) return;
    this.#votes.add(message.from);
    this.#countPreVotes(now);
  }

  /** Grants or rejects a vote. */
  onVoteRequest(message: VoteRequest, now: number): void {
    if (this.ignores(message, now)) return;
    const state = this.#state;
    const canVote = state.votedFor === undefined ||
      state.votedFor === message.from;
    const isGranted = message.term === state.term && canVote &&
      state.role === Role.Follower && this.#isUpToDate(message);
    if (isGranted) {
      state.voteFor(message.from);
      this.#timer.restart(now);
    }
    state.send({
      type: "voteReply",
      ...state.envelope(message.from),
      isGranted,
    });
  }

  /** Counts the reply to a vote request. */
  onVoteReply(message: VoteReply, now: number): void {
    if (this.#state.role !== Role.Candidate || !message.isGranted) return;
    if (message.term !== this.#state.term) return;
    this.#votes.add(message.from);
    this.#countVotes(now);
  }

  /** Starts an election at the request of the leader. */
  onTransferRequest(message: TransferRequest, now: number): void {
    const state = this.#state;
    if (message.term !== state.term || !state.isVoter) return;
    if (state.role !== Role.Follower || state.leader !== message.from) return;
    state.transition(RoleEvent.Transfer);
    this.#startVote(now, { isTransfer: true });
  }

  #isUpToDate({ lastIndex, lastTerm }: PreVoteRequest | VoteRequest): boolean {
    return this.#state.log.isUpToDate({ index: lastIndex, term: lastTerm });
  }

  /**
   * Sends a request to every other voter, with the last index and term of the
   * local log.
   */
  #requestVotes(
    create: (
      request: Omit<PreVoteRequest, "type">,
    ) => PreVoteRequest | VoteRequest,
  ): void {
    const state = this.#state;
    this.#votes = new Set([state.self]);
    const { index: lastIndex, term: lastTerm } = state.last;
    for (const voter of state.members.voters) {
      if (voter === state.self) continue;
      state.send(create({ ...state.envelope(voter), lastIndex, lastTerm }));
    }
  }

  #countPreVotes(now: number): void {
    if (!this.#hasQuorumOfVotes()) return;
    this.#state.transition(RoleEvent.PreElected);
    this.#startVote(now, { isTransfer: false });
  }

  #startVote(now: number, { isTransfer }: { isTransfer: boolean }): void {
    this.#state.startTerm();
    this.#timer.restart(now);
    this.#requestVotes((request) => ({
      type: "voteRequest",
      ...request,
      isTransfer,
    }));
    this.#countVotes(now);
  }

  #countVotes(now: number): void {
    if (!this.#hasQuorumOfVotes()) return;
    this.#state.transition(RoleEvent.Elected).setLeader(this.#state.self);
    this.#options.onElected(now);
  }

  #hasQuorumOfVotes(): boolean {
    const { members } = this.#state;
    const grantedBy = members.voters.filter((id) => this.#votes.has(id));
    return grantedBy.length >= quorumSize(members);
  }
}
