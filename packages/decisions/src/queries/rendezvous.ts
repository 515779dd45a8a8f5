/** Rendezvous hashing (highest random weight). When a member is added or removed, only its keys move. */
import { createHash } from 'node:crypto';

/** Ranks members by preference for a key. The result does not depend on the order of the input. */
export function rankByRendezvous(key: string, members: readonly string[]): readonly string[] {
  return members
    .map((member) => ({ member, weight: hash(key, member) }))
    .sort((first, second) => compareText(second.weight, first.weight) || compareText(first.member, second.member))
    .map(({ member }) => member);
}

function hash(key: string, member: string): string {
  // The length prefix makes the input unambiguous: no other pair of strings gives the same input.
  return createHash('sha1').update(`${key.length}:${key}${member}`).digest('hex');
}

function compareText(first: string, second: string): number {
  return first < second ? -1 : first > second ? 1 : 0;
}
