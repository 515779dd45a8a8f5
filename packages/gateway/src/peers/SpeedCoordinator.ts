import type { LastingSpeeds } from '../speeds/LastingSpeeds.js';
import { SpeedEstimator } from '../speeds/SpeedEstimator.js';
import { SpeedThrottle } from '../speeds/SpeedThrottle.js';
import type { PeerClient } from './PeerClient.js';
import type { PeerServer } from './PeerServer.js';
import type { DaemonReport } from './Types.js';

/** Exchanges the speeds of replicas: the leader estimates them from the reports of all daemons and sends them to these. */
export class SpeedCoordinator {
  private _estimator = new SpeedEstimator();
  private _throttle = new SpeedThrottle();
  private _wasLeading = false;

  public constructor(
    private readonly _speeds: LastingSpeeds,
    private readonly _server: Pick<PeerServer, 'broadcast' | 'onJoined' | 'onMessage'>,
    client: Pick<PeerClient, 'onMessage'>,
    private readonly _isLeading: () => boolean,
  ) {
    _server.onJoined((channel) => {
      const { sent } = this._throttle;
      if (Object.keys(sent).length > 0) {
        channel.send('speeds', { slowness: sent });
      }
    });
    _server.onMessage(({ message }) => {
      if (message.method === 'report') {
        this.applyReport(message.params);
      }
    });
    client.onMessage((message) => {
      if (message.method === 'speeds') {
        _speeds.apply(message.params.slowness);
      }
    });
  }

  /** Applies the report of a daemon, this one included, if this daemon leads. */
  public applyReport({ speeds }: DaemonReport): void {
    if (speeds !== undefined && this._isLeading()) {
      this._estimator.apply(speeds);
    }
  }

  /** Sends changed estimates if this daemon leads, and removes what concerns replicas that are gone. */
  public tick(isKnown: (replicaId: string) => boolean, nowMs: number): void {
    this._speeds.retain(isKnown);
    const isLeading = this._isLeading();
    if (isLeading && !this._wasLeading) {
      this._estimator = new SpeedEstimator();
      this._throttle = new SpeedThrottle(this._speeds.all);
    }
    this._wasLeading = isLeading;
    if (!isLeading) {
      return;
    }
    this._estimator.retain(isKnown);
    this._throttle.retain(isKnown);
    const slowness = this._throttle.next(this._estimator.slowness(), nowMs);
    if (slowness !== undefined) {
      this._speeds.apply(slowness);
      this._server.broadcast('speeds', { slowness });
    }
  }
}
