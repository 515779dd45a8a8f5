import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import type { AppendFailure } from '../Types.js';

/** Offset and replay verdict of an appended record. */
export interface ReadBack {
  readonly offset: number;
  readonly verdict: decisions.Verdict;
}

/** Outcome of one append after read-back. */
export type AppendOutcome = common.Outcome<ReadBack, Exclude<AppendFailure, { readonly kind: 'rejected' }>>;

/** Maximum number of unsettled appends per topic; further ones are refused to bound memory during an outage. */
const maximumPending = 2000;
/** Bounds the size of one append request; log services commonly refuse more than 1 MiB. */
const maximumBatchRecords = 500;
const maximumBatchCharacters = 512 * 1024;

/**
 * Last sequence number that this incarnation has used in a topic. It is kept when the replica of the topic is closed,
 * because a record with a reused number would count as a duplicate.
 */
export interface SequenceCounter {
  last: number;
}

interface PendingAppend<Body> {
  readonly envelope: decisions.RecordEnvelope<Body>;
  readonly characters: number;
  readonly deadlineMs: number;
  readonly resolve: (outcome: AppendOutcome) => void;
  state: 'queued' | 'sent' | 'acknowledged';
}

/** Unsettled appends to one topic, in the order of their sequence numbers. Uses no timers or sockets. */
export class AppendQueue<Body> {
  private readonly _pending = new Map<number, PendingAppend<Body>>();
  private _readBackSequence = 0;

  public constructor(
    private readonly _incarnation: common.Incarnation,
    private readonly _sequence: SequenceCounter = { last: 0 },
  ) {}

  /** Earliest deadline, or `undefined` if nothing is pending. */
  public get earliestDeadlineMs(): number | undefined {
    let earliest: number | undefined;
    for (const { deadlineMs } of this._pending.values()) {
      earliest = earliest === undefined ? deadlineMs : Math.min(earliest, deadlineMs);
    }
    return earliest;
  }

  /** Adds a record. Returns false if the queue is full. */
  public add(
    body: Body,
    clock: common.HybridTime,
    deadlineMs: number,
    resolve: (outcome: AppendOutcome) => void,
  ): boolean {
    if (this._pending.size >= maximumPending) {
      return false;
    }
    const characters = JSON.stringify(body).length;
    this._sequence.last += 1;
    const id = { incarnation: this._incarnation, sequence: this._sequence.last };
    this._pending.set(id.sequence, { envelope: { id, clock, body }, characters, deadlineMs, resolve, state: 'queued' });
    return true;
  }

  /**
   * Returns the records for the next append: first the unacknowledged ones with their original ids, then the new ones.
   * Because sequence numbers ascend, replay treats a late copy of an earlier append as a duplicate.
   */
  public takeBatch(): readonly decisions.RecordEnvelope<Body>[] {
    const batch: decisions.RecordEnvelope<Body>[] = [];
    let characters = 0;
    for (const entry of this._pending.values()) {
      if (entry.state === 'acknowledged') {
        continue;
      }
      characters += entry.characters;
      if (batch.length === maximumBatchRecords || (batch.length > 0 && characters > maximumBatchCharacters)) {
        break;
      }
      entry.state = 'sent';
      batch.push(entry.envelope);
    }
    return batch;
  }

  /** Marks the records as acknowledged by the log; they stay pending until they are read back. */
  public acknowledge(batch: readonly decisions.RecordEnvelope<Body>[]): void {
    for (const { id } of batch) {
      const entry = this._pending.get(id.sequence);
      if (entry) {
        entry.state = 'acknowledged';
      }
    }
  }

  /** Whether a batch has been read back. Records that only expired do not count. */
  public isReadBack(batch: readonly decisions.RecordEnvelope<Body>[]): boolean {
    return (batch.at(-1)?.id.sequence ?? 0) <= this._readBackSequence;
  }

  /** Whether a record is still to be sent or acknowledged. */
  public get hasUnacknowledged(): boolean {
    for (const entry of this._pending.values()) {
      if (entry.state !== 'acknowledged') {
        return true;
      }
    }
    return false;
  }

  /** Settles the append of a record that has been read back and replayed. */
  public settle(id: decisions.RecordId, offset: number, verdict: decisions.Verdict): void {
    if (id.incarnation === this._incarnation) {
      this._readBackSequence = Math.max(this._readBackSequence, id.sequence);
      this._remove(id.sequence)?.resolve(common.succeed({ offset, verdict }));
    }
  }

  /** Fails the records whose deadline has passed. */
  public expire(nowMs: number, retryAfterMs: number): void {
    for (const [sequence, entry] of this._pending) {
      if (entry.deadlineMs <= nowMs) {
        this._remove(sequence);
        entry.resolve(
          entry.state === 'queued'
            ? unavailable('the record was not sent in time', retryAfterMs)
            : unconfirmed('the record was not read back in time'),
        );
      }
    }
  }

  /** Fails the records that have not been sent. */
  public refuseQueued(message: string, retryAfterMs: number): void {
    for (const [sequence, entry] of this._pending) {
      if (entry.state === 'queued') {
        this._remove(sequence);
        entry.resolve(unavailable(message, retryAfterMs));
      }
    }
  }

  /** Fails all pending records when the topic is closed. */
  public close(): void {
    this.expire(Number.POSITIVE_INFINITY, 0);
  }

  private _remove(sequence: number): PendingAppend<Body> | undefined {
    const entry = this._pending.get(sequence);
    this._pending.delete(sequence);
    return entry;
  }
}

/** Failure of a record that was not sent. */
export function unavailable(message: string, retryAfterMs: number): AppendOutcome {
  return common.fail({ kind: 'logUnavailable', message, retryAfterMs });
}

function unconfirmed(message: string): AppendOutcome {
  return common.fail({ kind: 'unconfirmed', message });
}
