/** Assignment of idempotency keys to partitions, and of partitions to members. */
import { createHash } from 'node:crypto';
import * as decisions from '@jayhaven/decisions';
import type { PeerMember } from '../Types.js';

/** Rankings by list of members, which is replaced as a whole when a member changes. */
const rankings = new WeakMap<readonly PeerMember[], Map<number, readonly string[]>>();

/** Partition of a key. */
export function partitionOf(key: string, partitions: number): number {
  return createHash('sha1').update(key).digest().readUInt32BE(0) % partitions;
}

/**
 * Members that may hold a partition, the preferred one first. Cached for each list of members, because ranking 108
 * members takes 0.6 ms, and each daemon needs all rankings once a second and one ranking for each call with a key.
 */
export function holdersOf(partition: number, members: readonly PeerMember[]): readonly string[] {
  const ranked = rankings.get(members) ?? new Map<number, readonly string[]>();
  rankings.set(members, ranked);
  const cached = ranked.get(partition);
  if (cached) {
    return cached;
  }
  const live = members.filter((member) => !member.suspected).map((member) => member.incarnation);
  const holders = decisions.rankByRendezvous(`claims/${partition}`, live);
  ranked.set(partition, holders);
  return holders;
}
