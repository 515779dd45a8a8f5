import * as v8 from 'node:v8';
import * as vm from 'node:vm';

/** Returns the heap in use after a full garbage collection, bytes. */
export function usedHeap(): number {
  v8.setFlagsFromString('--expose-gc');
  const collect = vm.runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}
