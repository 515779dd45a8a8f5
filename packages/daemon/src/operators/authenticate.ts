import * as crypto from 'node:crypto';
import type { Credential } from '../Types.js';

/** Returns the operator whose bearer key is in the header. */
export function authenticate(header: string | undefined, operators: readonly Credential[]): Credential | undefined {
  const key = /^Bearer +(\S+)$/i.exec(header ?? '')?.[1];
  if (key === undefined) {
    return undefined;
  }
  const digest = crypto.createHash('sha256').update(key).digest();
  let found: Credential | undefined;
  for (const operator of operators) {
    const expected = Buffer.from(operator.keySha256, 'hex');
    // Compares every entry in constant time, so that the duration reveals nothing about the keys.
    if (expected.length === digest.length && crypto.timingSafeEqual(expected, digest)) {
      found = operator;
    }
  }
  return found;
}
