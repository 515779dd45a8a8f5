import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type {
  AppendFailure,
  ClaimsClient,
  ControlChange,
  ControlLog,
  ControlPlane,
  LagStatus,
  PeerFailure,
  PeerMember,
  Peers,
} from '../../Types.js';
import type { MemoryLog } from './MemoryLog.js';

export const testLimits: decisions.ControlLimits = {
  maximumConcurrentLoads: 4,
  maximumAdaptersInTransit: 30,
  partners: ['solano', 'cascade'],
};

type Handler = (parameters: unknown, caller: common.Incarnation) => Promise<unknown>;

/** Control plane of one daemon in a test. It can be paused, like a suspended process, or killed. */
export class MemoryControl implements ControlPlane, ControlLog, Peers {
  public readonly log = this;
  public readonly peers = this;
  public readonly claims = undefined as unknown as ClaimsClient;
  public state = decisions.emptyControlState(testLimits);
  public killed = false;
  /** Called before a record is appended; may pause or kill the daemon. */
  public beforeAppend: (body: decisions.ControlRecordBody) => void = () => undefined;
  private readonly _changes = new common.Emitter<ControlChange>();
  private readonly _memberChanges = new common.Emitter<undefined>();
  private readonly _leavingHints = new common.Emitter<readonly common.VmName[]>();
  private readonly _handlers = new Map<string, Handler>();
  private readonly _waiters = new Map<number, (outcome: common.Outcome<{ offset: number }, AppendFailure>) => void>();
  private _sequence = 0;
  private _paused = false;
  private _onResume: (() => void)[] = [];
  private _nextOffset = 0;

  public constructor(
    public readonly incarnation: common.Incarnation,
    private readonly _memory: MemoryLog,
    private readonly _group: MemoryControl[],
  ) {
    _group.push(this);
    _memory.subscribe(() => {
      this._read();
    });
    const address = { host: '127.0.0.1', port: 1 };
    this._send({
      ...{ kind: 'daemonJoined', daemon: incarnation, vm: `vm-${incarnation}`, failureDomain: 'a' },
      ...{ peers: address, operators: address },
    });
    this._read();
  }

  public get onChange(): ControlLog['onChange'] {
    return this._changes.event;
  }

  public get onMembersChanged(): Peers['onMembersChanged'] {
    return (listener) => this._memberChanges.event(listener);
  }

  public get onLeavingHints(): Peers['onLeavingHints'] {
    return this._leavingHints.event;
  }

  public get lag(): LagStatus {
    const highestSeenOffset = this._memory.records.length - 1;
    const { appliedOffset } = this.state;
    const logAvailable = this._memory.available;
    return { appliedOffset, highestSeenOffset, source: 'log', lagging: false, logAvailable };
  }

  public get members(): readonly PeerMember[] {
    return this._group
      .filter((member) => !member.killed)
      .map(({ incarnation, paused }) => {
        const self = incarnation === this.incarnation;
        return { incarnation, daemon: incarnation, failureDomain: 'a', suspected: paused, self };
      });
  }

  /** Whether the daemon is paused: it reads nothing, and its appends are sent when it resumes. */
  public get paused(): boolean {
    return this._paused;
  }

  public set paused(paused: boolean) {
    this._paused = paused;
    if (!paused) {
      this._read();
      for (const resume of this._onResume.splice(0)) {
        resume();
      }
    }
  }

  public append(
    body: decisions.ControlRecordBody,
  ): Promise<common.Outcome<{ readonly offset: number }, AppendFailure>> {
    if (!this._memory.available) {
      return Promise.resolve(common.fail({ kind: 'logUnavailable', message: 'log is down', retryAfterMs: 1_000 }));
    }
    this.beforeAppend(body);
    return new Promise((resolve) => {
      const send = (): void => {
        if (!this.killed) {
          this._waiters.set(this._send(body), resolve);
        }
      };
      if (this._paused) {
        this._onResume.push(send);
      } else if (this._memory.delayMs > 0) {
        setTimeout(send, this._memory.delayMs);
      } else {
        send();
      }
    });
  }

  public async call(
    incarnation: common.Incarnation,
    method: string,
    parameters: unknown,
  ): Promise<common.Outcome<unknown, PeerFailure>> {
    const peer = this._group.find((member) => member.incarnation === incarnation);
    if (peer === undefined || peer.killed) {
      return common.fail({ kind: 'refused', message: 'connection refused' });
    }
    if (peer._paused) {
      return common.fail({ kind: 'timeout', message: 'no answer' });
    }
    const handler = peer._handlers.get(method);
    return handler === undefined
      ? common.fail({ kind: 'error', message: `no method ${method}` })
      : common.succeed(await handler(parameters, this.incarnation));
  }

  public handle(method: string, handler: Handler): void {
    this._handlers.set(method, handler);
  }

  public setLeavingHints(vms: readonly common.VmName[]): void {
    for (const member of this._group) {
      if (member !== this) {
        setImmediate(() => {
          member._leavingHints.fire(vms);
        });
      }
    }
  }

  public leave(): Promise<void> {
    this._send({ kind: 'daemonLeft' });
    return Promise.resolve();
  }

  public [Symbol.asyncDispose](): Promise<void> {
    this.killed = true;
    return Promise.resolve();
  }

  private _send(body: decisions.ControlRecordBody): decisions.Offset {
    this._sequence += 1;
    const id = { incarnation: this.incarnation, sequence: this._sequence };
    return this._memory.append({ id, clock: { wallMs: Date.now(), counter: 0 }, body });
  }

  private _read(): void {
    while (!this._paused && !this.killed && this._nextOffset < this._memory.records.length) {
      const record = this._memory.records[this._nextOffset];
      this._nextOffset += 1;
      if (record !== undefined) {
        this._apply(record);
      }
    }
  }

  private _apply(record: decisions.ControlRecord): void {
    const { state, verdict } = decisions.replay(this.state, record);
    this.state = state;
    this._changes.fire({ record, verdict, state });
    const waiter = this._waiters.get(record.offset);
    this._waiters.delete(record.offset);
    if (verdict.kind === 'rejected') {
      waiter?.(common.fail({ kind: 'rejected', rule: verdict.rule, message: verdict.message }));
    } else {
      waiter?.(common.succeed({ offset: record.offset }));
    }
  }
}
