/** Rendezvous hashing (highest random weight): ranks members for a key; a change of members moves only their keys. */
import { createHash } from 'node:crypto';

/** Members in the order of preference for a key; the same on every daemon, whatever the order of the input. */
export function rankByRendezvous(key: string, members: readonly string[]): readonly string[] {
  return members
    .map((member) => ({ member, weight: hash(key, member) }))
    .sort((first, second) => compareText(second.weight, first.weight) || compareText(first.member, second.member))
    .map(({ member }) => member);
}

function hash(key: string, member: string): string {
  // The length separates the two strings, so that no other pair gives the same input.
  return createHash('sha1').update(`${key.length}:${key}${member}`).digest('hex');
}

function compareText(first: string, second: string): number {
  return first < second ? -1 : first > second ? 1 : 0;
}
