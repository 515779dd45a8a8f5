/**
 * Chooses the collector of each target by rendezvous hashing. A cryptographic hash of every pair of 1,600 targets and
 * 430 daemons would block a daemon for most of a second at each change of members, so each name is hashed once and the
 * hashes of a pair are mixed as integers.
 */

const hashes = new Map<string, number>();
/** Maximum number of cached hashes; daemons and targets change during the life of a process. */
const maximumHashes = 10_000;

/** The member that collects the load of a target; undefined without members. */
export function chooseCollector(target: string, members: readonly string[]): string | undefined {
  const targetHash = hashOf(target);
  let best: string | undefined;
  let bestWeight = -1;
  for (const member of members) {
    const weight = mix(targetHash ^ Math.imul(hashOf(member), 0x9e3779b1));
    if (weight > bestWeight || (weight === bestWeight && best !== undefined && member < best)) {
      best = member;
      bestWeight = weight;
    }
  }
  return best;
}

/** FNV-1a over the UTF-16 code units. */
function hashOf(name: string): number {
  const cached = hashes.get(name);
  if (cached !== undefined) {
    return cached;
  }
  let hash = 0x811c9dc5;
  for (let index = 0; index < name.length; index += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(index), 0x01000193);
  }
  if (hashes.size >= maximumHashes) {
    hashes.clear();
  }
  hashes.set(name, hash >>> 0);
  return hash >>> 0;
}

/** Finalizer of MurmurHash3. */
function mix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
