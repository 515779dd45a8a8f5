import * as common from '@jayhaven/common';
import { LogClient } from '../LogClient.js';
import type { LogFailure, RawRecord, TopicOffsets } from '../Types.js';

/** Faults that apply to each call until they are changed. */
export interface LogFaults {
  /** Fails every call, and applies nothing. */
  down: boolean;
  /** Fails every call after its timeout, and applies nothing. */
  hanging: boolean;
  /** Applies an append, and reports a failure. */
  loseAcknowledgements: boolean;
  /** Applies an append twice. */
  duplicate: boolean;
  /** Reports a failure, and applies the append after this time; 0 applies it at once. */
  applyLateMs: number;
  /** Delays each response. */
  delayMs: number;
  /** Delays each append before it is applied. */
  appendDelayMs: number;
}

interface FakeTopic {
  beginningOffset: number;
  readonly records: RawRecord[];
}

/** In-memory log service, shared by the clients of several replicas. */
export class FakeLog {
  /** Appends that were applied. */
  public appliedAppends = 0;
  /** Appends that were started. */
  public startedAppends = 0;
  public readonly faults: LogFaults = {
    down: false,
    hanging: false,
    loseAcknowledgements: false,
    duplicate: false,
    applyLateMs: 0,
    delayMs: 0,
    appendDelayMs: 0,
  };
  private readonly _topics = new Map<string, FakeTopic>();
  private readonly _changed = new common.Emitter<undefined>();

  public topic(name: string): FakeTopic {
    const topic = this._topics.get(name) ?? { beginningOffset: 0, records: [] };
    this._topics.set(name, topic);
    return topic;
  }

  /** Drops the records below an offset, as retention does. */
  public dropBefore(name: string, offset: number): void {
    this.topic(name).beginningOffset = offset;
  }

  public apply(name: string, values: readonly unknown[]): number {
    const { records } = this.topic(name);
    const first = records.length;
    for (const value of values) {
      records.push({ offset: records.length, value: JSON.parse(JSON.stringify(value)) as unknown });
    }
    this._changed.fire(undefined);
    return first;
  }

  /** Waits for the next append. */
  public async waitForChange(timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        unsubscribe();
        resolve();
      };
      const timer = setTimeout(finish, timeoutMs);
      const unsubscribe = this._changed.event(finish);
    });
  }
}

/** Client of a `FakeLog`. `cutOff` makes the log unreachable for this client only. */
export class FakeLogClient extends LogClient {
  public cutOff = false;

  public constructor(private readonly _log: FakeLog) {
    super();
  }

  public override async append(
    topic: string,
    values: readonly unknown[],
    timeoutMs: number,
  ): Promise<common.Outcome<number, LogFailure>> {
    this._log.startedAppends += 1;
    const failure = await this._simulateFaults(timeoutMs);
    if (failure) {
      return failure;
    }
    if (this._log.faults.appendDelayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this._log.faults.appendDelayMs));
    }
    this._log.appliedAppends += 1;
    const { applyLateMs, duplicate, loseAcknowledgements } = this._log.faults;
    if (applyLateMs > 0) {
      setTimeout(() => this._log.apply(topic, values), applyLateMs);
      return unavailable('no acknowledgement');
    }
    const first = this._log.apply(topic, values);
    if (duplicate) {
      this._log.apply(topic, values);
    }
    return loseAcknowledgements ? unavailable('the acknowledgement was lost') : common.succeed(first);
  }

  public override async read(
    topic: string,
    offset: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<common.Outcome<readonly RawRecord[], LogFailure>> {
    const failure = await this._simulateFaults(timeoutMs);
    if (failure) {
      return failure;
    }
    const { beginningOffset, records } = this._log.topic(topic);
    if (offset < beginningOffset) {
      return common.fail({ kind: 'belowBeginning', message: 'below the beginning' });
    }
    const endMs = performance.now() + waitMs;
    while (offset >= records.length && performance.now() < endMs) {
      await this._log.waitForChange(endMs - performance.now());
      const late = await this._simulateFaults(timeoutMs);
      if (late) {
        return late;
      }
    }
    return common.succeed(records.slice(offset));
  }

  public override async offsets(topic: string, timeoutMs: number): Promise<common.Outcome<TopicOffsets, LogFailure>> {
    const failure = await this._simulateFaults(timeoutMs);
    const { beginningOffset, records } = this._log.topic(topic);
    return failure ?? common.succeed({ beginningOffset, endOffset: records.length });
  }

  public override [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }

  private async _simulateFaults(
    timeoutMs: number,
  ): Promise<{ readonly ok: false; readonly failure: LogFailure } | undefined> {
    const { down, hanging, delayMs } = this._log.faults;
    if (hanging || delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, hanging ? timeoutMs : delayMs));
    } else {
      await new Promise((resolve) => setImmediate(resolve));
    }
    return down || hanging || this.cutOff ? unavailable('the log is down') : undefined;
  }
}

function unavailable(message: string): { readonly ok: false; readonly failure: LogFailure } {
  return common.fail({ kind: 'unavailable', message });
}
