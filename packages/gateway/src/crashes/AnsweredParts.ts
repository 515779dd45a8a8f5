import { evictOldest } from '../evictOldest.js';
import { isRequestPart } from './parts.js';

/** Number of parts for which an answer is remembered. Callers choose the parts, so their number has no other bound. */
const maximumEntries = 4_096;

/**
 * Times at which requests with a part were last answered; the parts answered longest ago are forgotten first. Whole
 * requests are kept apart, because there are more of them than of shared parts.
 */
export class AnsweredParts {
  private readonly _promptPartsMs = new Map<string, number>();
  private readonly _requestsMs = new Map<string, number>();

  public record(parts: readonly string[], nowMs: number): void {
    for (const part of parts) {
      const answeredMs = this._mapOf(part);
      answeredMs.delete(part);
      answeredMs.set(part, nowMs);
    }
    evictOldest(this._promptPartsMs, maximumEntries);
    evictOldest(this._requestsMs, maximumEntries);
  }

  /** Time since a request with the part was answered, milliseconds; undefined if none is remembered. */
  public ageMs(part: string, nowMs: number): number | undefined {
    const answeredMs = this._mapOf(part).get(part);
    return answeredMs === undefined ? undefined : nowMs - answeredMs;
  }

  private _mapOf(part: string): Map<string, number> {
    return isRequestPart(part) ? this._requestsMs : this._promptPartsMs;
  }
}
