import type * as http from 'node:http';
import { requestPart, suspectableParts } from '../crashes/parts.js';
import type { CallerRequest } from '../contracts/RequestCodec.js';

/** What identifies a request when replicas end under it. */
export interface RequestIdentity {
  /** Stands for the content of the whole request. */
  readonly wholeRequest: string;
  /** Everything that can make a replica end: shared parts of the prompt, and the whole request. */
  readonly suspectableParts: readonly string[];
}

/** Identity of a request whose body was not read. */
export const unidentified: RequestIdentity = { wholeRequest: '', suspectableParts: [] };

/** Identifies a request by its content. */
export function identifyRequest(
  { method = '', url: path = '' }: http.IncomingMessage,
  { host, promptPartIds }: CallerRequest,
  body: Buffer,
): RequestIdentity {
  const wholeRequest = requestPart({ method, host, path, promptPartIds, body });
  return { wholeRequest, suspectableParts: suspectableParts(promptPartIds, wholeRequest) };
}
