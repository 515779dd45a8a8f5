import type { ResponseHead } from '../contracts/RequestCodec.js';
import { statesNotExecuted } from './judgeAnswer.js';
import type { AttemptFailure } from './ReplicaAttempt.js';

/** Number of sends of one request that are kept for its log line; a request may be refused many times. */
const maximumSends = 8;

/** One send of a request, for its log line. */
export interface SendRecord {
  readonly replica: string;
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

  public start(replica: string): void {
    this._records.push({ replica });
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
