import type * as common from '@jayhaven/common';
import type { RelayedContact } from './Types.js';

/** Missed answers in a row before a member is suspected; one slow answer does not count. */
const missesBeforeSuspicion = 3;
/**
 * Life of a suspicion that nobody renews, milliseconds. The neighbours of a failed member renew theirs every second;
 * the limit ends one whose withdrawal was lost.
 */
const suspicionLifetimeMs = 15_000;
/** Bounds the size of a heartbeat. */
const maximumRelayed = 32;
const never = Number.NEGATIVE_INFINITY;

interface Contact {
  consecutiveMisses: number;
  /** Last answer, own or passed on. */
  answeredAtMs: number;
  /** Last missed answer, own or passed on, that supports a suspicion. */
  suspectedAtMs: number;
}

/** Which members seem to have failed. Suspicion only affects advisory choices. */
export class SuspicionTable {
  private readonly _contacts = new Map<common.Incarnation, Contact>();

  /** A member answered or made a call. */
  public recordContact(incarnation: common.Incarnation, nowMs: number): void {
    const contact = this._contact(incarnation);
    contact.consecutiveMisses = 0;
    contact.answeredAtMs = nowMs;
  }

  /** A member did not answer a heartbeat. */
  public recordMissed(incarnation: common.Incarnation, nowMs: number): void {
    const contact = this._contact(incarnation);
    contact.consecutiveMisses += 1;
    if (contact.consecutiveMisses >= missesBeforeSuspicion) {
      contact.suspectedAtMs = nowMs;
    }
  }

  /** Takes over what another member passed on. Of two contacts with a member the later one counts. */
  public merge(suspected: readonly RelayedContact[], answering: readonly RelayedContact[], nowMs: number): void {
    for (const { incarnation, ageMs } of suspected) {
      const contact = this._contact(incarnation);
      contact.suspectedAtMs = Math.max(contact.suspectedAtMs, nowMs - ageMs);
    }
    for (const { incarnation, ageMs } of answering) {
      const contact = this._contact(incarnation);
      contact.answeredAtMs = Math.max(contact.answeredAtMs, nowMs - ageMs);
    }
  }

  public isSuspected(incarnation: common.Incarnation, nowMs: number): boolean {
    const contact = this._contacts.get(incarnation);
    return contact !== undefined && isSuspect(contact, nowMs);
  }

  /** The latest suspicions, for a heartbeat. */
  public suspicionsToRelay(nowMs: number): readonly RelayedContact[] {
    return this._latest(nowMs, (contact) => (isSuspect(contact, nowMs) ? contact.suspectedAtMs : undefined));
  }

  /** Answers of members that were suspected shortly before, for a heartbeat. */
  public withdrawalsToRelay(nowMs: number): readonly RelayedContact[] {
    return this._latest(nowMs, (contact) => {
      const wasSuspected = nowMs - contact.suspectedAtMs < suspicionLifetimeMs;
      return wasSuspected && !isSuspect(contact, nowMs) ? contact.answeredAtMs : undefined;
    });
  }

  /** Forgets incarnations that are no longer members. */
  public keepOnly(members: ReadonlySet<common.Incarnation>): void {
    for (const incarnation of [...this._contacts.keys()]) {
      if (!members.has(incarnation)) {
        this._contacts.delete(incarnation);
      }
    }
  }

  private _latest(nowMs: number, timeOf: (contact: Contact) => number | undefined): readonly RelayedContact[] {
    const relayed: RelayedContact[] = [];
    for (const [incarnation, contact] of this._contacts) {
      const atMs = timeOf(contact);
      if (atMs !== undefined) {
        relayed.push({ incarnation, ageMs: Math.max(0, Math.round(nowMs - atMs)) });
      }
    }
    return relayed.sort((first, second) => first.ageMs - second.ageMs).slice(0, maximumRelayed);
  }

  private _contact(incarnation: common.Incarnation): Contact {
    let contact = this._contacts.get(incarnation);
    if (!contact) {
      contact = { consecutiveMisses: 0, answeredAtMs: never, suspectedAtMs: never };
      this._contacts.set(incarnation, contact);
    }
    return contact;
  }
}

function isSuspect(contact: Contact, nowMs: number): boolean {
  return contact.suspectedAtMs > contact.answeredAtMs && nowMs - contact.suspectedAtMs < suspicionLifetimeMs;
}
