import type * as http from 'node:http';
import type * as net from 'node:net';
import type { CallerRequest } from '../contracts/RequestCodec.js';
import type { Replica, Route } from '../Types.js';
import type { AttemptHistory } from './AttemptHistory.js';
import { type AttemptListener, ReplicaAttempt } from './ReplicaAttempt.js';
import type { ExchangeContext } from './Types.js';

/** A request of a caller that is to be sent to a replica. */
export interface OutgoingRequest {
  readonly incoming: http.IncomingMessage;
  readonly body: Buffer;
  readonly callerRequest: CallerRequest;
  readonly route: Route;
  readonly replica: Replica;
  readonly history: AttemptHistory;
  /** True if all slots of the replica are in use, as far as known. */
  readonly isReplicaFull: boolean;
  /** Time that the replica has for the request, milliseconds. */
  readonly deadlineMs: number;
  /** Urgency from 0 (most urgent) to 9, for replicas that hold models. */
  readonly urgency: number;
  /** Last event that the caller has received, if a stream is resumed. */
  readonly lastEventId: string | undefined;
  /** True if the record of the replica may be older than its start, where that matters. */
  readonly checksStart: boolean;
  /** Name of the caller's tenant; undefined where no key is needed. */
  readonly tenantName: string | undefined;
}

/** Sends a request of a caller to a replica. */
export function createAttempt(
  context: Pick<ExchangeContext, 'codec' | 'agent' | 'directory' | 'choiceMetrics' | 'markReplicaLeaving'>,
  outgoing: OutgoingRequest,
  listener: AttemptListener,
): ReplicaAttempt {
  const { codec, agent, directory, choiceMetrics } = context;
  const { incoming, body, callerRequest, replica, history, deadlineMs, urgency, lastEventId, tenantName } = outgoing;
  const headers = codec.forwardedHeaders(incoming, {
    replicaId: replica.id,
    deadlineMs,
    bodyBytes: body.length,
    ...(callerRequest.modelReference !== undefined && { urgency }),
    ...(lastEventId !== undefined && { lastEventId }),
    ...(tenantName !== undefined && { tenantName }),
  });
  const request = {
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    headers,
    body,
    callerRequest,
    replica,
    startQuery: outgoing.checksStart ? codec.startQuery(replica) : undefined,
    onOtherStart: () => {
      context.markReplicaLeaving(replica);
    },
    isReplicaUsable: () => directory.isUsable(replica),
    onWrite: (socket: net.Socket, isKept: boolean) => {
      history.recordConnection(socket, isKept);
      choiceMetrics.recordConnection(isKept);
    },
    agent: needsNewConnection(outgoing, agent) ? (false as const) : agent,
  };
  return new ReplicaAttempt(request, codec, listener);
}

/**
 * True if a request must not use a kept connection. If the replica closed it during the send, a request that is not
 * idempotent would fail and could not be retried. But a new connection waits for a slot of a full replica, ahead of
 * requests on kept connections, which the replica then rejects.
 */
function needsNewConnection(
  { route, replica, isReplicaFull, history }: OutgoingRequest,
  agent: ExchangeContext['agent'],
): boolean {
  return (route.kind === 'nonIdempotent' && !isReplicaFull) || history.connections.mayBeReused(agent, replica.address);
}

/** Keys of the parts of a request's prompt. Parts are shared only between requests for the same model. */
export function promptPartKeys(callerRequest: CallerRequest | undefined): readonly string[] {
  const model = callerRequest?.modelReference?.model;
  return model === undefined ? [] : (callerRequest?.promptPartIds ?? []).map((part) => `${model}:${part}`);
}
