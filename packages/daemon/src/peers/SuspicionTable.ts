import type * as common from '@jayhaven/common';
import type { RelayedContact } from './Types.js';

/** Consecutive missed responses before a member is suspected, so that one slow response causes no suspicion. */
const missesBeforeSuspicion = 3;
/**
 * Lifetime of a suspicion that is not renewed, milliseconds. The neighbours of a failed member renew it every second;
 * the limit ends a suspicion whose withdrawal was lost.
 */
const suspicionLifetimeMs = 15_000;
/** Limits the size of a heartbeat. */
const maximumRelayed = 32;
const never = Number.NEGATIVE_INFINITY;

interface Contact {
  consecutiveMisses: number;
  /** Time of the last response or call, observed or relayed. */
  answeredAtMs: number;
  /** Time of the last missed response that supports a suspicion, observed or relayed. */
  suspectedAtMs: number;
}

/** Tracks which members are suspected to have failed. A suspicion affects advisory choices only. */
export class SuspicionTable {
  private readonly _contacts = new Map<common.Incarnation, Contact>();

  /** Records that a member responded or made a call. */
  public recordContact(incarnation: common.Incarnation, nowMs: number): void {
    const contact = this._contact(incarnation);
    contact.consecutiveMisses = 0;
    contact.answeredAtMs = nowMs;
  }

  /** Records that a member did not respond to a heartbeat. */
  public recordMissed(incarnation: common.Incarnation, nowMs: number): void {
    const contact = this._contact(incarnation);
    contact.consecutiveMisses += 1;
    if (contact.consecutiveMisses >= missesBeforeSuspicion) {
      contact.suspectedAtMs = nowMs;
    }
  }

  /** Merges the contacts relayed by another member. Of two contacts with a member the later one counts. */
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

  /** Returns the latest suspicions to send in a heartbeat. */
  public suspicionsToRelay(nowMs: number): readonly RelayedContact[] {
    return this._latest(nowMs, (contact) => (isSuspect(contact, nowMs) ? contact.suspectedAtMs : undefined));
  }

  /** Returns the last contacts of recently suspected members, which withdraw the suspicions, to send in a heartbeat. */
  public withdrawalsToRelay(nowMs: number): readonly RelayedContact[] {
    return this._latest(nowMs, (contact) => {
      const wasSuspected = nowMs - contact.suspectedAtMs < suspicionLifetimeMs;
      return wasSuspected && !isSuspect(contact, nowMs) ? contact.answeredAtMs : undefined;
    });
  }

  /** Removes incarnations that are no longer members. */
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
