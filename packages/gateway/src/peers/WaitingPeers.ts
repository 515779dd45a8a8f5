import type { DaemonReport, EstimatesMessage, ReadyEstimate } from './Types.js';

/** A peer that can be sent estimates. */
export interface EstimateReceiver {
  send(method: 'estimates', params: EstimatesMessage): void;
}

/** An estimate that changed by less than this is not sent again at once, milliseconds. */
const toleranceMs = 150;
/** Interval at which unchanged estimates are repeated, milliseconds; a receiver discards them after about three intervals. */
const repeatMs = 400;

interface WaitingState {
  readonly models: ReadonlySet<string>;
  sentEstimates: ReadonlyMap<string, number>;
  sentMs: number;
}

/**
 * The peers whose requests wait for models. Only they receive estimates of when these models are ready, so that the
 * number of the leader's messages depends on the waiting requests and not on the number of daemons.
 */
export class WaitingPeers<Peer extends EstimateReceiver & object> {
  private readonly _waiting = new Map<Peer, WaitingState>();

  /** Updates the models that a peer's requests wait for. */
  public applyReport(peer: Peer, report: DaemonReport): void {
    if (report.waiting.length === 0) {
      this._waiting.delete(peer);
      return;
    }
    const previous = this._waiting.get(peer);
    this._waiting.set(peer, {
      models: new Set(report.waiting.map(({ target }) => target.model)),
      sentEstimates: previous?.sentEstimates ?? new Map<string, number>(),
      sentMs: previous?.sentMs ?? Number.NEGATIVE_INFINITY,
    });
  }

  public remove(peer: Peer): void {
    this._waiting.delete(peer);
  }

  /** Peers whose requests wait for one of the models. */
  public waitingFor(models: ReadonlySet<string>): readonly Peer[] {
    const waitsForAny = ([, waiting]: readonly [Peer, WaitingState]): boolean =>
      [...waiting.models].some((model) => models.has(model));
    return [...this._waiting].filter(waitsForAny).map(([peer]) => peer);
  }

  /** Sends each peer the estimates for its models, if one has changed or the last message is at least `repeatMs` old. */
  public sendEstimates(estimates: readonly ReadyEstimate[], nowMs: number): void {
    for (const [peer, waiting] of this._waiting) {
      const relevant = estimates.filter(({ model }) => waiting.models.has(model));
      if (nowMs - waiting.sentMs >= repeatMs || hasChanged(waiting.sentEstimates, relevant)) {
        waiting.sentEstimates = new Map(relevant.map(({ model, readyInMs }) => [model, readyInMs]));
        waiting.sentMs = nowMs;
        peer.send('estimates', { estimates: relevant });
      }
    }
  }
}

function hasChanged(before: ReadonlyMap<string, number>, after: readonly ReadyEstimate[]): boolean {
  return (
    before.size !== after.length ||
    after.some(({ model, readyInMs }) => {
      const previousMs = before.get(model);
      return previousMs === undefined || Math.abs(previousMs - readyInMs) >= toleranceMs;
    })
  );
}
