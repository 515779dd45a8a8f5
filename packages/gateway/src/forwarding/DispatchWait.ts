import type { Replica } from '../Types.js';
import { RequestWait } from '../waiting/RequestWait.js';
import type { WaitReason } from '../waiting/WaitingMetrics.js';
import type { WaitingRequest } from '../waiting/WaitingRequests.js';
import { type WaitDispatch, waitReason } from './decideDispatch.js';
import type { ExchangeContext } from './Types.js';

/** What a waiting request is, apart from what it waits for. */
export type DispatchDemand = Omit<WaitingRequest, 'limitedReplicaId' | 'heldFor'>;

/** The wait of one request for a replica that can take it: for its model, a permit, a slot or a trial. */
export class DispatchWait {
  private readonly _wait: RequestWait;
  /** Replica with a rate limit that the request waits for a permit of. */
  private _limitedReplicaId: Replica['id'] | undefined;
  /** Full replicas for which the request is held. */
  private _heldFor: string | undefined;
  private _reason: WaitReason | undefined;
  private _demand: DispatchDemand | undefined;

  public constructor(
    private readonly _context: Pick<
      ExchangeContext,
      'waitingRequests' | 'waitingMetrics' | 'rateLimits' | 'notifyWaitStarted'
    >,
    private readonly _nowMs: () => number,
  ) {
    this._wait = new RequestWait(_context.waitingRequests);
  }

  /** What the request waited for last. */
  public get reason(): WaitReason | undefined {
    return this._reason;
  }

  /** Time waited so far, milliseconds. */
  public waitedMs(nowMs: number): number {
    return this._wait.waitedMs(nowMs);
  }

  public stop(nowMs: number): void {
    this._wait.stop(nowMs);
  }

  /**
   * Begins to wait, or goes on waiting for something else. The request is dispatched again at intervals, after a call of
   * `onInterval`.
   */
  public start(
    decision: WaitDispatch,
    createDemand: () => DispatchDemand,
    onInterval: () => void,
    nowMs: number,
  ): void {
    const { limitedReplicaId, heldFor } = decision;
    const needsOtherPermit = limitedReplicaId !== undefined && limitedReplicaId !== this._limitedReplicaId;
    this._heldFor = heldFor;
    this._limitedReplicaId = limitedReplicaId;
    this._countReason(waitReason(decision));
    const recheck = (): void => {
      onInterval();
      this._redispatch();
    };
    const hasStarted = this._wait.start(() => this._createRequest(createDemand()), recheck, nowMs);
    if (needsOtherPermit) {
      this._context.rateLimits.recordWait();
    }
    if ((hasStarted || needsOtherPermit) && heldFor === undefined) {
      this._context.notifyWaitStarted();
    }
  }

  private _countReason(reason: WaitReason): void {
    if (reason !== this._reason) {
      this._reason = reason;
      this._context.waitingMetrics.countWait(reason);
    }
  }

  private _createRequest(demand: DispatchDemand): WaitingRequest {
    this._demand = demand;
    return { ...demand, limitedReplicaId: () => this._limitedReplicaId, heldFor: () => this._heldFor };
  }

  /** A held request is sent in its turn. */
  private _redispatch(): void {
    if (this._heldFor === undefined) {
      this._demand?.redispatch();
    } else {
      this._context.waitingRequests.redispatchHeld(this._nowMs());
    }
  }
}
