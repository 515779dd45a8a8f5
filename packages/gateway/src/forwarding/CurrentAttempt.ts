import type * as http from 'node:http';
import type { ReplicaLoads } from '../routing/ReplicaLoads.js';
import type { ModelReference } from '../Types.js';
import type { ReplicaAttempt } from './ReplicaAttempt.js';

/** How an attempt ended. A refusal says that the replica is busy or lacks the model, not that it is ill. */
export type AttemptOutcome = 'succeeded' | 'failed' | 'refused';

interface RunningAttempt {
  readonly attempt: ReplicaAttempt;
  readonly target: ModelReference | undefined;
}

/** The attempt of a request that is under way, if any, counted in the load of its replica. */
export class CurrentAttempt {
  private _running: RunningAttempt | undefined;

  public constructor(private readonly _loads: ReplicaLoads) {}

  public get isRunning(): boolean {
    return this._running !== undefined;
  }

  public start(attempt: ReplicaAttempt, target: ModelReference | undefined, promptParts: readonly string[]): void {
    this._running = { attempt, target };
    this._loads.recordStart(attempt.replica.id, target, promptParts);
  }

  /** True if the answer has arrived whole. */
  public isComplete(response: http.IncomingMessage): boolean {
    return this._running?.attempt.isComplete(response) ?? false;
  }

  /** Notes how long the replica took for a good answer, milliseconds. */
  public recordRun(durationMs: number): void {
    if (this._running !== undefined) {
      this._loads.recordRun(this._running.attempt.replica.id, durationMs);
    }
  }

  /** Notes a replica that let its caller wait in vain, so that others are tried first. */
  public recordSilence(nowMs: number): void {
    if (this._running !== undefined) {
      this._loads.recordOutcome(this._running.attempt.replica.id, false, nowMs);
    }
  }

  /** Ends the attempt and notes its outcome in the replica's health. */
  public end(outcome: AttemptOutcome, nowMs: number): void {
    const attempt = this._release();
    if (attempt !== undefined && outcome !== 'refused') {
      this._loads.recordOutcome(attempt.replica.id, outcome === 'succeeded', nowMs);
    }
  }

  /** Gives the attempt up; the health of its replica stays as it is. */
  public cancel(): void {
    this._release()?.cancel();
  }

  private _release(): ReplicaAttempt | undefined {
    const running = this._running;
    if (running === undefined) {
      return undefined;
    }
    this._running = undefined;
    this._loads.recordEnd(running.attempt.replica.id, running.target);
    return running.attempt;
  }
}
