/** Replicas of a small topic for tests: the state lists the values that took effect, in order. */
import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import { LogHealth } from '../LogHealth.js';
import { TopicReplica } from '../TopicReplica.js';
import type { PeerSource, TopicStateMachine } from '../Types.js';
import { FakeLogClient, type FakeLog } from './FakeLogClient.js';
import { testContext, testSettings } from './support.js';

export interface NumberBody {
  readonly value: number;
}

export interface NumberState {
  readonly lastSequences: Readonly<Record<string, number>>;
  readonly values: readonly number[];
}

export type NumberReplica = TopicReplica<NumberBody, NumberState>;

export const topicName = 'numbers';

/** Accepts every number that is not negative. */
export const numberStateMachine: TopicStateMachine<NumberBody, NumberState> = {
  empty: { lastSequences: {}, values: [] },
  parse: (value) => {
    const envelope = value as decisions.RecordEnvelope<NumberBody>;
    return typeof envelope.body.value === 'number' ? envelope : undefined;
  },
  replay: (state, { id, body }) => {
    if (id.sequence <= (state.lastSequences[id.incarnation] ?? 0)) {
      return { state, verdict: { kind: 'duplicate' } };
    }
    const lastSequences = { ...state.lastSequences, [id.incarnation]: id.sequence };
    return body.value < 0
      ? { state: { ...state, lastSequences }, verdict: { kind: 'rejected', rule: 'invalidValue', message: 'negative' } }
      : { state: { lastSequences, values: [...state.values, body.value] }, verdict: { kind: 'accepted' } };
  },
  encode: (state) => state,
  decode: (value) => value as NumberState,
};

/** No peers. */
export const noPeers: PeerSource = {
  recordsAfter: () => Promise.resolve(undefined),
  state: () => Promise.resolve(undefined),
};

/** A replica with its own client. */
export function openNumberReplica(
  log: FakeLog,
  incarnation: string,
  peers: PeerSource = noPeers,
): { readonly replica: NumberReplica; readonly client: FakeLogClient } {
  const context = testContext(testSettings(incarnation, ''));
  const { logger, now, wallNow } = context;
  const client = new FakeLogClient(log);
  const replica = new TopicReplica(
    { incarnation, logger, clock: new common.HybridClock(), now, wallNow },
    { topic: topicName, stateMachine: numberStateMachine, client, health: new LogHealth(now), peers, timeoutMs: 300 },
  );
  return { replica, client };
}

/** Reads records and states directly from another replica. */
export function peerSourceOf(replica: () => NumberReplica | undefined): PeerSource {
  return {
    recordsAfter: (_topic, offset) => replica()?.recordsAfter(offset, 100) ?? Promise.resolve(undefined),
    state: () => Promise.resolve(replica()?.image()),
  };
}
