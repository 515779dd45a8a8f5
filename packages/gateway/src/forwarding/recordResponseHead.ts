import type { ResponseHead } from '../contracts/RequestCodec.js';
import type { Replica } from '../Types.js';
import type { ExchangeContext } from './Types.js';

/** Records what a response head reports about its replica: its load, its rate limit, that it leaves, or that it rejects requests. */
export function recordResponseHead(
  context: Pick<ExchangeContext, 'loads' | 'markReplicaLeaving' | 'rateLimits'>,
  replica: Replica,
  head: ResponseHead,
  nowMs: number,
): void {
  if (head.load !== undefined) {
    context.loads.recordTotal(replica.id, head.load.running + head.load.waiting, nowMs);
  }
  if (!head.fromOtherReplica) {
    context.rateLimits.recordResponse(replica, head.rateLimitPerSecond, nowMs);
  }
  if (head.leaving && !head.fromOtherReplica) {
    context.markReplicaLeaving(replica);
  }
  if (head.status === 503 && head.retryAfterMs !== undefined) {
    context.loads.recordBackoff(replica.id, head.retryAfterMs, nowMs);
  }
}
