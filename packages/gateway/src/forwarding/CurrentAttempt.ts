import type * as http from 'node:http';
import type { ReplicaLoads } from '../routing/ReplicaLoads.js';
import type { ModelReference } from '../Types.js';
import type { ReplicaAttempt } from './ReplicaAttempt.js';

/** Outcome of an attempt. A refusal means that the replica is busy or lacks the model, not that it is unhealthy. */
export type AttemptOutcome = 'succeeded' | 'failed' | 'refused';

interface RunningAttempt {
  readonly attempt: ReplicaAttempt;
  readonly modelReference: ModelReference | undefined;
}

/** The running attempt of a request, if any. It counts towards the load of its replica. */
export class CurrentAttempt {
  private _running: RunningAttempt | undefined;

  public constructor(private readonly _loads: ReplicaLoads) {}

  public get isRunning(): boolean {
    return this._running !== undefined;
  }

  public start(
    attempt: ReplicaAttempt,
    modelReference: ModelReference | undefined,
    promptPartIds: readonly string[],
  ): void {
    this._running = { attempt, modelReference };
    this._loads.recordStart(attempt.replica.id, modelReference, promptPartIds);
  }

  /** True if the response is complete. */
  public isComplete(response: http.IncomingMessage): boolean {
    return this._running?.attempt.isComplete(response) ?? false;
  }

  /** Records the duration of a successful response, milliseconds. */
  public recordDuration(durationMs: number): void {
    if (this._running !== undefined) {
      this._loads.recordRun(this._running.attempt.replica.id, durationMs);
    }
  }

  /** Records a failure of a replica that sent no response in time, so that others are preferred. */
  public recordNoResponse(nowMs: number): void {
    if (this._running !== undefined) {
      this._loads.recordOutcome(this._running.attempt.replica.id, false, nowMs);
    }
  }

  /** Ends the attempt and records its outcome in the health of the replica, except for a refusal. */
  public end(outcome: AttemptOutcome, nowMs: number): void {
    const attempt = this._release();
    if (attempt !== undefined && outcome !== 'refused') {
      this._loads.recordOutcome(attempt.replica.id, outcome === 'succeeded', nowMs);
    }
  }

  /** Cancels the attempt without a change to the health of its replica. */
  public cancel(): void {
    this._release()?.cancel();
  }

  private _release(): ReplicaAttempt | undefined {
    const running = this._running;
    if (running === undefined) {
      return undefined;
    }
    this._running = undefined;
    this._loads.recordEnd(running.attempt.replica.id, running.modelReference);
    return running.attempt;
  }
}
