import type { Cluster } from './Cluster.js';
import type { DaemonHandle } from './DaemonHandle.js';
import { waitUntil } from './ManagedProcess.js';

interface OwnersAnswer {
  readonly cells: readonly { readonly daemon: string | null }[];
}

/** Waits until a daemon reports an owner of the cell, and returns that owner. */
export async function findOwner(cluster: Cluster, daemonIndex = 0, timeoutMs = 15_000): Promise<DaemonHandle> {
  let found: DaemonHandle | undefined;
  await waitUntil('a daemon owns the cell', timeoutMs, async () => {
    const { cells } = (await cluster.operator('solano', daemonIndex).read('owners')) as OwnersAnswer;
    found = cluster.daemons.find((daemon) => cells.some((cell) => cell.daemon === daemon.name));
    return found !== undefined;
  });
  if (found === undefined) {
    throw new Error('invariant broken: waitUntil() returned without an owner');
  }
  return found;
}
