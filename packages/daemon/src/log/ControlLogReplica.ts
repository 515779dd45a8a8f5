import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { AppendFailure, ControlChange, ControlLog, LagStatus } from '../Types.js';
import type { TopicReplica } from './TopicReplica.js';
import type { TopicStateMachine } from './Types.js';

/** The control topic's replica. */
export type ControlReplica = TopicReplica<decisions.ControlRecordBody, decisions.ControlState>;

/** State machine of the control topic. */
export function controlStateMachine(): TopicStateMachine<decisions.ControlRecordBody, decisions.ControlState> {
  return {
    empty: decisions.emptyControlState(),
    parse: (value) => valueOf(decisions.parseControlRecord(value)),
    replay: (state, record) => decisions.replay(state, record),
    encode: (state) => decisions.encodeSnapshot(state),
    decode: (value) => valueOf(decisions.decodeSnapshot(value)),
  };
}

function valueOf<Value>(outcome: common.Outcome<Value, unknown>): Value | undefined {
  return outcome.ok ? outcome.value : undefined;
}

/** Retry delay returned to callers before the daemon has joined, milliseconds. */
const joinRetryAfterMs = 500;
/** Retry delay returned to operators while the state is being caught up, milliseconds. */
const catchUpRetryAfterMs = 1_000;

/** The replayed control topic as the rest of the daemon uses it. */
export class ControlLogReplica implements ControlLog {
  public constructor(
    public readonly incarnation: common.Incarnation,
    private readonly _replica: ControlReplica,
  ) {}

  public get state(): decisions.ControlState {
    return this._replica.state;
  }

  public get lag(): LagStatus {
    const appliedOffset = this._replica.nextOffset - 1;
    const highestSeenOffset = this._replica.highestSeenOffset;
    return {
      appliedOffset,
      highestSeenOffset,
      source: this._replica.source,
      // An isolated daemon receives no higher offset, but may still lag.
      lagging: highestSeenOffset > appliedOffset || this._replica.isIsolated,
      logAvailable: this._replica.isLogAvailable,
    };
  }

  public readonly onChange = (listener: (change: ControlChange) => void): common.Unsubscribe =>
    this._replica.onChange(listener);

  /** Whether this daemon's own `daemonJoined` is in force; its other records have no effect before that. */
  public get isJoined(): boolean {
    return this.state.daemons.has(this.incarnation);
  }

  public async append(
    body: decisions.ControlRecordBody,
    timeoutMs: number,
  ): Promise<common.Outcome<{ readonly offset: number }, AppendFailure>> {
    if (!this.isJoined && body.kind !== 'daemonJoined') {
      const message = 'the daemon has not joined yet';
      return common.fail({ kind: 'logUnavailable', message, retryAfterMs: joinRetryAfterMs });
    }
    // The verdict on an edit that a full state already contains is never seen, so none is sent before the state is current.
    if (isEdit(body) && this._replica.isCatchingUp) {
      const message = 'the daemon is catching up with the log';
      return common.fail({ kind: 'logUnavailable', message, retryAfterMs: catchUpRetryAfterMs });
    }
    const outcome = await this._replica.append(body, timeoutMs);
    if (!outcome.ok) {
      return outcome;
    }
    const { offset, verdict } = outcome.value;
    switch (verdict.kind) {
      case 'accepted':
        return common.succeed({ offset });
      case 'rejected':
        return common.fail(verdict);
      case 'duplicate':
        // The first copy is covered by a full state that was applied, so its verdict is not known here.
        return common.fail({ kind: 'unconfirmed', message: 'the verdict on the record was not seen' });
    }
  }
}

function isEdit({ kind }: decisions.ControlRecordBody): boolean {
  return kind === 'configurationEdited' || kind === 'configurationApproved';
}
