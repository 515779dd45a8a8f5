import { StreamContinuation, type ContinuationResult } from '../../forwarding/StreamContinuation.js';
import { eligibleReplicas } from '../../routing/eligibleReplicas.js';
import type { Route } from '../../Types.js';
import type { SimulatedStreamDaemon } from './SimulatedStreamDaemon.js';
import { attemptMs, lifetimeMs, longestWaitMs, maximumTakeUps, service } from './streamLimits.js';
import type { StreamSimulation } from './StreamSimulation.js';

/** Streams that callers take up at once at a daemon that was out of step. */
const newestStreams = 12;
/** Time for which the store and a leader must be sound before a take-up counts, milliseconds. */
const settledMs = 3_000;

const route: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'stream',
  timeoutMs: attemptMs,
  latencyTargetMs: 1_000,
  maximumAttempts: 3,
  priority: 0,
  services: [],
  resumable: true,
  eventGapMs: 1_000,
  isKeyless: false,
};

interface Stream {
  readonly attemptId: string;
  readonly version: string;
  takeUps: number;
}

/** A stream that went on at another version than the one that began it. */
export interface JoinedStream {
  readonly atMs: number;
  readonly stream: string;
  readonly began: string;
  readonly goesOn: string | undefined;
}

/** Numbers of streams that were taken up, and of those that went on. */
export interface TakeUpTally {
  readonly count: number;
  readonly wentOn: number;
}

/** Callers that begin streams at random daemons and take broken ones up at others. */
export class SimulatedCallers {
  /** Streams that begin a second at all daemons together. */
  public beginsPerSecond = 40;
  /** Share of the streams that break and are taken up. */
  public breakShare = 0.7;
  public readonly joined: JoinedStream[] = [];
  /** Time from each take-up to its result, milliseconds; the longest one. */
  public longestMs = 0;
  /** Take-ups that still wait for their result. */
  public unresolved = 0;
  public began = 0;
  /** Streams whose origins could not be stored, so that no event of them was passed on. */
  public failed = 0;
  /** Take-ups of versions with replicas, while the store and a leader are sound and no record was lost. */
  public settled: TakeUpTally = { count: 0, wentOn: 0 };
  /** All take-ups of versions with replicas. */
  public all: TakeUpTally = { count: 0, wentOn: 0 };
  private readonly _searches = new Map<StreamContinuation, SimulatedStreamDaemon>();
  private _due = 0;
  /** The streams that began last. */
  private _newest: readonly Stream[] = [];

  public constructor(private readonly _simulation: StreamSimulation) {}

  /** Begins the streams of a step. */
  public step(durationMs: number): void {
    this._due += (this.beginsPerSecond * durationMs) / 1_000;
    for (; this._due >= 1; this._due -= 1) {
      this._begin();
    }
  }

  /** Ends the requests at a daemon that ends. */
  public leave(daemon: SimulatedStreamDaemon): void {
    for (const [continuation, other] of this._searches) {
      if (other === daemon) {
        continuation.stop();
        this._searches.delete(continuation);
        this.unresolved -= 1;
      }
    }
  }

  /** Takes the newest streams up at a daemon at once. */
  public takeUpAt(daemon: SimulatedStreamDaemon): void {
    for (const stream of this._newest.filter(({ takeUps }) => takeUps < maximumTakeUps)) {
      stream.takeUps += 1;
      this._takeUp(stream, daemon);
    }
  }

  private _begin(): void {
    const { time, running, versions } = this._simulation;
    const daemon = time.pick(running);
    const demand = { service, route, requiredVersion: undefined };
    const replica = time.pick(
      daemon === undefined ? [] : eligibleReplicas(daemon.replicas, demand, daemon.coordinator),
    );
    if (daemon === undefined || replica === undefined || !versions.includes(replica.softwareVersion)) {
      return;
    }
    time.after(time.between(1, 200), () => {
      if (daemon.isRunning) {
        this.began += 1;
        const attemptId = this.began.toString(16).padStart(16, '0');
        const { softwareVersion: version } = replica;
        const onStored = (): void => {
          // Its caller has nothing of a stream whose daemon ended before the first event was passed on.
          if (daemon.isRunning) {
            const stream = { attemptId, version, takeUps: 0 };
            this._newest = [...this._newest, stream].slice(-newestStreams);
            this._break(stream);
          }
        };
        const onFailed = (): void => {
          this.failed += 1;
        };
        new StreamContinuation(daemon.coordinator).recordFirstEvent(
          attemptId,
          route,
          service,
          replica,
          onStored,
          onFailed,
        );
      }
    });
  }

  /** Breaks a stream within the time limit of its attempt, so that its caller takes it up. */
  private _break(stream: Stream, elapsedMs = 0): void {
    const { time } = this._simulation;
    if (stream.takeUps < maximumTakeUps && time.between(0, 1) < this.breakShare) {
      stream.takeUps += 1;
      time.after(time.between(20, attemptMs - elapsedMs), () => {
        this._takeUp(stream);
      });
    }
  }

  private _takeUp(stream: Stream, daemon = this._simulation.time.pick(this._simulation.running)): void {
    const { time } = this._simulation;
    if (daemon?.isRunning !== true) {
      return;
    }
    const isNamed = time.between(0, 1) < 0.95;
    const request = {
      attemptId: `${stream.attemptId}-${stream.takeUps}`,
      host: 'h',
      lastEventId: '1',
      promptPartIds: [],
      ...(isNamed && { resumedAttemptId: stream.attemptId }),
    };
    const beganMs = this._simulation.nowMs;
    const isSettled = isNamed && this._isSettled();
    const continuation = new StreamContinuation(daemon.coordinator);
    this._searches.set(continuation, daemon);
    this.unresolved += 1;
    continuation.begin(request, route, service, longestWaitMs, (result) => {
      this.unresolved -= 1;
      this._searches.delete(continuation);
      const elapsedMs = this._simulation.nowMs - beganMs;
      this.longestMs = Math.max(this.longestMs, elapsedMs);
      this._judge(stream, result, continuation.requiredVersion, isSettled && this._isSettled());
      this._break(stream, elapsedMs);
    });
  }

  private _judge(stream: Stream, result: ContinuationResult, goesOn: string | undefined, isSettled: boolean): void {
    const { nowMs, versions } = this._simulation;
    if (result === 'ready' && goesOn !== stream.version) {
      this.joined.push({ atMs: nowMs, stream: stream.attemptId, began: stream.version, goesOn });
    }
    if (versions.includes(stream.version)) {
      const wentOn = result === 'ready' ? 1 : 0;
      this.all = { count: this.all.count + 1, wentOn: this.all.wentOn + wentOn };
      this.settled = isSettled ? { count: this.settled.count + 1, wentOn: this.settled.wentOn + wentOn } : this.settled;
    }
  }

  private _isSettled(): boolean {
    const { nowMs, lastUnsoundMs, lastRestoreMs, leaderAgeMs } = this._simulation;
    const isSound = nowMs - lastUnsoundMs >= settledMs && nowMs - lastRestoreMs >= 2 * lifetimeMs;
    return isSound && leaderAgeMs >= settledMs;
  }
}
