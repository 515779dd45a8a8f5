import * as vitest from 'vitest';
import { Cluster, waitUntil } from './index.js';

interface Status {
  readonly silent: readonly { readonly daemon: string }[];
}

vitest.test(
  'isolateDaemon cuts only one daemon off, in both directions, and reconnects it (guards against ineffective partitions)',
  async () => {
    const cluster = await Cluster.start({ daemons: 3, proxies: { peers: true } });
    const silentDaemonsAt = async (index: number): Promise<readonly string[]> => {
      const status = (await cluster.operator('solano', index).read('status')) as Status;
      return status.silent.map(({ daemon }) => daemon).sort();
    };
    try {
      const last = cluster.daemon(2);
      const allDaemonsAnswer = async (): Promise<boolean> =>
        (await Promise.all([0, 1, 2].map(silentDaemonsAt))).every((silent) => silent.length === 0);
      await waitUntil('all daemons answer each other', 10_000, allDaemonsAnswer);
      await cluster.isolateDaemon(last, true);
      vitest.expect(await silentDaemonsAt(0), cluster.errorOutput()).toEqual(['entry-3']);
      vitest.expect(await silentDaemonsAt(1), cluster.errorOutput()).toEqual(['entry-3']);
      vitest.expect(await silentDaemonsAt(2), cluster.errorOutput()).toEqual(['entry-1', 'entry-2']);
      await cluster.isolateDaemon(last, false);
      await waitUntil('all daemons answer each other again', 10_000, allDaemonsAnswer);
    } finally {
      await cluster[Symbol.asyncDispose]();
    }
  },
);
