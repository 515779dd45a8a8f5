import * as cockatiel from 'cockatiel';
import type * as common from '@jayhaven/common';

/** A single lost acknowledgement is common; three in a row count as an outage. */
const failuresBeforeOpen = 3;
/** Time after which the open circuit breaker lets one append through, milliseconds. */
const halfOpenAfterMs = 1000;

/** Tracks from the appends and reads of all topics whether the log service is down. */
export class LogHealth {
  private readonly _appends = cockatiel.circuitBreaker(cockatiel.handleWhenResult(isFailure), {
    breaker: new cockatiel.ConsecutiveBreaker(failuresBeforeOpen),
    halfOpenAfter: halfOpenAfterMs,
  });
  private readonly _unreadableTopics = new Set<string>();
  private _openedAtMs = 0;

  public constructor(private readonly _now: () => number) {
    this._appends.onBreak(() => {
      this._openedAtMs = _now();
    });
  }

  /** Whether appends to a topic are attempted at present. */
  public isAvailable(topic: string): boolean {
    return this.retryAfterMs(topic) === undefined;
  }

  /** Time until an append may be tried again, or `undefined` if it may be tried now. */
  public retryAfterMs(topic: string): number | undefined {
    if (this._appends.state === cockatiel.CircuitState.Open) {
      const remainingMs = this._openedAtMs + halfOpenAfterMs - this._now();
      if (remainingMs > 0) {
        return Math.ceil(remainingMs);
      }
    }
    // An append that cannot be read back cannot be confirmed.
    return this._unreadableTopics.has(topic) ? halfOpenAfterMs : undefined;
  }

  /** Runs an append under the circuit breaker; `undefined` if the breaker refuses it. */
  public async append<Value, Failure>(
    run: () => Promise<common.Outcome<Value, Failure>>,
  ): Promise<common.Outcome<Value, Failure> | undefined> {
    try {
      return await this._appends.execute(run);
    } catch (error) {
      if (cockatiel.isBrokenCircuitError(error)) {
        return undefined;
      }
      throw error;
    }
  }

  /** Records whether the long poll of a topic works, or fails or gets no response. */
  public setReadable(topic: string, readable: boolean): void {
    if (readable) {
      this._unreadableTopics.delete(topic);
    } else {
      this._unreadableTopics.add(topic);
    }
  }
}

function isFailure(result: unknown): boolean {
  return !(result as common.Outcome<unknown, unknown>).ok;
}
