import type { SlownessByReplica } from './Types.js';

/** Relative change of a replica's slowness below which it is not sent again. */
const minimumChange = 0.12;
/** Least time between two messages, milliseconds: the lasting speed of replicas changes slowly. */
const intervalMs = 1_000;
/** Largest number of replicas in one message, so that a daemon's traffic does not grow with the installation. */
const maximumReplicas = 64;

/** Chooses the estimates to send to the followers: at intervals, those that differ from what was sent last. */
export class SpeedThrottle {
  private readonly _sent: Map<string, number>;
  private _lastSentMs = Number.NEGATIVE_INFINITY;

  /** `known` are the estimates of a former leader, which the followers may still use. */
  public constructor(known: SlownessByReplica = {}) {
    this._sent = new Map(Object.entries(known));
  }

  /** Returns the estimates to send now; undefined if there are none. */
  public next(slowness: SlownessByReplica, nowMs: number): SlownessByReplica | undefined {
    if (nowMs - this._lastSentMs < intervalMs) {
      return undefined;
    }
    const changed = Object.entries(slowness).filter(([id, factor]) => this._hasChanged(id, factor));
    if (changed.length === 0) {
      return undefined;
    }
    this._lastSentMs = nowMs;
    const sent = changed.slice(0, maximumReplicas).map(([id, factor]) => [id, rounded(factor)] as const);
    for (const [id, factor] of sent) {
      this._sent.set(id, factor);
    }
    return Object.fromEntries(sent);
  }

  /** All estimates that were sent, for a daemon that has just connected. */
  public get sent(): SlownessByReplica {
    return Object.fromEntries(this._sent);
  }

  /** Removes replicas that are gone. */
  public retain(isKnown: (replicaId: string) => boolean): void {
    for (const replicaId of this._sent.keys()) {
      if (!isKnown(replicaId)) {
        this._sent.delete(replicaId);
      }
    }
  }

  private _hasChanged(replicaId: string, factor: number): boolean {
    const sent = this._sent.get(replicaId) ?? 1;
    return Math.abs(factor - sent) > sent * minimumChange;
  }
}

/** Two decimals suffice, and keep the message short. */
function rounded(factor: number): number {
  return Math.round(factor * 100) / 100;
}
