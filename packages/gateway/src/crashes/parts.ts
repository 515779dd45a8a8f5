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

/** Begins the part that stands for a whole request. Identifiers of prompt parts have no colon. */
const requestPrefix = 'request:';
/** Length of a request's digest, hexadecimal digits. */
const digestLength = 32;

/** What makes two requests the same, whichever caller sends them, and to whichever daemon. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path with the query. */
  readonly path: string;
  readonly body: Buffer;
}

/** The part that stands for a whole request: equal for requests with the same content, and says nothing about it. */
export function requestPart({ method, host, path, body }: RequestContent): string {
  // The head is one line of JSON, so its end is certain whatever it contains.
  const head = JSON.stringify([method, host, path]);
  const digest = crypto.createHash('sha256').update(`${head}\n`).update(body).digest('hex');
  return `${requestPrefix}${digest.slice(0, digestLength)}`;
}

/** True if a part stands for a whole request. */
export function isRequestPart(part: string): boolean {
  return part.startsWith(requestPrefix);
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
