import * as crypto from 'node:crypto';

/** Callers choose the parts of a prompt; longer identifiers and further parts are ignored. */
const maximumPartLength = 128;
const maximumParts = 64;

/**
 * What can make a replica end: the parts of the prompt that other requests may share, and the request as a whole. The
 * last part of a prompt belongs to the request alone.
 */
export function suspectableParts(promptPartIds: readonly string[], wholeRequest: string): readonly string[] {
  const shared = promptPartIds.slice(0, -1).filter((part) => part.length <= maximumPartLength && !isRequestPart(part));
  return [...[...new Set(shared)].slice(0, maximumParts), wholeRequest];
}

/** True if the part at an index begins a prompt; most prompts of a route begin with the same one. */
export function isFirstOfPrompt(part: string, index: number): boolean {
  return index === 0 && !isRequestPart(part);
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
  /** Identifiers of all parts of the prompt, which are another form of the body. */
  readonly promptPartIds: readonly string[];
  readonly body: Buffer;
}

/** The part that stands for a whole request: equal for requests with the same content, and says nothing about it. */
export function requestPart({ method, host, path, promptPartIds, body }: RequestContent): string {
  // The head is one line of JSON, so its end is certain whatever it contains.
  const head = JSON.stringify([method, host, path, promptPartIds]);
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
