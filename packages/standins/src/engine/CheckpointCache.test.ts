import * as vitest from 'vitest';
import { CheckpointCache } from './CheckpointCache.js';

vitest.test('CheckpointCache moves old checkpoints from memory to disk to remote (guards tier tests)', () => {
  const cache = new CheckpointCache(10, 20);
  vitest.expect(cache.tierOf('a')).toBe('remote');
  cache.keep('a', 10);
  vitest.expect(cache.tierOf('a')).toBe('memory');
  cache.keep('b', 10);
  vitest.expect(cache.tierOf('a')).toBe('disk');
  cache.keep('c', 10);
  vitest.expect(cache.tierOf('a')).toBe('remote');
  vitest.expect(cache.tierOf('b')).toBe('disk');
});
