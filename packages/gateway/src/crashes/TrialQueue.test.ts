import * as vitest from 'vitest';
import { TrialQueue } from './TrialQueue.js';

vitest.describe('trial queue', () => {
  vitest.test('grants one trial of a part at a time over all daemons (guards against several crashes at once)', () => {
    const queue = new TrialQueue<string>();
    queue.request('vm1', ['bad']);
    queue.request('vm2', ['bad']);
    vitest.expect(queue.takeGrants(0)).toEqual([{ peer: 'vm1', parts: ['bad'] }]);
    vitest.expect(queue.takeGrants(0)).toEqual([]);
    queue.end('vm2', ['bad']);
    vitest.expect(queue.takeGrants(0)).toEqual([]);
    queue.end('vm1', ['bad']);
    vitest.expect(queue.takeGrants(0)).toEqual([{ peer: 'vm2', parts: ['bad'] }]);
  });

  vitest.test('does not try two sets with a common part at once (guards against blaming the wrong trial)', () => {
    const queue = new TrialQueue<string>();
    queue.request('vm1', ['c1', 'bad']);
    queue.request('vm2', ['c1']);
    queue.request('vm3', ['other']);
    vitest.expect(queue.takeGrants(0).map(({ peer }) => peer)).toEqual(['vm2', 'vm3']);
    queue.end('vm2', ['c1']);
    vitest.expect(queue.takeGrants(0).map(({ peer }) => peer)).toEqual(['vm1']);
  });

  vitest.test('goes on after a daemon is lost or silent (guards against parts that are held back for good)', () => {
    const queue = new TrialQueue<string>();
    queue.request('vm1', ['bad']);
    queue.request('vm2', ['bad']);
    queue.request('vm3', ['bad']);
    queue.takeGrants(0);
    queue.remove('vm1');
    vitest.expect(queue.takeGrants(0).map(({ peer }) => peer)).toEqual(['vm2']);
    queue.expire(7_000);
    vitest.expect(queue.takeGrants(7_000)).toEqual([]);
    queue.expire(8_001);
    vitest.expect(queue.takeGrants(8_001).map(({ peer }) => peer)).toEqual(['vm3']);
  });
});
