/** Selection of the members that receive heartbeats. */

/** Number of unsuspected members that a daemon sends heartbeats to. */
export const ringNeighbours = 3;
/** Limits the heartbeats of a daemon when many of its neighbours are suspected. */
const maximumNeighbours = 6;

/**
 * Returns the members that follow in the sorted ring, up to three that are not suspected. Suspected members in between
 * are included, so that their recovery is detected.
 */
export function neighboursOf(
  self: string,
  members: readonly string[],
  isSuspected: (member: string) => boolean,
): readonly string[] {
  const others = members.filter((member) => member !== self).sort();
  const start = others.findIndex((member) => member > self);
  const ring = start === -1 ? others : [...others.slice(start), ...others.slice(0, start)];
  const chosen: string[] = [];
  let healthy = 0;
  for (const member of ring) {
    if (healthy === ringNeighbours || chosen.length === maximumNeighbours) {
      break;
    }
    chosen.push(member);
    healthy += isSuspected(member) ? 0 : 1;
  }
  return chosen;
}
