import type * as common from '@jayhaven/common';
import type { LogFailure, RawRecord, TopicOffsets } from './Types.js';

/** Client of the log service. Does not retry. */
export abstract class LogClient implements AsyncDisposable {
  /** Appends values in order and returns the offset of the first. */
  public abstract append(
    topic: string,
    values: readonly unknown[],
    timeoutMs: number,
  ): Promise<common.Outcome<number, LogFailure>>;

  /** Reads records from an offset; waits up to `waitMs` while there is none. */
  public abstract read(
    topic: string,
    offset: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<common.Outcome<readonly RawRecord[], LogFailure>>;

  /** Reads the offset range of the retained records. */
  public abstract offsets(topic: string, timeoutMs: number): Promise<common.Outcome<TopicOffsets, LogFailure>>;

  public abstract [Symbol.asyncDispose](): Promise<void>;
}
