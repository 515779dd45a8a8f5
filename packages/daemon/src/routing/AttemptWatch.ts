import type * as common from '@jayhaven/common';
import type { ControlLog, LoadView } from '../Types.js';
import type { EngineAttempt } from './EngineAttempt.js';

/** Interval of checks, milliseconds. */
const checkIntervalMs = 500;
/** Time without received data after which an attempt at a suspect target is aborted, milliseconds. */
const inactivityTimeoutMs = 2_000;

interface WatchedAttempt {
  readonly attempt: EngineAttempt;
  readonly target: common.TargetAddress;
  readonly vm: common.VmName;
}

/**
 * Aborts attempts that receive no data from a target that the collector cannot reach or whose VM is gone. A reclaimed
 * VM closes no connection, and a queued request receives no data either, so both conditions are required.
 */
export class AttemptWatch implements AsyncDisposable {
  private readonly _watched = new Set<WatchedAttempt>();
  private readonly _timer: NodeJS.Timeout;

  public constructor(
    private readonly _log: ControlLog,
    private readonly _loads: LoadView,
    private readonly _now: () => number,
  ) {
    this._timer = setInterval(() => {
      this._check();
    }, checkIntervalMs);
  }

  /** Watches an attempt until the returned function is called. */
  public watch(attempt: EngineAttempt, target: common.TargetAddress, vm: common.VmName): () => void {
    const watched = { attempt, target, vm };
    this._watched.add(watched);
    return () => {
      this._watched.delete(watched);
    };
  }

  public [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this._timer);
    return Promise.resolve();
  }

  private _check(): void {
    const nowMs = this._now();
    for (const { attempt, target, vm } of this._watched) {
      if (nowMs - attempt.lastReceivedMs >= inactivityTimeoutMs && this._isSuspect(target, vm)) {
        attempt.abort('the target is silent and unreachable');
      }
    }
  }

  private _isSuspect(target: common.TargetAddress, vm: common.VmName): boolean {
    return this._loads.digest(target)?.reachable === false || !this._log.state.vms.has(vm);
  }
}
