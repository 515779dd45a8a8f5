import type * as http from 'node:http';

/** Characters that cannot stand in a header value or a reason phrase (RFC 9110, section 5.5). */
const invalidValue = /[^\t\x20-\x7e\x80-\xff]/;
/** A header name (RFC 9110, section 5.1). */
const validName = /^[\w!#$%&'*+\-.^`|~]+$/;
/** Characters that cannot stand in a request target. */
const invalidTarget = /[^\x21-\xff]/;

const lowestFinalStatus = 200;
const highestStatus = 599;

/** True if a text can be sent as the value of a header. */
export function isHeaderValue(text: string): boolean {
  return !invalidValue.test(text);
}

/**
 * Returns why the status of a received response is not one of HTTP (RFC 9110, section 15); undefined if it is. Nothing in such
 * a response may be trusted. Node.js accepts any three digits.
 */
export function statusFault({ statusCode = 0 }: http.IncomingMessage): string | undefined {
  return statusCode < lowestFinalStatus || statusCode > highestStatus ? `invalid status ${statusCode}` : undefined;
}

/**
 * Returns why the head of a received response is malformed; undefined if it is well-formed. The parser of Node.js accepts
 * heads that `writeHead` rejects with an exception, so a head is checked before any part of it is sent on.
 */
export function responseHeadFault(response: http.IncomingMessage): string | undefined {
  const fault = statusFault(response);
  if (fault !== undefined) {
    return fault;
  }
  if (!isHeaderValue(response.statusMessage ?? '')) {
    return 'invalid character in the reason phrase';
  }
  return headersFault(response.rawHeaders);
}

/**
 * Returns why the head of a received request is malformed; undefined if it is well-formed. The parser of Node.js accepts
 * heads that `http.request` rejects with an exception.
 */
export function requestHeadFault(request: http.IncomingMessage): string | undefined {
  if (invalidTarget.test(request.url ?? '')) {
    return 'invalid character in the request target';
  }
  return headersFault(request.rawHeaders);
}

function headersFault(rawHeaders: readonly string[]): string | undefined {
  for (const [index, text] of rawHeaders.entries()) {
    const isName = index % 2 === 0;
    if (isName && !validName.test(text)) {
      return 'invalid name of a header';
    }
    if (!isName && !isHeaderValue(text)) {
      return `invalid character in the header ${rawHeaders[index - 1] ?? ''}`;
    }
  }
  return undefined;
}
