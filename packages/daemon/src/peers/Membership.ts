import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import type { ControlLogReplica, ControlReplica } from '../log/ControlLogReplica.js';
import type { DaemonContext } from '../Types.js';
import type { PeerGroup } from './PeerGroup.js';

const joinTimeoutMs = 5000;
const joinRetryMs = 500;
const leaveTimeoutMs = 3000;

/** Joins and leaves the group, and updates its list of daemons from the control topic. */
export class Membership extends common.Task<'join'> {
  private readonly _unsubscribes: readonly common.Unsubscribe[];
  private readonly _caughtUp: Promise<void>;
  private readonly _removed = new common.Emitter<undefined>();
  private _wasJoined = false;
  private _leaving = false;
  private _stopped = false;

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _log: ControlLogReplica,
    private readonly _replica: ControlReplica,
    private readonly _group: PeerGroup,
  ) {
    super();
    this._unsubscribes = [
      _replica.onChange(({ state }) => {
        this._updateDaemons(state.daemons);
      }),
      _replica.onReplaced((state) => {
        this._updateDaemons(state.daemons);
      }),
    ];
    this._caughtUp = this._catchUp();
    this.post('join');
  }

  /**
   * Resolves once the daemon has joined or has the state of a peer, or after the timeout. Without the log the daemon
   * starts with the state of a peer, or with none, and joins later.
   */
  public async waitUntilOpened(timeoutMs: number): Promise<void> {
    const deadlineMs = this._context.now() + timeoutMs;
    while (!this._log.joined && this._context.now() < deadlineMs && !this._hasPeerState()) {
      await this._replica.waitFor(this._replica.nextOffset + 1, Math.min(100, deadlineMs - this._context.now()));
    }
  }

  /** Fires when another daemon has reported this incarnation gone. */
  public readonly onRemoved = (listener: () => void): common.Unsubscribe => this._removed.event(listener);

  /** Appends `daemonLeft`. Nothing may be appended afterwards. */
  public async leave(): Promise<void> {
    this._leaving = true;
    if (this._log.joined) {
      const outcome = await this._log.append({ kind: 'daemonLeft' }, leaveTimeoutMs);
      if (!outcome.ok) {
        this._context.logger.child('peers').warn('could not write daemonLeft', { failure: outcome.failure.kind });
      }
    }
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._stopped = true;
    for (const unsubscribe of this._unsubscribes) {
      unsubscribe();
    }
    await super[Symbol.asyncDispose]();
  }

  protected override handle(): void {
    // An incarnation that was reported gone must not join again: its unsent orders count as settled.
    if (!this._leaving && !this._stopped && !this._wasJoined) {
      void this._join().then(() => {
        this.postAfter(joinRetryMs, () => 'join');
      });
    }
  }

  private _updateDaemons(daemons: decisions.ControlState['daemons']): void {
    this._group.setDaemons(daemons);
    const isJoined = daemons.has(this._log.incarnation);
    if (this._wasJoined && !isJoined && !this._leaving) {
      this._context.logger.child('peers').error('another daemon has reported this incarnation gone');
      this._removed.fire(undefined);
    }
    this._wasJoined ||= isJoined;
  }

  private _hasPeerState(): boolean {
    return this._replica.nextOffset > 0 && !this._replica.isReadingFromLog;
  }

  private async _catchUp(): Promise<void> {
    await this._replica.catchUp(this._context.settings.platform.logTimeoutMs);
  }

  private async _join(): Promise<void> {
    await this._caughtUp;
    const { daemon, listen } = this._context.settings;
    await this._log.append(
      {
        kind: 'daemonJoined',
        daemon: daemon.name,
        vm: daemon.vm,
        failureDomain: daemon.failureDomain,
        peers: this._group.address,
        operators: listen.operators,
      },
      joinTimeoutMs,
    );
  }
}
