import { evictOldest } from '../evictOldest.js';

/** Number of parts for which an answer is remembered. Callers choose the parts, so their number has no other bound. */
const maximumEntries = 4_096;

/** Times at which requests with a part were last answered; the parts answered longest ago are forgotten first. */
export class AnsweredParts {
  private readonly _answeredMs = new Map<string, number>();

  public record(parts: readonly string[], nowMs: number): void {
    for (const part of parts) {
      this._answeredMs.delete(part);
      this._answeredMs.set(part, nowMs);
    }
    evictOldest(this._answeredMs, maximumEntries);
  }

  /** Time since a request with the part was answered, milliseconds; undefined if none is remembered. */
  public ageMs(part: string, nowMs: number): number | undefined {
    const answeredMs = this._answeredMs.get(part);
    return answeredMs === undefined ? undefined : nowMs - answeredMs;
  }
}
