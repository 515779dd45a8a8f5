import type * as http from 'node:http';
import type { AttemptObservation } from '../crashes/AttemptObservation.js';
import type { ReplicaLoads } from '../routing/ReplicaLoads.js';
import { EventGaps } from '../speeds/EventGaps.js';
import type { SpeedReports } from '../speeds/SpeedReports.js';
import type { ModelReference, Replica } from '../Types.js';
import type { ReplicaAttempt } from './ReplicaAttempt.js';

/**
 * Outcome of an attempt. A refusal means that the replica is busy or lacks the model, not that it is unhealthy; a lost
 * attempt is a failed one whose connection broke.
 */
export type AttemptOutcome = 'succeeded' | 'failed' | 'lost' | 'refused';

interface RunningAttempt {
  readonly attempt: ReplicaAttempt;
  readonly modelReference: ModelReference | undefined;
  readonly observation: AttemptObservation;
  readonly eventGaps: EventGaps;
}

/** The running attempt of a request, if any. It counts towards the load of its replica. */
export class CurrentAttempt {
  private _running: RunningAttempt | undefined;

  public constructor(
    private readonly _loads: ReplicaLoads,
    private readonly _speedReports: Pick<SpeedReports, 'record'>,
  ) {}

  public get isRunning(): boolean {
    return this._running !== undefined;
  }

  /** Replica of the running attempt. */
  public get replica(): Replica | undefined {
    return this._running?.attempt.replica;
  }

  public start(
    attempt: ReplicaAttempt,
    modelReference: ModelReference | undefined,
    promptPartIds: readonly string[],
    observation: AttemptObservation,
  ): void {
    this._running = { attempt, modelReference, observation, eventGaps: new EventGaps() };
    this._loads.recordStart(attempt.replica.id, modelReference, promptPartIds);
  }

  /** True if the response is complete. */
  public isComplete(response: http.IncomingMessage): boolean {
    return this._running?.attempt.isComplete(response) ?? false;
  }

  /** Records the number of complete events of the answer so far. */
  public recordEvents(completeEvents: number, nowMs: number): void {
    this._running?.observation.recordEvents(completeEvents, nowMs);
    this._running?.eventGaps.record(completeEvents, nowMs);
  }

  /** Records the duration of a successful response to a request of a route, milliseconds. */
  public recordDuration(durationMs: number, route: string | undefined, nowMs: number): void {
    if (this._running !== undefined) {
      this._loads.recordRun(this._running.attempt.replica.id, durationMs, route, nowMs);
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
    const running = this._release();
    if (running === undefined) {
      return;
    }
    if (outcome !== 'refused') {
      this._loads.recordOutcome(running.attempt.replica.id, outcome === 'succeeded', nowMs);
    }
    if (outcome === 'succeeded') {
      running.observation.recordAnswered(nowMs);
      this._recordSpeed(running);
    } else if (outcome === 'lost') {
      running.observation.recordLost();
    }
    running.observation.end();
  }

  /** Cancels the attempt without a change to the health of its replica. */
  public cancel(): void {
    const running = this._release();
    running?.attempt.cancel();
    running?.observation.end();
  }

  private _recordSpeed({ attempt, modelReference, eventGaps }: RunningAttempt): void {
    const gapMs = eventGaps.meanMs;
    const { id } = attempt.replica;
    if (modelReference !== undefined && gapMs !== undefined && this._loads.reportsSpeed(id)) {
      this._speedReports.record(id, modelReference.model, gapMs);
    }
  }

  private _release(): RunningAttempt | undefined {
    const running = this._running;
    if (running === undefined) {
      return undefined;
    }
    this._running = undefined;
    this._loads.recordEnd(running.attempt.replica.id, running.modelReference);
    return running;
  }
}
