/** Helpers of the configuration tests: the state that operators see, and an independent replay of the log's records. */
import type * as harness from '../../harness/index.js';
import { waitUntil } from '../../harness/index.js';

/** Longest time until an accepted edit is in force everywhere, milliseconds (P9). */
export const inForceLimitMs = 3000;

/** A configured value as a daemon reports it. */
export type ConfigurationEntry = Pick<harness.ConfigurationValue, 'key' | 'value' | 'version'>;

/** An entry of the edit history as a daemon reports it. */
export interface HistoryLine {
  readonly version: number;
  readonly key: string;
  readonly value: unknown;
  readonly state: 'accepted' | 'pending' | 'rejected';
}

/** A daemon's position in the log as it reports it. */
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

/** The configuration as one daemon reports it, sorted by key. */
export async function configurationAt(cluster: harness.Cluster, index: number): Promise<readonly ConfigurationEntry[]> {
  const { keys } = (await cluster.operator('solano', index).read('configuration')) as {
    keys: readonly ConfigurationEntry[];
  };
  return keys
    .map(({ key, value, version }) => ({ key, value, version }))
    .sort((first, second) => (first.key < second.key ? -1 : 1));
}

/** Waits until all running daemons report the same configuration, and returns it. */
export async function agreedConfiguration(
  cluster: harness.Cluster,
  timeoutMs: number = inForceLimitMs,
): Promise<readonly ConfigurationEntry[]> {
  let first: readonly ConfigurationEntry[] = [];
  await waitUntil('all daemons report the same configuration', timeoutMs, async () => {
    const running = cluster.daemons.flatMap((daemon, index) => (daemon.isRunning ? [index] : []));
    const [reference = [], ...others] = await Promise.all(running.map((index) => configurationAt(cluster, index)));
    first = reference;
    return others.every((other) => JSON.stringify(other) === JSON.stringify(reference));
  });
  return first;
}

/** The history of all edits as one daemon reports it. */
export async function historyAt(cluster: harness.Cluster, index: number): Promise<readonly HistoryLine[]> {
  const { history } = (await cluster.operator('solano', index).read('history?limit=500')) as {
    readonly history: readonly HistoryLine[];
  };
  return history;
}

/** A daemon's lag in its own status. */
export async function lagAt(cluster: harness.Cluster, index: number): Promise<Lag> {
  const { daemons } = (await cluster.operator('solano', index).read('status')) as {
    readonly daemons: readonly { readonly daemon: string; readonly lag: Lag }[];
  };
  const own = daemons.find(({ daemon }) => daemon === cluster.daemon(index).name);
  if (!own) {
    throw new Error(`daemon ${index} does not report its own status`);
  }
  return own.lag;
}

/** Range of offsets of the control topic that the log still holds. */
export async function logRange(cluster: harness.Cluster): Promise<{ beginning: number; end: number }> {
  const range = (await cluster.log.request('GET', '/topics/control/partitions/0/offsets')) as {
    readonly beginning_offset: number;
    readonly end_offset: number;
  };
  return { beginning: range.beginning_offset, end: range.end_offset };
}

/**
 * The configuration that the log's records imply: an edit takes effect if it is based on the version in force. Reads the
 * whole topic, so no record may have been dropped, and the topic may contain only valid edits by the key's own partner.
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
