import type * as common from '@jayhaven/common';
import { pause } from '../pause.js';
import type { KnownLeader, LeaderAnnouncement } from './KnownLeader.js';

/** Pause after the first announcement without an answer, milliseconds; it doubles with each further one. */
const firstRetryMs = 500;
/** Longest pause between two announcements to one daemon, milliseconds. */
const maximumRetryMs = 10_000;

/** Sends announcements to daemons that do not follow this one. */
export interface AnnouncementSender {
  /** Returns the leader that the daemon at the address knows after the announcement; undefined without an answer. */
  announce(address: string, leader: LeaderAnnouncement): Promise<LeaderAnnouncement | undefined>;
}

/** Announces this daemon, when it takes the lease over, to the daemons that others may follow: earlier leaders and seeds. */
export class LeaderAnnouncer implements AsyncDisposable {
  private _isStopped = false;

  public constructor(
    private readonly _knownLeader: KnownLeader,
    /** Addresses of the seeds without this daemon, `ip:port`. */
    private readonly _seeds: readonly string[],
    private readonly _sender: AnnouncementSender,
    /** True while this daemon holds the lease. */
    private readonly _isHolder: () => boolean,
    private readonly _log: common.Logger,
  ) {
    _knownLeader.onChanged((leader) => {
      if (_knownLeader.isSelf) {
        this._announceToAll(leader);
      }
    });
  }

  public [Symbol.asyncDispose](): Promise<void> {
    this._isStopped = true;
    return Promise.resolve();
  }

  private _announceToAll(leader: LeaderAnnouncement): void {
    for (const address of new Set([...this._knownLeader.recentAddresses, ...this._seeds])) {
      void this._announceUntilAnswered(address, leader);
    }
  }

  private async _announceUntilAnswered(address: string, leader: LeaderAnnouncement): Promise<void> {
    for (let retryMs = firstRetryMs; this._isCurrent(leader); retryMs = Math.min(retryMs * 2, maximumRetryMs)) {
      const known = await this._sender.announce(address, leader);
      if (known !== undefined) {
        this._log.info('Announced the lease.', { address, term: leader.term, known: known.holder });
        this._knownLeader.learnFromPeer(known);
        return;
      }
      if (retryMs === firstRetryMs) {
        this._log.info('An announcement of the lease is not answered; repeating it.', { address, term: leader.term });
      }
      await pause(retryMs);
    }
  }

  private _isCurrent(leader: LeaderAnnouncement): boolean {
    return !this._isStopped && this._isHolder() && this._knownLeader.current === leader;
  }
}
