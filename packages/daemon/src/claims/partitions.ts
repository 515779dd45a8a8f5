/** Places of idempotency keys. */
import { createHash } from 'node:crypto';
import * as decisions from '@jayhaven/decisions';
import type { PeerMember } from '../Types.js';

/** Partition of a key. */
export function partitionOf(key: string, partitions: number): number {
  return createHash('sha1').update(key).digest().readUInt32BE(0) % partitions;
}

/** Members that may hold a partition, the preferred one first. */
export function holdersOf(partition: number, members: readonly PeerMember[]): readonly string[] {
  const live = members.filter((member) => !member.suspected).map((member) => member.incarnation);
  return decisions.rankByRendezvous(`claims/${partition}`, live);
}
