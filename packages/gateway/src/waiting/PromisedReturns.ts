import type { ModelReference } from '../Types.js';
import type { ReturnWindow } from './decideReturn.js';

/** Upper limit of the promises that are kept, so that a burst of refusals does not fill the memory. */
const promiseLimit = 1_000;

/** The capacity that refused callers return to. */
export interface ReturnCapacity {
  /** Model or replica that the callers wait for. */
  readonly key: string;
  /** Time between two callers that the capacity takes, milliseconds. */
  readonly spacingMs: number;
  /** Time over which the callers of all daemons are spread, milliseconds. */
  readonly spreadMs: number;
  /** Model that must be loaded for the returning callers. */
  readonly modelReference?: ModelReference | undefined;
  /** Time that a returned caller waits, milliseconds. */
  readonly callerTimeoutMs: number;
  readonly latencyTargetMs: number;
}

/** A caller that was asked to return. */
interface PromisedReturn {
  readonly capacity: ReturnCapacity;
  readonly atMs: number;
}

/** A model that callers return for. */
export interface AwaitedReturn {
  readonly modelReference: ModelReference;
  readonly lateAtMs: number;
  readonly leavesAtMs: number;
}

/**
 * The times at which refused callers of this daemon were asked to return. No two callers are promised the same capacity, as
 * far as this daemon knows: other daemons promise it too, so that each return also has a random part.
 */
export class PromisedReturns {
  private readonly _promises: PromisedReturn[] = [];
  /** Time of the last return by capacity, steady milliseconds. */
  private readonly _lastMs = new Map<string, number>();

  public constructor(private readonly _random: () => number = Math.random) {}

  /** Promises a return within the window, and returns the time until then, milliseconds. */
  public promise(capacity: ReturnCapacity, window: ReturnWindow, nowMs: number): number {
    this.expire(nowMs);
    if (!window.isServed) {
      return window.firstMs;
    }
    const { firstMs, lastMs } = window;
    const afterOthersMs = (this._lastMs.get(capacity.key) ?? Number.NEGATIVE_INFINITY) - nowMs + capacity.spacingMs;
    const spreadMs = Math.min(capacity.spreadMs, lastMs - firstMs);
    const turnMs = Math.max(firstMs + this._random() * spreadMs, afterOthersMs);
    // When the capacity up to the last time is promised, the returns are spread evenly: some callers do not return.
    const returnInMs = turnMs <= lastMs ? turnMs : firstMs + this._random() * (lastMs - firstMs);
    this._lastMs.set(capacity.key, Math.max(nowMs + returnInMs, this._lastMs.get(capacity.key) ?? 0));
    if (this._promises.length < promiseLimit) {
      this._promises.push({ capacity, atMs: nowMs + returnInMs });
    }
    return returnInMs;
  }

  /** Models that must be ready when callers return. They count as waited for, or no replica would load them. */
  public awaited(nowMs: number): readonly AwaitedReturn[] {
    this.expire(nowMs);
    return this._promises.flatMap(({ capacity, atMs }) => {
      const { modelReference, latencyTargetMs, callerTimeoutMs } = capacity;
      const times = { lateAtMs: atMs + latencyTargetMs, leavesAtMs: atMs + callerTimeoutMs };
      return modelReference === undefined ? [] : [{ modelReference, ...times }];
    });
  }

  /** Number of callers that are expected to return. */
  public get size(): number {
    return this._promises.length;
  }

  /** Removes the promises whose time has come: a caller that has returned is counted by the daemon that it waits at. */
  public expire(nowMs: number): void {
    const open = this._promises.filter(({ atMs }) => atMs > nowMs);
    this._promises.splice(0, this._promises.length, ...open);
    for (const [key, lastMs] of this._lastMs) {
      if (lastMs <= nowMs) {
        this._lastMs.delete(key);
      }
    }
  }
}
