import type { ResponseHead } from '../contracts/RequestCodec.js';
import type { ModelReference, Replica } from '../Types.js';
import type { ExchangeContext } from './Types.js';

/** Time for which no request is sent to a replica after another one has answered at its address, milliseconds. */
const otherReplicaBackoffMs = 800;

/** Records what a response head reports about its replica: its load, its rate limit, that it leaves, that it rejects requests, or that it lacks a model. */
export function recordResponseHead(
  context: Pick<ExchangeContext, 'loads' | 'markReplicaLeaving' | 'rateLimits' | 'choiceMetrics' | 'log'>,
  replica: Replica,
  modelReference: ModelReference | undefined,
  head: ResponseHead,
  nowMs: number,
): void {
  const isNamedOther = head.replicaId !== undefined && head.replicaId !== replica.id;
  if (head.load !== undefined && !isNamedOther) {
    context.loads.recordReport(replica.id, head.load, nowMs);
  }
  if (head.fromOtherReplica && isNamedOther) {
    // Another replica has the address. This stays at this daemon: a report of it could be wrong for the others.
    context.loads.recordBackoff(replica.id, otherReplicaBackoffMs, nowMs);
  } else if (head.fromOtherReplica && modelReference !== undefined) {
    recordAbsentModel(context, replica, modelReference);
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

function recordAbsentModel(
  { loads, choiceMetrics, log }: Pick<ExchangeContext, 'loads' | 'choiceMetrics' | 'log'>,
  replica: Replica,
  modelReference: ModelReference,
): void {
  if (loads.absentModels.record(replica, modelReference)) {
    choiceMetrics.recordAbsentModel();
    const { id, bornMs, orderSequence } = replica;
    log.info('Replica does not hold a model of its record.', { replica: id, ...modelReference, bornMs, orderSequence });
  }
}
