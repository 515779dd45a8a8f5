import type { OriginAnswer, OriginQuery } from './Types.js';

/** Called with the answer to a query. */
export type OriginListener = (answer: OriginAnswer) => void;

interface Entry {
  readonly query: OriginQuery;
  readonly listeners: Set<OriginListener>;
}

/** Queries of this daemon that have no answer yet. Requests that take up the same stream share one. */
export class PendingQueries {
  private readonly _entries = new Map<string, Entry>();

  public get all(): readonly OriginQuery[] {
    return [...this._entries.values()].map(({ query }) => query);
  }

  /** Adds a listener; the result removes it. */
  public add(query: OriginQuery, listener: OriginListener): () => void {
    const key = keyOf(query);
    const entry = this._entries.get(key) ?? { query, listeners: new Set<OriginListener>() };
    entry.listeners.add(listener);
    this._entries.set(key, entry);
    return () => {
      entry.listeners.delete(listener);
      if (entry.listeners.size === 0 && this._entries.get(key) === entry) {
        this._entries.delete(key);
      }
    };
  }

  /** Passes an answer to the listeners of a query and removes them. */
  public answer(query: OriginQuery, answer: OriginAnswer): void {
    const key = keyOf(query);
    const entry = this._entries.get(key);
    this._entries.delete(key);
    for (const listener of [...(entry?.listeners ?? [])]) {
      listener(answer);
    }
  }
}

function keyOf({ service, attemptId }: OriginQuery): string {
  return JSON.stringify([service, attemptId]);
}
