import { partsKey } from './parts.js';

/** A trial counts as ended after this time, if the daemon that sent it is not heard, milliseconds. */
const trialTimeoutMs = 8_000;
/** Sets of parts that are tried or wait for a trial at most. */
const maximumEntries = 512;

interface Entry<Peer> {
  readonly parts: readonly string[];
  active: { readonly peer: Peer; readonly startedMs: number } | undefined;
  readonly waiting: Set<Peer>;
}

/** A trial that a daemon may send now. */
export interface GrantedTrial<Peer> {
  readonly peer: Peer;
  readonly parts: readonly string[];
}

/**
 * Grants trials of suspected parts over all daemons. Of the sets of parts that have a part in common, one is tried at a
 * time, so that a crash accuses the parts of one trial; small sets come first, because an answer clears them for all.
 */
export class TrialQueue<Peer> {
  private readonly _entries = new Map<string, Entry<Peer>>();

  /** Adds a daemon that wants to try the parts. */
  public request(peer: Peer, parts: readonly string[]): void {
    const key = partsKey(parts);
    const entry = this._entries.get(key) ?? { parts, active: undefined, waiting: new Set() };
    if (this._entries.has(key) || this._entries.size < maximumEntries) {
      this._entries.set(key, entry);
      entry.waiting.add(peer);
    }
  }

  /** Ends the trial of a daemon. */
  public end(peer: Peer, parts: readonly string[]): void {
    const entry = this._entries.get(partsKey(parts));
    if (entry?.active?.peer === peer) {
      entry.active = undefined;
    }
  }

  /** Removes a daemon that is no longer connected. */
  public remove(peer: Peer): void {
    for (const entry of this._entries.values()) {
      entry.waiting.delete(peer);
      if (entry.active?.peer === peer) {
        entry.active = undefined;
      }
    }
  }

  /** Ends trials that take too long. */
  public expire(nowMs: number): void {
    for (const entry of this._entries.values()) {
      if (entry.active !== undefined && nowMs - entry.active.startedMs > trialTimeoutMs) {
        entry.active = undefined;
      }
    }
  }

  /** Starts the trials that may run now. */
  public takeGrants(nowMs: number): readonly GrantedTrial<Peer>[] {
    const busyParts = new Set([...this._entries.values()].flatMap(({ active, parts }) => (active ? parts : [])));
    const bySize = [...this._entries].sort(([, first], [, second]) => first.parts.length - second.parts.length);
    return bySize.flatMap(([key, entry]) => {
      const [peer] = entry.waiting;
      if (entry.active === undefined && peer === undefined) {
        this._entries.delete(key);
      }
      if (peer === undefined || entry.parts.some((part) => busyParts.has(part))) {
        return [];
      }
      entry.waiting.delete(peer);
      entry.active = { peer, startedMs: nowMs };
      for (const part of entry.parts) {
        busyParts.add(part);
      }
      return [{ peer, parts: entry.parts }];
    });
  }

  public clear(): void {
    this._entries.clear();
  }
}
