import * as common from '@jayhaven/common';
import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { mergeEvents } from './mergeEvents.js';
import { Timeline } from './Timeline.js';

function createTimeline(daemon: string, capacity?: number): { timeline: Timeline; clock: common.HybridClock } {
  const clock = new common.HybridClock();
  return { timeline: new Timeline(daemon, clock, () => 1000, capacity), clock };
}

describe('Timeline', () => {
  it('keeps the newest events in order (guards against unbounded memory and a ring that is read from the wrong index)', () => {
    const { timeline } = createTimeline('a', 3);
    for (const event of ['one', 'two', 'three', 'four', 'five']) {
      timeline.record({ part: 'test', event });
    }
    expect(timeline.read().map((event) => event.event)).toEqual(['three', 'four', 'five']);
  });

  it('filters by every member and time (guards against showing another request)', () => {
    const { timeline } = createTimeline('a');
    timeline.record({ part: 'test', event: 'mine', request: 'r1', model: 'm', replica: 4 });
    timeline.record({ part: 'test', event: 'other', request: 'r2', model: 'm', replica: 5 });
    timeline.record({ part: 'test', event: 'late', request: 'r1', model: 'n' });
    const names = (filter: Parameters<Timeline['read']>[0]): string[] => timeline.read(filter).map((e) => e.event);
    expect(names({ request: 'r1' })).toEqual(['mine', 'late']);
    expect(names({ request: 'r1', model: 'm' })).toEqual(['mine']);
    expect(names({ replica: 5 })).toEqual(['other']);
    timeline.record({ part: 'test', event: 'versioned', model: 'p/m@2' });
    expect(names({ model: 'p/m' })).toEqual(['versioned']);
    expect(names({ since: { wallMs: 1000, counter: 2 } })).toEqual(['versioned']);
    expect(timeline.exportLines({ replica: 4 }).trimEnd().split('\n')).toHaveLength(1);
  });

  it('finds a model under all its names (guards against a trace without events of the router or the owner)', () => {
    const { timeline } = createTimeline('a');
    for (const model of ['p/m', 'p/m@1', 'p/m@1:knots', 'p/mm', 'p/m2@1']) {
      timeline.record({ part: 'test', event: model, model });
    }
    const names = (model: string): string[] => timeline.read({ model }).map((e) => e.event);
    expect(names('p/m')).toEqual(['p/m', 'p/m@1', 'p/m@1:knots']);
    expect(names('p/m@1')).toEqual(['p/m@1', 'p/m@1:knots']);
  });

  it('merges an effect after its cause on another daemon (guards against clocks that differ)', () => {
    const sender = createTimeline('z');
    const receiver = createTimeline('a');
    sender.timeline.record({ part: 'test', event: 'sent' });
    receiver.clock.receive({ wallMs: 1000, counter: 0 });
    receiver.timeline.record({ part: 'test', event: 'received' });
    const merged = mergeEvents([receiver.timeline.read(), sender.timeline.read()]);
    expect(merged.map((event) => event.event)).toEqual(['sent', 'received']);
  });

  it('keeps exactly the newest events for any capacity and count (guards against an off-by-one in the ring)', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 9 }), fc.integer({ min: 0, max: 40 }), (capacity, count) => {
        const { timeline } = createTimeline('a', capacity);
        const names = Array.from({ length: count }, (_, index) => `event${index}`);
        for (const event of names) {
          timeline.record({ part: 'test', event });
        }
        expect(timeline.read().map((event) => event.event)).toEqual(names.slice(-capacity));
      }),
    );
  });

  it('shows a record once, even if its author has stopped (guards against lost and duplicate decisions)', () => {
    const daemons = ['author', 'first', 'second'].map((name) => createTimeline(name).timeline);
    daemons.forEach((timeline, index) => {
      const detail = index === 0 ? {} : { copiedFrom: 'author#1' };
      timeline.record({ part: 'log', event: 'loadDecided', offset: 7, detail });
    });
    const read = (timelines: readonly Timeline[]): string[] =>
      mergeEvents(timelines.map((timeline) => timeline.read())).map((event) => event.daemon);
    expect(read(daemons)).toEqual(['author']);
    expect(read(daemons.slice(1))).toEqual(['first']);
  });
});
