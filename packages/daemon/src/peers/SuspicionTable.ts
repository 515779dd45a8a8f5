import type * as common from '@jayhaven/common';
import type { PassedSuspicion } from './Types.js';

/** Missed answers in a row before a member is suspected; one slow answer does not count. */
const missesBeforeSuspicion = 3;
/**
 * Life of a suspicion that nobody renews, milliseconds. The neighbours of a failed member renew theirs every second;
 * the limit ends one whose withdrawal was lost.
 */
const suspicionLifeMs = 15_000;
/** Bounds the size of a heartbeat. */
const maximumPassedOn = 32;

interface Contact {
  missesInRow: number;
  answeredAtMs: number;
  /** Time of the last missed answer, own or passed on, that supports a suspicion. */
  suspectedAtMs: number | undefined;
}

/** Which members seem to have failed. Suspicion only affects advisory choices. */
export class SuspicionTable {
  private readonly _contacts = new Map<common.Incarnation, Contact>();

  /** A member answered or made a call. */
  public heard(incarnation: common.Incarnation, nowMs: number): void {
    const contact = this._contact(incarnation);
    contact.missesInRow = 0;
    contact.answeredAtMs = nowMs;
    contact.suspectedAtMs = undefined;
  }

  /** A member did not answer a heartbeat. */
  public missed(incarnation: common.Incarnation, nowMs: number): void {
    const contact = this._contact(incarnation);
    contact.missesInRow += 1;
    if (contact.missesInRow >= missesBeforeSuspicion) {
      contact.suspectedAtMs = nowMs;
    }
  }

  /** Takes over what another member passed on, unless this daemon has heard of the suspect since then. */
  public takeOver(suspicions: readonly PassedSuspicion[], nowMs: number): void {
    for (const { incarnation, ageMs } of suspicions) {
      const atMs = nowMs - ageMs;
      const contact = this._contact(incarnation);
      if (atMs > contact.answeredAtMs && atMs > (contact.suspectedAtMs ?? Number.NEGATIVE_INFINITY)) {
        contact.suspectedAtMs = atMs;
      }
    }
  }

  public isSuspected(incarnation: common.Incarnation, nowMs: number): boolean {
    const suspectedAtMs = this._contacts.get(incarnation)?.suspectedAtMs;
    return suspectedAtMs !== undefined && nowMs - suspectedAtMs < suspicionLifeMs;
  }

  /** The latest suspicions, for a heartbeat. */
  public passOn(nowMs: number): readonly PassedSuspicion[] {
    const suspicions: PassedSuspicion[] = [];
    for (const [incarnation, { suspectedAtMs }] of this._contacts) {
      if (suspectedAtMs !== undefined && this.isSuspected(incarnation, nowMs)) {
        suspicions.push({ incarnation, ageMs: Math.round(nowMs - suspectedAtMs) });
      }
    }
    return suspicions.sort((first, second) => first.ageMs - second.ageMs).slice(0, maximumPassedOn);
  }

  /** Forgets incarnations that are no longer members. */
  public keepOnly(members: ReadonlySet<common.Incarnation>): void {
    for (const incarnation of [...this._contacts.keys()]) {
      if (!members.has(incarnation)) {
        this._contacts.delete(incarnation);
      }
    }
  }

  private _contact(incarnation: common.Incarnation): Contact {
    let contact = this._contacts.get(incarnation);
    if (!contact) {
      contact = { missesInRow: 0, answeredAtMs: Number.NEGATIVE_INFINITY, suspectedAtMs: undefined };
      this._contacts.set(incarnation, contact);
    }
    return contact;
  }
}
