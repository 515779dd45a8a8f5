import * as vitest from 'vitest';
import { Cluster, until } from './index.js';

interface Status {
  readonly silent: readonly { readonly daemon: string }[];
}

vitest.test('isolateDaemon cuts both directions of one daemon only, and heals (guards partition tests)', async () => {
  const cluster = await Cluster.start({ daemons: 3, proxies: { peers: true } });
  const silentAt = async (index: number): Promise<readonly string[]> => {
    const status = (await cluster.operator('solano', index).read('status')) as Status;
    return status.silent.map(({ daemon }) => daemon).sort();
  };
  try {
    const last = cluster.daemon(2);
    const allAnswer = async (): Promise<boolean> =>
      (await Promise.all([0, 1, 2].map(silentAt))).every((silent) => silent.length === 0);
    await until('all daemons answer each other', 10_000, allAnswer);
    await cluster.isolateDaemon(last, true);
    vitest.expect(await silentAt(0), cluster.errorOutput()).toEqual(['entry-3']);
    vitest.expect(await silentAt(1), cluster.errorOutput()).toEqual(['entry-3']);
    vitest.expect(await silentAt(2), cluster.errorOutput()).toEqual(['entry-1', 'entry-2']);
    await cluster.isolateDaemon(last, false);
    await until('all daemons answer each other again', 10_000, allAnswer);
  } finally {
    await cluster[Symbol.asyncDispose]();
  }
});
