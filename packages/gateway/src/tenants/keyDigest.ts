import * as crypto from 'node:crypto';

/** SHA-256 digest of an API key, hexadecimal. The key is given as Node.js gives header values: a character for each byte. */
export function keyDigest(key: string): string {
  return crypto.createHash('sha256').update(key, 'latin1').digest('hex');
}
