import * as decisions from '@jayhaven/decisions';
import { waitUntil, type Cluster } from '../../harness/index.js';

const topicPath = '/topics/control/partitions/0/records';
/** Maximum size of the answer to one read, bytes. */
const readBytes = 16 * 1024 * 1024;

interface StoredRecord {
  readonly offset: number;
  readonly value: unknown;
  readonly timestamp: number;
}

/** A record of the control topic, and whether replay accepted it. */
export interface TopicRecord {
  readonly offset: number;
  /** When the log appended the record, milliseconds since 1970. */
  readonly timeMs: number;
  readonly body: decisions.ControlRecordBody;
  readonly accepted: boolean;
}

/** Replays the control topic of the log stand-in independently of the daemons. */
export class ControlTopic {
  private readonly _records: TopicRecord[] = [];
  private _state = decisions.emptyControlState({
    maximumConcurrentLoads: 4,
    maximumAdaptersInTransit: 30,
    partners: ['solano', 'cascade'],
  });

  public constructor(private readonly _cluster: Cluster) {}

  /** Reads the records appended since the last call, and returns all records so far. */
  public async read(): Promise<readonly TopicRecord[]> {
    for (;;) {
      const query = `?offset=${this._state.appliedOffset + 1}&timeout=0&max_bytes=${readBytes}`;
      const stored = (await this._cluster.log.request('GET', topicPath + query)) as readonly StoredRecord[];
      if (stored.length === 0) {
        return this._records;
      }
      for (const record of stored) {
        this._apply(record);
      }
    }
  }

  /** State after all records of the topic. */
  public async state(): Promise<decisions.ControlState> {
    await this.read();
    return this._state;
  }

  /** Accepted load decisions for a model (`partner/model`), or for all models. */
  public async decidedLoads(model?: string): Promise<readonly (TopicRecord & { body: decisions.LoadDecided })[]> {
    return (await this.read()).filter(
      (record): record is TopicRecord & { body: decisions.LoadDecided } =>
        record.accepted &&
        record.body.kind === 'loadDecided' &&
        (model === undefined || model === `${record.body.partner}/${record.body.model}`),
    );
  }

  /** Waits until a load of a model has been decided. */
  public async waitUntilDecided(model: string, timeoutMs = 10_000): Promise<void> {
    await waitUntil(
      `a load of ${model} is decided`,
      timeoutMs,
      async () => (await this.decidedLoads(model)).length > 0,
      5,
    );
  }

  /** Claim in force; it is the fencing token of the owner's orders. */
  public async claim(): Promise<number> {
    const claims = [...(await this.state()).cells.values()].map((cell) => cell.claim);
    const [claim] = claims;
    if (claim === null || claim === undefined) {
      throw new Error('no claim is in force');
    }
    return claim;
  }

  /** Waits until a claim newer than the given one is in force, and returns it. */
  public async waitForNewerClaim(previousClaim: number, timeoutMs = 10_000): Promise<number> {
    await waitUntil('a successor owns the cell', timeoutMs, async () => {
      const state = await this.state();
      return [...state.cells.values()].some((cell) => (cell.claim ?? -1) > previousClaim);
    });
    return this.claim();
  }

  private _apply(record: StoredRecord): void {
    const { state, verdict } = decisions.replayValue(this._state, record.offset, record.value);
    this._state = state;
    const { body } = record.value as { readonly body: decisions.ControlRecordBody };
    const { offset, timestamp } = record;
    this._records.push({ offset, timeMs: timestamp, body, accepted: verdict.kind === 'accepted' });
  }
}
