/** Maximum edit distance at which a name is suggested. */
const maximumEditDistance = 3;

/** Returns the known name closest to a misspelt one, or `undefined` if none is close enough. */
export function nearestName(name: string, known: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestDistance = Math.min(maximumEditDistance, Math.floor(name.length / 2)) + 1;
  for (const candidate of known) {
    const distance = editDistance(name, candidate);
    if (distance < bestDistance) {
      best = candidate;
      bestDistance = distance;
    }
  }
  return best;
}

/** Levenshtein distance. */
export function editDistance(first: string, second: string): number {
  let previous = Array.from({ length: second.length + 1 }, (_, index) => index);
  for (const [row, character] of Array.from(first).entries()) {
    const current = [row + 1];
    for (let column = 0; column < second.length; column += 1) {
      const substitution = (previous[column] ?? 0) + (character === second[column] ? 0 : 1);
      current.push(Math.min(substitution, (previous[column + 1] ?? 0) + 1, (current[column] ?? 0) + 1));
    }
    previous = current;
  }
  return previous[second.length] ?? 0;
}
