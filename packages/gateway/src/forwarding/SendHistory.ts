/** The replicas that one request was sent to, and what may have run. */
export class SendHistory {
  private readonly _tried: string[] = [];
  private readonly _excluded = new Set<string>();
  private _runs = 0;
  private _presentCounted = false;

  /** Replicas that the request was sent to, in order. */
  public get tried(): readonly string[] {
    return this._tried;
  }

  /** Replicas that are passed over, because they have just failed this request. */
  public get excluded(): ReadonlySet<string> {
    return this._excluded;
  }

  /** Replicas that may have run the request. */
  public get runs(): number {
    return this._runs;
  }

  /** Replicas before the present one that may have run the request. */
  public get earlierRuns(): number {
    return this._runs - (this._presentCounted ? 1 : 0);
  }

  /** Notes that the request is sent to a replica, the present one from now on. */
  public send(replicaId: string): void {
    this._tried.push(replicaId);
    this._excluded.add(replicaId);
    this._presentCounted = false;
  }

  /** Notes that the present replica may have run the request; counts once. */
  public countRun(): void {
    if (!this._presentCounted) {
      this._presentCounted = true;
      this._runs += 1;
    }
  }

  /** Lets all replicas be chosen again. */
  public forgiveAll(): void {
    this._excluded.clear();
  }
}
