import * as crypto from 'node:crypto';
import type { Credential } from '../Types.js';

/** Longest bearer key that is hashed, characters. */
const maximumKeyLength = 512;

/** Finds callers by their bearer key. */
export class CallerDirectory {
  private readonly _entries: readonly { readonly hash: Buffer; readonly credential: Credential }[];

  public constructor(credentials: readonly Credential[]) {
    this._entries = credentials.map((credential) => ({ hash: Buffer.from(credential.keySha256, 'hex'), credential }));
  }

  /** Returns the caller of an `Authorization` header. Compares all hashes in constant time. */
  public authenticate(authorization: string | undefined): Credential | undefined {
    if (!authorization?.startsWith('Bearer ') || authorization.length > maximumKeyLength) {
      return undefined;
    }
    const hash = crypto.hash('sha256', authorization.slice('Bearer '.length), 'buffer');
    let found: Credential | undefined;
    for (const entry of this._entries) {
      if (entry.hash.length === hash.length && crypto.timingSafeEqual(entry.hash, hash)) {
        found = entry.credential;
      }
    }
    return found;
  }
}
