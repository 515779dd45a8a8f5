import type * as z from 'zod';
import type { PeerMember, Peers } from '../Types.js';
import type { ClusterAnswers, SilentMember } from './Types.js';

/** Longest wait for one daemon; a daemon that is slower counts as silent. */
const memberTimeoutMs = 1000;

/** Calls one method at every member in parallel and keeps the answers that have the right form. */
export async function readCluster<Answer>(
  peers: Peers,
  method: string,
  parameters: unknown,
  schema: z.ZodType<Answer>,
): Promise<ClusterAnswers<Answer>> {
  const results = await Promise.all(
    peers.members.map((member) => readMember(peers, member, method, parameters, schema)),
  );
  return {
    answers: results.flatMap((result) => ('answer' in result ? [result.answer] : [])),
    silent: results.flatMap((result) => ('answer' in result ? [] : [result])),
  };
}

async function readMember<Answer>(
  peers: Peers,
  member: PeerMember,
  method: string,
  parameters: unknown,
  schema: z.ZodType<Answer>,
): Promise<{ readonly answer: Answer } | SilentMember> {
  const { daemon, incarnation } = member;
  const outcome = await peers.call(incarnation, method, parameters, memberTimeoutMs);
  if (!outcome.ok) {
    return { daemon, incarnation, reason: `${outcome.failure.kind}: ${outcome.failure.message}` };
  }
  const parsed = schema.safeParse(outcome.value);
  return parsed.success
    ? { answer: parsed.data }
    : { daemon, incarnation, reason: `error: answer has another form: ${parsed.error.issues[0]?.message ?? ''}` };
}
