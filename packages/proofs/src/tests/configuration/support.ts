/** Helpers of the tests of configuration: what operators see, and an independent reading of the log's records. */
import type * as harness from '../../harness/index.js';
import { waitUntil } from '../../harness/index.js';

/** Longest time until an accepted edit is in force everywhere, milliseconds (P9). */
export const inForceLimitMs = 3000;

/** A configured value as a daemon shows it. */
export type ConfigurationEntry = Pick<harness.ConfigurationValue, 'key' | 'value' | 'version'>;

/** A line of the history as a daemon shows it. */
export interface HistoryLine {
  readonly version: number;
  readonly key: string;
  readonly value: unknown;
  readonly state: 'accepted' | 'pending' | 'rejected';
}

/** What a daemon says about its own position in the log. */
export interface Lag {
  readonly appliedOffset: number;
  readonly highestSeenOffset: number;
  readonly source: 'log' | 'peers' | 'none';
  readonly lagging: boolean;
  readonly logAvailable: boolean;
}

interface StoredRecord {
  readonly offset: number;
  readonly value: {
    readonly id: { readonly incarnation: string; readonly sequence: number };
    readonly body: {
      readonly kind: string;
      readonly key: string;
      readonly value: unknown;
      readonly basedOn: number | null;
    };
  };
}

/** The configuration as one daemon shows it, sorted by key. */
export async function configurationAt(cluster: harness.Cluster, index: number): Promise<readonly ConfigurationEntry[]> {
  const { keys } = (await cluster.operator('solano', index).read('configuration')) as {
    keys: readonly ConfigurationEntry[];
  };
  return keys
    .map(({ key, value, version }) => ({ key, value, version }))
    .sort((first, second) => (first.key < second.key ? -1 : 1));
}

/** Waits until all running daemons show the same configuration, and returns it. */
export async function agreedConfiguration(
  cluster: harness.Cluster,
  timeoutMs: number = inForceLimitMs,
): Promise<readonly ConfigurationEntry[]> {
  let first: readonly ConfigurationEntry[] = [];
  await waitUntil('all daemons show the same configuration', timeoutMs, async () => {
    const running = cluster.daemons.flatMap((daemon, index) => (daemon.isRunning ? [index] : []));
    const [reference = [], ...others] = await Promise.all(running.map((index) => configurationAt(cluster, index)));
    first = reference;
    return others.every((other) => JSON.stringify(other) === JSON.stringify(reference));
  });
  return first;
}

/** The history of all edits as one daemon shows it. */
export async function historyAt(cluster: harness.Cluster, index: number): Promise<readonly HistoryLine[]> {
  const { history } = (await cluster.operator('solano', index).read('history?limit=500')) as {
    readonly history: readonly HistoryLine[];
  };
  return history;
}

/** A daemon's own status. */
export async function lagAt(cluster: harness.Cluster, index: number): Promise<Lag> {
  const { daemons } = (await cluster.operator('solano', index).read('status')) as {
    readonly daemons: readonly { readonly daemon: string; readonly lag: Lag }[];
  };
  const own = daemons.find(({ daemon }) => daemon === cluster.daemon(index).name);
  if (!own) {
    throw new Error(`daemon ${index} does not show its own status`);
  }
  return own.lag;
}

/** Offsets that the log still holds of the control topic. */
export async function logRange(cluster: harness.Cluster): Promise<{ beginning: number; end: number }> {
  const range = (await cluster.log.request('GET', '/topics/control/partitions/0/offsets')) as {
    readonly beginning_offset: number;
    readonly end_offset: number;
  };
  return { beginning: range.beginning_offset, end: range.end_offset };
}

/**
 * What must be in force according to the log's own records: an edit counts if it is based on the value before it. Reads
 * the whole topic, so nothing may have been dropped, and only valid edits of the key's own partner may be in it.
 */
export async function configurationInLog(cluster: harness.Cluster): Promise<readonly ConfigurationEntry[]> {
  const { end } = await logRange(cluster);
  const inForce = new Map<string, ConfigurationEntry>();
  const sequences = new Map<string, number>();
  for (let offset = 0; offset < end;) {
    const route = `/topics/control/partitions/0/records?offset=${offset}&timeout=0`;
    const records = (await cluster.log.request('GET', route)) as readonly StoredRecord[];
    for (const { offset: version, value } of records) {
      const { id, body } = value;
      const isRepeat = id.sequence <= (sequences.get(id.incarnation) ?? 0);
      sequences.set(id.incarnation, Math.max(id.sequence, sequences.get(id.incarnation) ?? 0));
      const current = inForce.get(body.key)?.version ?? null;
      if (body.kind === 'configurationEdited' && !isRepeat && body.basedOn === current) {
        inForce.set(body.key, { key: body.key, value: body.value, version });
      }
    }
    offset = (records.at(-1)?.offset ?? end) + 1;
  }
  return [...inForce.values()].sort((first, second) => (first.key < second.key ? -1 : 1));
}
