/** Cost of the index of idempotency keys in a daemon: heap and replay time by number of keys. */
import * as decisions from '@jayhaven/decisions';
import { fitLine } from './fitLine.js';
import { usedHeap } from './usedHeap.js';

const sizes = [1_000, 5_000, 10_000, 20_000, 40_000];
const timedClaims = 200;
const windowMs = 24 * 60 * 60 * 1000;
const incarnation = 'entry-1#0190f0a0-0000-7000-8000-000000000001';

interface ClaimsFigures {
  readonly keys: number;
  readonly heapBytes: number;
  readonly recordMicroseconds: number;
}

/** Measures indexes of several sizes. Their claims have no stored answers. */
export function measureClaimsState(): unknown {
  const heapBefore = usedHeap();
  let state = decisions.emptyClaimsState(windowMs);
  let keys = 0;
  const claim = (): void => {
    keys += 1;
    const body = { kind: 'claimed', key: `solano/booking/key-${keys}`, attempt: `attempt-${keys}` } as const;
    const record = { ...body, fingerprint: 'f'.repeat(64), sender: incarnation };
    const id = { incarnation, sequence: keys };
    const result = decisions.replayClaim(state, {
      id,
      offset: keys,
      clock: { wallMs: keys, counter: 0 },
      body: record,
    });
    state = result.state;
  };
  const figures = sizes.map((size): ClaimsFigures => {
    while (keys < size - timedClaims) {
      claim();
    }
    const before = process.cpuUsage();
    while (keys < size) {
      claim();
    }
    const { user, system } = process.cpuUsage(before);
    const heapBytes = usedHeap() - heapBefore;
    return { keys: state.claims.size, heapBytes, recordMicroseconds: (user + system) / timedClaims };
  });
  return {
    figures,
    heapLine: fitLine(figures.map(({ keys: x, heapBytes: y }) => ({ x, y }))),
    timeLine: fitLine(figures.map(({ keys: x, recordMicroseconds: y }) => ({ x, y }))),
  };
}
