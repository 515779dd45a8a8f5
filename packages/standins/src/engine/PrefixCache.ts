import * as crypto from 'node:crypto';
import type { RandomSource } from '../RandomSource.js';

/** Characters of a prompt in one cache block. */
const blockCharacters = 64;
/** Maximum number of events that are kept for `GET /v2/cache-events`. */
const eventCapacity = 1000;

/** An event as `GET /v2/cache-events` returns it. A lost event leaves a gap in the sequence numbers. */
export interface CacheEvent {
  readonly sequence: number;
  readonly type: 'stored' | 'removed';
  readonly model: string;
  readonly prefix_hash: string;
}

/** Prefix cache of limited capacity. Its events are delayed, and a share of them is lost. */
export class PrefixCache {
  private readonly _blocks = new Map<string, string>();
  private readonly _events: { readonly timeMs: number; readonly event: CacheEvent }[] = [];
  private _sequence = 0;

  public constructor(
    private readonly _capacity: number,
    private readonly _lagMs: number,
    private readonly _lossRate: number,
    private readonly _random: RandomSource,
  ) {}

  /** Stores a prompt's blocks. Returns the share of them that were already cached. */
  public lookUpAndStore(model: string, prompt: string, nowMs: number): number {
    const hashes = prefixHashes(model, prompt);
    let cached = 0;
    for (const hash of hashes) {
      if (this._blocks.delete(hash)) {
        cached += 1;
      } else {
        this._publish('stored', model, hash, nowMs);
      }
      this._blocks.set(hash, model);
    }
    this._evict(nowMs);
    return hashes.length === 0 ? 0 : cached / hashes.length;
  }

  /** Returns the events from a sequence number on whose age is at least the lag. */
  public eventsFrom(sequence: number, nowMs: number): { readonly events: CacheEvent[]; readonly next: number } {
    const events = this._events
      .filter(({ timeMs, event }) => event.sequence >= sequence && timeMs <= nowMs - this._lagMs)
      .map(({ event }) => event);
    return { events, next: (events.at(-1)?.sequence ?? sequence - 1) + 1 };
  }

  private _evict(nowMs: number): void {
    for (const [hash, model] of this._blocks) {
      if (this._blocks.size <= this._capacity) {
        break;
      }
      this._blocks.delete(hash);
      this._publish('removed', model, hash, nowMs);
    }
  }

  private _publish(type: 'stored' | 'removed', model: string, prefixHash: string, nowMs: number): void {
    this._sequence += 1;
    if (this._random.next() < this._lossRate) {
      return;
    }
    this._events.push({ timeMs: nowMs, event: { sequence: this._sequence, type, model, prefix_hash: prefixHash } });
    if (this._events.length > eventCapacity) {
      this._events.shift();
    }
  }
}

/** Returns the chained hashes of a prompt's complete blocks. */
function prefixHashes(model: string, prompt: string): readonly string[] {
  const hashes: string[] = [];
  let previous = model;
  for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
    const block = prompt.slice(end - blockCharacters, end);
    previous = crypto.createHash('sha256').update(previous).update(block).digest('hex').slice(0, 16);
    hashes.push(previous);
  }
  return hashes;
}
