import type { DaemonReport, EstimatesMessage, ReadyEstimate } from './Types.js';

/** A peer as far as it is sent messages. */
export interface EstimateReceiver {
  send(method: 'estimates', params: EstimatesMessage): void;
}

/** An estimate that moved by less than this is not sent again at once, milliseconds. */
const toleranceMs = 150;
/** Estimates are repeated after this time, milliseconds; the receiver forgets them after about three. */
const repeatMs = 400;

interface Waiting {
  readonly models: ReadonlySet<string>;
  sent: ReadonlyMap<string, number>;
  sentMs: number;
}

/**
 * The peers whose requests wait for models. Only they are told when these models are ready, so that the leader's
 * messages follow the requests that wait and not the number of daemons.
 */
export class WaitingPeers<Peer extends EstimateReceiver & object> {
  private readonly _waiting = new Map<Peer, Waiting>();

  /** Takes over what a peer's requests wait for. */
  public applyReport(peer: Peer, report: DaemonReport): void {
    if (report.waiting.length === 0) {
      this._waiting.delete(peer);
      return;
    }
    const known = this._waiting.get(peer);
    this._waiting.set(peer, {
      models: new Set(report.waiting.map(({ target }) => target.model)),
      sent: known?.sent ?? new Map<string, number>(),
      sentMs: known?.sentMs ?? Number.NEGATIVE_INFINITY,
    });
  }

  public remove(peer: Peer): void {
    this._waiting.delete(peer);
  }

  /** Peers whose requests wait for one of the models. */
  public waitingFor(models: ReadonlySet<string>): readonly Peer[] {
    const isConcerned = ([, waiting]: readonly [Peer, Waiting]): boolean =>
      [...waiting.models].some((model) => models.has(model));
    return [...this._waiting].filter(isConcerned).map(([peer]) => peer);
  }

  /** Tells each peer the estimates for its models, if one has moved or the last message is old. */
  public tell(estimates: readonly ReadyEstimate[], nowMs: number): void {
    for (const [peer, waiting] of this._waiting) {
      const own = estimates.filter(({ model }) => waiting.models.has(model));
      if (nowMs - waiting.sentMs >= repeatMs || hasMoved(waiting.sent, own)) {
        waiting.sent = new Map(own.map(({ model, readyInMs }) => [model, readyInMs]));
        waiting.sentMs = nowMs;
        peer.send('estimates', { estimates: own });
      }
    }
  }
}

function hasMoved(before: ReadonlyMap<string, number>, after: readonly ReadyEstimate[]): boolean {
  return (
    before.size !== after.length ||
    after.some(({ model, readyInMs }) => {
      const known = before.get(model);
      return known === undefined || Math.abs(known - readyInMs) >= toleranceMs;
    })
  );
}
