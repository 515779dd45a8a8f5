import * as crypto from 'node:crypto';

/** Callers choose the parts of a prompt; longer identifiers and further parts are ignored. */
const maximumPartLength = 128;
const maximumParts = 64;

/**
 * Parts of a prompt that can make a replica end: all but the last one, which belongs to the request alone and so cannot
 * be common to several crashes.
 */
export function suspectableParts(promptPartIds: readonly string[]): readonly string[] {
  const shared = promptPartIds.slice(0, -1).filter((part) => part.length <= maximumPartLength);
  return [...new Set(shared)].slice(0, maximumParts);
}

/** Key of a set of parts, whatever their order. */
export function partsKey(parts: readonly string[]): string {
  return crypto
    .createHash('sha256')
    .update([...parts].sort().join(','))
    .digest('hex');
}

/** True if `parts` has all of `required`. */
export function includesAll(parts: readonly string[], required: readonly string[]): boolean {
  return required.every((part) => parts.includes(part));
}
