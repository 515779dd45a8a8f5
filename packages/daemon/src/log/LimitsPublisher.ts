import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { ControlLog, DaemonContext } from '../Types.js';

const checkIntervalMs = 1000;

/**
 * Appends the limits from this daemon's settings, which replay enforces on every daemon, if none are set or if this
 * daemon owns the cell. A daemon whose settings differ uses the limits in force.
 */
export class LimitsPublisher extends common.Task<'check'> {
  private readonly _limits: decisions.ControlLimits;
  private readonly _logger: common.Logger;
  private readonly _unsubscribe: common.Unsubscribe;
  private _appending = false;
  /** Limits and claim under which replay rejected this daemon's limits; it would reject them again. */
  private _rejectedBasis: string | undefined;
  private _warnedOffset: decisions.Offset | undefined;

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
        // Called directly, not posted: the first limits must be queued for the log before any edit by a caller.
        this._check();
      }
    });
    this.postEvery(checkIntervalMs, () => 'check');
  }

  /** Waits for the first limits, which edits require. Returns at once while this daemon has not joined. */
  public waitForFirstLimits(timeoutMs: number): Promise<void> {
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
    if (maySet && basis !== this._rejectedBasis) {
      void this._appendLimits(state.limitsSetAt ?? null, basis);
    } else if (state.limitsSetAt !== undefined && state.limitsSetAt !== this._warnedOffset) {
      this._warnedOffset = state.limitsSetAt;
      this._logger.warn('settings differ from the limits in force; using the limits in force', {
        ...{ inForce: state.limits, settings: this._limits },
      });
    }
  }

  private async _appendLimits(basedOn: decisions.Offset | null, basis: string): Promise<void> {
    this._appending = true;
    const body = { kind: 'limitsSet', basedOn, limits: this._limits } as const;
    const outcome = await this._log.append(body, this._context.settings.platform.logTimeoutMs);
    this._appending = false;
    if (outcome.ok) {
      this._logger.info('limits set', { limits: this._limits });
    } else if (outcome.failure.kind === 'rejected') {
      this._rejectedBasis = basis;
      this._logger.info('replay rejected the limits', { reason: outcome.failure.message });
    }
  }
}
