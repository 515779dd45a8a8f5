import * as common from '@jayhaven/common';

/** Number of leaders whose addresses are kept. */
const maximumRecentLeaders = 4;

/** Name and address of a leader, for the daemons that follow it. */
export interface LeaderLocation {
  readonly holder: string;
  /** Address at which the leader accepts peers, `ip:port`. */
  readonly peerAddress: string;
}

/** A leader with the term in which it leads. */
export interface LeaderAnnouncement extends LeaderLocation {
  /** Fencing token of the term. */
  readonly term: number;
}

/** The leader that this daemon follows, or itself, as it learned from the store or from peers. */
export class KnownLeader {
  private readonly _onChanged = new common.Emitter<LeaderAnnouncement>();
  public readonly onChanged = this._onChanged.event;
  private _current: LeaderAnnouncement | undefined;
  /** Other daemons that were known as leaders, the latest one last. */
  private _recent: readonly LeaderLocation[] = [];

  public constructor(
    /** Name of this daemon. */
    private readonly _self: string,
    private readonly _log: common.Logger,
  ) {}

  public get current(): LeaderAnnouncement | undefined {
    return this._current;
  }

  /** True if the known leader is this daemon, which may have lost the lease meanwhile. */
  public get isSelf(): boolean {
    return this._current?.holder === this._self;
  }

  /** Addresses of other daemons that were known as leaders lately. */
  public get recentAddresses(): readonly string[] {
    return this._recent.map(({ peerAddress }) => peerAddress);
  }

  /** Applies a record of the store, which always counts. */
  public learnFromStore(leader: LeaderAnnouncement): void {
    if (leader.holder !== this._current?.holder || leader.term !== this._current.term) {
      this._set(leader, 'store');
    }
  }

  /** Applies an announcement of a peer if its term is later. This daemon knows itself whether it leads. */
  public learnFromPeer(leader: LeaderAnnouncement): void {
    if (leader.holder !== this._self && leader.term > (this._current?.term ?? Number.NEGATIVE_INFINITY)) {
      this._set(leader, 'peer');
    }
  }

  private _set({ holder, peerAddress, term }: LeaderAnnouncement, source: 'store' | 'peer'): void {
    this._current = { holder, peerAddress, term };
    if (holder !== this._self) {
      const others = this._recent.filter((recent) => recent.holder !== holder);
      this._recent = [...others, { holder, peerAddress }].slice(-maximumRecentLeaders);
    }
    this._log.info('Learned of a leader.', { holder, term, source });
    this._onChanged.fire(this._current);
  }
}
