/** The replicas that one request was sent to, and what may have run. */
export class SendHistory {
  private readonly _replicaIds: string[] = [];
  private readonly _excluded = new Set<string>();
  private _possibleRuns = 0;
  private _currentCounted = false;

  /** Replicas that the request was sent to, in order. */
  public get replicaIds(): readonly string[] {
    return this._replicaIds;
  }

  /** Replicas that are passed over, because they have just failed this request. */
  public get excluded(): ReadonlySet<string> {
    return this._excluded;
  }

  /** Replicas that may have run the request. */
  public get possibleRuns(): number {
    return this._possibleRuns;
  }

  /** Replicas before the present one that may have run the request. */
  public get earlierPossibleRuns(): number {
    return this._possibleRuns - (this._currentCounted ? 1 : 0);
  }

  /** Notes that the request is sent to a replica, the present one from now on. */
  public startAttempt(replicaId: string): void {
    this._replicaIds.push(replicaId);
    this._excluded.add(replicaId);
    this._currentCounted = false;
  }

  /** Notes that the present replica may have run the request; counts once. */
  public countPossibleRun(): void {
    if (!this._currentCounted) {
      this._currentCounted = true;
      this._possibleRuns += 1;
    }
  }

  /** Lets all replicas be chosen again. */
  public clearExcluded(): void {
    this._excluded.clear();
  }
}
