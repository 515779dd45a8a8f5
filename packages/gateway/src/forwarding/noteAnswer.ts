import type { ReplicaAnswer } from '../contracts/RequestCodec.js';
import type { Replica } from '../Types.js';
import type { ExchangeContext } from './Types.js';

/** Notes what the head of an answer says of its replica: its load, that it leaves, or that it wants no requests. */
export function noteAnswer(
  context: Pick<ExchangeContext, 'loads' | 'replicaLeaves'>,
  replica: Replica,
  answer: ReplicaAnswer,
  nowMs: number,
): void {
  if (answer.load !== undefined) {
    context.loads.recordTotal(replica.id, answer.load.running + answer.load.waiting, nowMs);
  }
  if (answer.leaving && !answer.otherReplica) {
    context.replicaLeaves(replica);
  }
  if (answer.status === 503 && answer.retryAfterMs !== undefined) {
    context.loads.recordBackoff(replica.id, answer.retryAfterMs, nowMs);
  }
}
