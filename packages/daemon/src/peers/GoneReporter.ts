import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { ControlChange, ControlLog, DaemonContext, Peers } from '../Types.js';

const checkIntervalMs = 500;
/** Time before the next daemon in the ranking tries to report, milliseconds. */
const reporterIntervalMs = 2000;
const appendTimeoutMs = 5000;

type Evidence = decisions.IncarnationGone['evidence'];

interface Candidate {
  readonly evidence: Evidence;
  readonly sinceMs: number;
}

/**
 * Appends `incarnationGone` once the evidence is older than the longest delivery time of an order. Rendezvous hashing
 * ranks the daemons; the next one tries if the record of the previous one does not appear.
 */
export class GoneReporter extends common.Task<'check'> {
  private readonly _candidates = new Map<common.Incarnation, Candidate>();
  private readonly _appending = new Set<common.Incarnation>();
  private readonly _unsubscribe: common.Unsubscribe;

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _log: ControlLog,
    private readonly _peers: Peers,
  ) {
    super();
    this._unsubscribe = _log.onChange((change) => {
      this._updateVmCandidates(change);
    });
    this.postEvery(checkIntervalMs, () => 'check');
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._unsubscribe();
    await super[Symbol.asyncDispose]();
  }

  protected override handle(): void {
    const nowMs = this._context.now();
    const { daemons } = this._log.state;
    if (daemons.get(this._log.incarnation)?.state !== 'joined') {
      // A replaced incarnation that was paused must not report itself gone while it may still send orders.
      return;
    }
    for (const entry of daemons.values()) {
      if (entry.state === 'replaced' && !this._candidates.has(entry.incarnation)) {
        this._candidates.set(entry.incarnation, { evidence: 'successorStarted', sinceMs: nowMs });
      }
    }
    for (const [incarnation, candidate] of this._candidates) {
      if (!daemons.has(incarnation)) {
        this._candidates.delete(incarnation);
      } else if (this._isDue(incarnation, candidate, nowMs)) {
        void this._report(incarnation, candidate.evidence);
      }
    }
  }

  /** Only daemons that joined before their VM was observed gone are candidates; a later one runs on a new VM. */
  private _updateVmCandidates({ record, verdict, state }: ControlChange): void {
    if (record.body.kind !== 'vmObserved' || verdict.kind !== 'accepted') {
      return;
    }
    const { vm, state: observedState } = record.body;
    for (const entry of state.daemons.values()) {
      const candidate = this._candidates.get(entry.incarnation);
      if (entry.vm !== vm) {
        continue;
      }
      if (observedState !== 'gone' && candidate?.evidence === 'vmGone') {
        this._candidates.delete(entry.incarnation);
      } else if (observedState === 'gone' && !candidate) {
        this._candidates.set(entry.incarnation, { evidence: 'vmGone', sinceMs: this._context.now() });
      }
    }
  }

  private _isDue(incarnation: common.Incarnation, candidate: Candidate, nowMs: number): boolean {
    const live = this._peers.members.filter((member) => !member.suspected).map((member) => member.incarnation);
    const rank = decisions.rankByRendezvous(`gone/${incarnation}`, live).indexOf(this._log.incarnation);
    const dueMs = candidate.sinceMs + this._context.settings.owner.orderDeliveryMs + rank * reporterIntervalMs;
    return rank >= 0 && nowMs >= dueMs && !this._appending.has(incarnation);
  }

  private async _report(incarnation: common.Incarnation, evidence: Evidence): Promise<void> {
    this._appending.add(incarnation);
    const body: decisions.IncarnationGone = { kind: 'incarnationGone', incarnation, evidence };
    const outcome = await this._log.append(body, appendTimeoutMs);
    this._appending.delete(incarnation);
    if (outcome.ok) {
      this._context.logger.child('peers').info('reported that an incarnation is gone', { incarnation, evidence });
    }
  }
}
