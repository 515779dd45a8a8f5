import type * as z from 'zod';
import type { PeerMember, Peers } from '../Types.js';
import type { ClusterResponses, UnresponsiveMember } from './Types.js';

/** Time-out of the call to one daemon; a slower daemon counts as unresponsive. */
const memberTimeoutMs = 1000;

/** Calls one method of every member in parallel and keeps the responses that match the schema. */
export async function readCluster<Result>(
  peers: Peers,
  method: string,
  parameters: unknown,
  schema: z.ZodType<Result>,
): Promise<ClusterResponses<Result>> {
  const results = await Promise.all(
    peers.members.map((member) => readMember(peers, member, method, parameters, schema)),
  );
  return {
    responses: results.flatMap((result) => ('response' in result ? [result.response] : [])),
    unresponsive: results.flatMap((result) => ('response' in result ? [] : [result])),
  };
}

async function readMember<Result>(
  peers: Peers,
  member: PeerMember,
  method: string,
  parameters: unknown,
  schema: z.ZodType<Result>,
): Promise<{ readonly response: Result } | UnresponsiveMember> {
  const { daemon, incarnation } = member;
  const outcome = await peers.call(incarnation, method, parameters, memberTimeoutMs);
  if (!outcome.ok) {
    return { daemon, incarnation, reason: `${outcome.failure.kind}: ${outcome.failure.message}` };
  }
  const parsed = schema.safeParse(outcome.value);
  return parsed.success
    ? { response: parsed.data }
    : { daemon, incarnation, reason: `error: answer has another form: ${parsed.error.issues[0]?.message ?? ''}` };
}
