import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { ControlLog, DaemonContext } from '../Types.js';

const checkIntervalMs = 1000;

/**
 * Sets the limits that replay enforces from this daemon's settings, if none are set or if this daemon owns the cell.
 * A daemon with other settings uses the limits in force.
 */
export class LimitsKeeper extends common.Task<'check'> {
  private readonly _limits: decisions.ControlLimits;
  private readonly _logger: common.Logger;
  private readonly _unsubscribe: common.Unsubscribe;
  private _appending = false;
  /** Limits and claim under which replay refused the own settings; it would refuse them again. */
  private _refusedUnder: string | undefined;
  private _warnedOf: decisions.Offset | undefined;

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _log: ControlLog,
  ) {
    super();
    const { maximumConcurrentLoads, maximumAdaptersInTransit } = _context.settings.owner;
    this._limits = { maximumConcurrentLoads, maximumAdaptersInTransit, partners: _context.settings.partners };
    this._logger = _context.logger.child('log');
    this._unsubscribe = _log.onChange(({ record }) => {
      const { kind } = record.body;
      const isOwnJoin = kind === 'daemonJoined' && record.id.incarnation === _log.incarnation;
      if (isOwnJoin || kind === 'limitsSet' || kind === 'ownerClaimed') {
        // Not as a message: the first limits must be queued for the log before an edit that a caller makes.
        this._check();
      }
    });
    this.postEvery(checkIntervalMs, () => 'check');
  }

  /** Waits for the first limits, which edits need, but not while the log keeps this daemon from joining. */
  public opened(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        unsubscribe();
        resolve();
      };
      const timer = setTimeout(finish, timeoutMs);
      const check = (): void => {
        const { state } = this._log;
        if (state.limitsSetAt !== undefined || !state.daemons.has(this._log.incarnation)) {
          finish();
        }
      };
      const unsubscribe = this._log.onChange(check);
      check();
    });
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._unsubscribe();
    await super[Symbol.asyncDispose]();
  }

  protected override handle(): void {
    this._check();
  }

  private _check(): void {
    const { state } = this._log;
    const isCurrent = state.limitsSetAt !== undefined && decisions.areSameLimits(state.limits, this._limits);
    if (this._appending || isCurrent || state.daemons.get(this._log.incarnation)?.state !== 'joined') {
      return;
    }
    const claim = state.cells.get(this._context.settings.daemon.cell);
    const basis = `${state.limitsSetAt ?? ''}/${claim?.claim ?? ''}`;
    const maySet = state.limitsSetAt === undefined || claim?.owner === this._log.incarnation;
    if (maySet && basis !== this._refusedUnder) {
      void this._set(state.limitsSetAt ?? null, basis);
    } else if (state.limitsSetAt !== undefined && state.limitsSetAt !== this._warnedOf) {
      this._warnedOf = state.limitsSetAt;
      this._logger.warn('the settings differ from the limits in force, which are used', {
        ...{ inForce: state.limits, settings: this._limits },
      });
    }
  }

  private async _set(basedOn: decisions.Offset | null, basis: string): Promise<void> {
    this._appending = true;
    const body = { kind: 'limitsSet', basedOn, limits: this._limits } as const;
    const outcome = await this._log.append(body, this._context.settings.platform.logTimeoutMs);
    this._appending = false;
    if (outcome.ok) {
      this._logger.info('limits set', { limits: this._limits });
    } else if (outcome.failure.kind === 'rejected') {
      this._refusedUnder = basis;
      this._logger.info('limits were not set', { reason: outcome.failure.message });
    }
  }
}
