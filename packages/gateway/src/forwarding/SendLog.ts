import type { ResponseHead } from '../contracts/RequestCodec.js';
import { statesNotExecuted } from './judgeAnswer.js';
import type { Candidate } from '../routing/chooseReplica.js';
import type { AttemptFailure } from './ReplicaAttempt.js';

/** Number of sends of one request that are kept for its log line; a request may be refused many times. */
const maximumSends = 8;

/** The load of a replica on which a choice is based. */
export type ExpectedLoad = Pick<Candidate, 'running' | 'reportAgeMs' | 'slowness'>;

/** One send of a request, for its log line. */
export interface SendRecord {
  readonly replica: string;
  /** Requests that this daemon expected on the replica before the send. */
  readonly expectedRunning?: number;
  /** Age of the report that this is based on, milliseconds; absent without a report. */
  readonly reportAgeMs?: number;
  /** Expected run time there relative to the mean of the replicas. */
  readonly slowness?: number;
  /** Connection that the request was written on; absent if nothing was written. */
  connection?: 'new' | 'kept';
  /** Status of the answer, if its head was taken. */
  status?: number;
  /** What the replica stated about the execution in a failure. */
  statement?: 'notExecuted' | 'otherReplica' | 'none';
  /** Why the send has no answer. */
  failure?: AttemptFailure['kind'];
}

/** The last sends of one request, with what is needed to tell on what a refusal is based. */
export class SendLog {
  private readonly _records: SendRecord[] = [];

  public get records(): readonly Readonly<SendRecord>[] {
    return this._records;
  }

  public start(replica: string, expected?: ExpectedLoad): void {
    this._records.push({ replica, ...(expected && expectedFields(expected)) });
    if (this._records.length > maximumSends) {
      this._records.shift();
    }
  }

  public recordConnection(connection: 'new' | 'kept'): void {
    this._update({ connection });
  }

  public recordAnswer(head: ResponseHead): void {
    const statement = head.fromOtherReplica ? 'otherReplica' : statesNotExecuted(head) ? 'notExecuted' : 'none';
    this._update({ status: head.status, ...(head.status >= 400 && { statement }) });
  }

  public recordFailure(failure: AttemptFailure['kind']): void {
    this._update({ failure });
  }

  private _update(change: Partial<SendRecord>): void {
    Object.assign(this._records.at(-1) ?? {}, change);
  }
}

function expectedFields({ running, reportAgeMs, slowness }: ExpectedLoad): Partial<SendRecord> {
  return {
    expectedRunning: Math.round(running * 10) / 10,
    ...(Number.isFinite(reportAgeMs) && { reportAgeMs: Math.round(reportAgeMs) }),
    slowness: Math.round(slowness * 100) / 100,
  };
}
