import type { CrashGuard } from './CrashGuard.js';

/** Complete events after which a replica has gone on with an answer, rather than ended when it began to write. */
const answeredEvents = 2;

/** Observes one attempt at a replica: whether it speaks for or against the parts of its prompt. */
export class AttemptObservation {
  private _isDone = false;

  public constructor(
    private readonly _parts: readonly string[],
    /** Suspected parts that the attempt tries; undefined if it is no trial. */
    private readonly _trialParts: readonly string[] | undefined,
    private readonly _guard: CrashGuard,
    /** Called if the connection is lost before the attempt is answered. */
    private readonly _onLost: () => void,
  ) {}

  /** Records the number of complete events of the answer so far. */
  public recordEvents(completeEvents: number, nowMs: number): void {
    if (completeEvents >= answeredEvents) {
      this.recordAnswered(nowMs);
    }
  }

  /** Records that the replica went on after it had begun to answer. */
  public recordAnswered(nowMs: number): void {
    if (!this._isDone) {
      this._guard.recordAnswered(this._parts, nowMs);
      this.end();
    }
  }

  /** Records that the connection was lost. */
  public recordLost(): void {
    if (!this._isDone) {
      this._isDone = true;
      this._onLost();
    }
  }

  /** Ends an attempt that says nothing about its parts. */
  public end(): void {
    if (!this._isDone) {
      this._isDone = true;
      if (this._trialParts !== undefined) {
        this._guard.endTrial(this._trialParts);
      }
    }
  }
}
