import * as common from '@jayhaven/common';
import type {
  ControlPlane,
  DaemonContext,
  OwnerClient,
  UsageEntry,
  WakeAnswer,
  WakeFailure,
  WakeRequest,
} from '../Types.js';
import type { Lease } from './Lease.js';
import { wakeResultSchema, type WakeResult } from './schemas.js';

/** Timeout of one call to the owner, milliseconds. */
const callTimeoutMs = 2_000;
/** Pause before the owner is called again; a change of owner ends it early. */
const retryIntervalMs = 100;
/** Time beyond the lease that another daemon gets to claim the cell. */
const claimAllowanceMs = 2_000;
const noOwnerRetryMs = 1_000;
const logUnavailableRetryMs = 5_000;

/** Calls the owner of the cell, in this daemon or another. */
export class OwnerCaller implements OwnerClient {
  public constructor(
    private readonly _context: DaemonContext,
    private readonly _control: ControlPlane,
    private readonly _lease: Lease,
  ) {}

  public async wake(request: WakeRequest): Promise<common.Outcome<WakeAnswer, WakeFailure>> {
    const { leaseMs } = this._context.settings.owner;
    const startedMs = this._context.now();
    const waitLimitMs = Math.min(request.remainingMs, leaseMs + claimAllowanceMs);
    for (;;) {
      if (!this._control.log.lag.logAvailable) {
        const message = 'the log is unavailable, so no load can be decided';
        return common.fail({ kind: 'logUnavailable', message, retryAfterMs: logUnavailableRetryMs });
      }
      const elapsedMs = this._context.now() - startedMs;
      const answer = await this._sendWake({ ...request, remainingMs: Math.max(0, request.remainingMs - elapsedMs) });
      if (answer !== undefined && answer.kind !== 'notOwner') {
        return common.succeed(answer);
      }
      if (this._context.now() - startedMs + retryIntervalMs > waitLimitMs) {
        const message = 'no daemon owns the cell now';
        return common.fail({ kind: 'noOwner', message, retryAfterMs: noOwnerRetryMs });
      }
      await this._waitForOwnerChange(retryIntervalMs);
    }
  }

  public reportUsage(entries: readonly UsageEntry[]): void {
    const owner = this._owner;
    if (owner !== null) {
      void this._control.peers.call(owner, 'owner.usage', { entries }, callTimeoutMs);
    }
  }

  private get _owner(): common.Incarnation | null {
    return this._control.log.state.cells.get(this._context.settings.daemon.cell)?.owner ?? null;
  }

  private async _sendWake(request: WakeRequest): Promise<WakeResult | undefined> {
    const owner = this._owner;
    if (owner === null) {
      return undefined;
    }
    const outcome = await this._control.peers.call(owner, 'owner.wake', request, callTimeoutMs);
    this._lease.recordOwnerContact(owner, !outcome.ok && outcome.failure.kind === 'refused');
    const parsed = outcome.ok ? wakeResultSchema.safeParse(outcome.value) : undefined;
    return parsed?.success === true ? parsed.data : undefined;
  }

  /** Resolves when the cell has another owner, or after the given time. */
  private _waitForOwnerChange(durationMs: number): Promise<void> {
    const before = this._owner;
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        unsubscribe();
        resolve();
      };
      const timer = setTimeout(finish, durationMs);
      const unsubscribe = this._control.log.onChange(() => {
        if (this._owner !== before && this._owner !== null) {
          finish();
        }
      });
    });
  }
}
