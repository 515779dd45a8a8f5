import * as common from '@jayhaven/common';
import type { TimelineRecorder } from '../Types.js';

/** Maximum number of events that a daemon keeps. */
export const timelineCapacity = 20_000;

/** Selects events; every given member must match. */
export interface TimelineFilter {
  readonly request?: string;
  /** `partner/model`, optionally with `@version`; events of its versions and adapters match too. */
  readonly model?: string;
  readonly replica?: number;
  /** Only events after this time. */
  readonly since?: common.HybridTime;
}

/** Ring buffer of the latest events of this daemon, stamped with the hybrid clock. */
export class Timeline implements TimelineRecorder {
  private readonly _events: common.TimelineEvent[] = [];
  /** Index of the oldest event once the ring is full. */
  private _oldest = 0;

  public constructor(
    private readonly _daemon: string,
    private readonly _clock: common.HybridClock,
    private readonly _wallNow: () => number,
    private readonly _capacity: number = timelineCapacity,
  ) {}

  /** Stamps and stores an event; replaces the oldest one if the ring is full. */
  public record(event: Omit<common.TimelineEvent, 'time' | 'daemon'>): void {
    const stamped = { ...event, time: this._clock.stamp(this._wallNow()), daemon: this._daemon };
    if (this._events.length < this._capacity) {
      this._events.push(stamped);
      return;
    }
    this._events[this._oldest] = stamped;
    this._oldest = (this._oldest + 1) % this._capacity;
  }

  /** The matching events, oldest first. */
  public read(filter: TimelineFilter = {}): readonly common.TimelineEvent[] {
    const ordered = [...this._events.slice(this._oldest), ...this._events.slice(0, this._oldest)];
    return ordered.filter((event) => matches(event, filter));
  }

  /** The matching events as JSON lines, oldest first. */
  public exportLines(filter: TimelineFilter = {}): string {
    return this.read(filter)
      .map((event) => `${JSON.stringify(event)}\n`)
      .join('');
  }
}

function matches(event: common.TimelineEvent, filter: TimelineFilter): boolean {
  return (
    (filter.request === undefined || event.request === filter.request) &&
    (filter.model === undefined || matchesModel(event.model, filter.model)) &&
    (filter.replica === undefined || event.replica === filter.replica) &&
    (filter.since === undefined || common.compareHybridTime(event.time, filter.since) > 0)
  );
}

/** Events name a model as `partner/model`, `partner/model@version` or `partner/model@version:adapter`. */
function matchesModel(name: string | undefined, wanted: string): boolean {
  return name === wanted || name?.startsWith(`${wanted}@`) === true || name?.startsWith(`${wanted}:`) === true;
}
