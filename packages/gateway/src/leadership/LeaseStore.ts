import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { LeaseSnapshot, MetadataStore, StoreFailure, TablePosition } from '../contracts/MetadataStore.js';
import type { LeaseCall, LeaseReply } from '../peers/Types.js';

/** Longest wait for a peer's reply to a lease call, milliseconds. */
const peerCallTimeoutMs = 500;
/** For this long after a failed call to the store, peers are tried first, milliseconds. */
const peersFirstMs = 5_000;

/** Storage of the lease. */
export interface LeaseStore {
  readLease(): Promise<common.Outcome<LeaseSnapshot, StoreFailure>>;
  writeLease(expectedEnd: TablePosition, value: string): Promise<common.Outcome<number, StoreFailure>>;
}

/** The lease calls that daemons make for one another. */
export interface LeaseStoreMessages {
  serve(call: LeaseCall): Promise<LeaseReply>;
  applyReply(reply: LeaseReply): void;
}

/**
 * Reads and writes the lease in the store, or through a peer while this daemon does not reach the store. Every write is
 * conditional on the expected end, so a call without an answer and its repetition by a peer never both take effect.
 */
export class PeerAssistedLeaseStore implements LeaseStore, LeaseStoreMessages {
  private readonly _pending = new Map<number, (reply: LeaseReply) => void>();
  private _nextCall = 0;
  private _lastFailureMs = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly _store: MetadataStore,
    /** Sends a call to one peer; false if no peer is connected. */
    private readonly _sendToNextPeer: (call: LeaseCall) => boolean,
    private readonly _clock: Clock,
  ) {}

  public async readLease(): Promise<common.Outcome<LeaseSnapshot, StoreFailure>> {
    return this._callWithFallback(
      () => this._store.readLease(),
      async () => {
        const reply = await this._callPeer();
        return reply?.snapshot === undefined
          ? peerFailure(reply)
          : common.succeed({ ...reply.snapshot, era: reply.snapshot.era ?? this._knownEra });
      },
    );
  }

  public async writeLease(expectedEnd: TablePosition, value: string): Promise<common.Outcome<number, StoreFailure>> {
    return this._callWithFallback(
      () => this._store.writeLease(expectedEnd, value),
      async () => {
        const { offset, era } = expectedEnd;
        const reply = await this._callPeer({ expectedEnd: offset, era, value });
        return reply?.offset === undefined ? peerFailure(reply) : common.succeed(reply.offset);
      },
    );
  }

  /** Completes the call that a peer's reply answers. */
  public applyReply(reply: LeaseReply): void {
    this._pending.get(reply.call)?.(reply);
  }

  /** Carries out a call for a peer. */
  public async serve(call: LeaseCall): Promise<LeaseReply> {
    if (call.write === undefined) {
      const outcome = await this._store.readLease();
      return outcome.ok ? { call: call.call, snapshot: outcome.value } : { call: call.call, failure: outcome.failure };
    }
    const { expectedEnd: offset, era = this._knownEra, value } = call.write;
    const outcome = await this._store.writeLease({ era, offset }, value);
    return outcome.ok ? { call: call.call, offset: outcome.value } : { call: call.call, failure: outcome.failure };
  }

  /** The era for messages of earlier versions, which do not state one. */
  private get _knownEra(): number {
    return this._store.era.current ?? 0;
  }

  private async _callWithFallback<Value>(
    callStore: () => Promise<common.Outcome<Value, StoreFailure>>,
    callPeer: () => Promise<common.Outcome<Value, StoreFailure>>,
  ): Promise<common.Outcome<Value, StoreFailure>> {
    const peersFirst = this._clock.now().steadyMs - this._lastFailureMs < peersFirstMs;
    const first = peersFirst ? await callPeer() : await callStore();
    if (first.ok || first.failure.kind !== 'unavailable') {
      return first;
    }
    this._lastFailureMs = peersFirst ? this._lastFailureMs : this._clock.now().steadyMs;
    return peersFirst ? callStore() : callPeer();
  }

  private async _callPeer(write?: LeaseCall['write']): Promise<LeaseReply | undefined> {
    const call = this._nextCall;
    this._nextCall += 1;
    return new Promise((resolve) => {
      const finish = (reply: LeaseReply | undefined): void => {
        clearTimeout(timer);
        this._pending.delete(call);
        resolve(reply);
      };
      const timer = setTimeout(() => {
        finish(undefined);
      }, peerCallTimeoutMs);
      this._pending.set(call, finish);
      if (!this._sendToNextPeer({ call, ...(write && { write }) })) {
        finish(undefined);
      }
    });
  }
}

function peerFailure(reply: LeaseReply | undefined): common.Outcome<never, StoreFailure> {
  return common.fail(reply?.failure ?? { kind: 'unavailable', message: 'no peer made the call' });
}
