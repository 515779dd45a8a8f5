/** Maximum nesting depth of a JSON value in a record. */
const maximumDepth = 16;
/** Maximum number of values inside a JSON value in a record. */
const maximumValues = 20_000;

/**
 * Whether a value is JSON of bounded depth and size. The bounds make the verdict on a record independent of the
 * stack size of a process. Non-finite numbers are excluded, because a snapshot cannot represent them.
 */
export function isBoundedJson(value: unknown): boolean {
  const pending: { readonly value: unknown; readonly depth: number }[] = [{ value, depth: 0 }];
  for (let count = 0; count < maximumValues; count += 1) {
    const next = pending.pop();
    if (next === undefined) {
      return true;
    }
    if (next.depth > maximumDepth || !isJsonValue(next.value)) {
      return false;
    }
    if (typeof next.value === 'object' && next.value !== null) {
      for (const child of Object.values(next.value)) {
        pending.push({ value: child, depth: next.depth + 1 });
      }
    }
  }
  return pending.length === 0;
}

function isJsonValue(value: unknown): boolean {
  switch (typeof value) {
    case 'number':
      return Number.isFinite(value);
    case 'string':
    case 'boolean':
    case 'object':
      return true;
    default:
      return false;
  }
}
