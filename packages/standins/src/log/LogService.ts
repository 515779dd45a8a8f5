import * as timers from 'node:timers/promises';
import * as common from '@jayhaven/common';
import * as zod from 'zod';
import { FaultInjector } from '../FaultInjector.js';
import { HttpStandIn, breakConnection, sendNotFound, type Call } from '../http/HttpStandIn.js';
import { RandomSource } from '../RandomSource.js';
import type { ListenOptions, Outage } from '../Types.js';
import { Topic } from './Topic.js';

/** Maximum interval between two retention checks, milliseconds. */
const retentionCheckMs = 1000;
const defaultMaximumBytes = 1024 * 1024;

/** Options of the log stand-in. */
export interface LogOptions extends ListenOptions {
  /** Age at which records are dropped, milliseconds. By default, records are kept. */
  readonly retentionMs?: number;
  /** Maximum number of appends per second; further ones are delayed. */
  readonly appendsPerSecond?: number;
  readonly seed?: number;
}

const appendSchema = zod.object({ records: zod.array(zod.object({ value: zod.unknown() })).min(1) });
const controlSchema = zod.strictObject({
  outage: zod.union([zod.boolean(), zod.literal('hang')]).optional(),
  appendDelayMs: zod.number().min(0).optional(),
  readDelayMs: zod.number().min(0).optional(),
  loseAcknowledgements: zod.union([zod.boolean(), zod.number().min(0)]).optional(),
  stallAppends: zod.boolean().optional(),
  retentionMs: zod.number().min(0).optional(),
});

/** Log service with append-only topics (formats of the Kafka REST Proxy v2). */
export class LogService extends HttpStandIn {
  private readonly _topics = new Map<string, Topic>();
  private readonly _counters = { appends: 0, records: 0, reads: 0, bytes: 0, lostAcknowledgements: 0 };
  private readonly _acknowledgementLoss: FaultInjector;
  private readonly _retentionTimer: NodeJS.Timeout;
  private readonly _stallEnded = new common.Emitter<undefined>();
  private _outage: Outage = false;
  private _appendDelayMs = 0;
  private _readDelayMs = 0;
  private _stalled = false;
  private _retentionMs: number;
  private _nextAppendMs = 0;

  private constructor(private readonly _options: LogOptions) {
    super();
    this._acknowledgementLoss = new FaultInjector(new RandomSource(_options.seed ?? 1));
    this._retentionMs = _options.retentionMs ?? Number.POSITIVE_INFINITY;
    this._retentionTimer = setInterval(
      () => {
        this._dropOldRecords(Date.now());
      },
      Math.min(retentionCheckMs, Math.max(10, this._retentionMs / 4)),
    );
  }

  /** Starts the log. */
  public static async open(options: LogOptions = {}): Promise<LogService> {
    const service = new LogService(options);
    await service.listen(options);
    return service;
  }

  /** Returns a topic for inspection by a test. */
  public topic(name: string): Topic {
    const topic = this._topics.get(name) ?? new Topic();
    this._topics.set(name, topic);
    return topic;
  }

  protected override stop(): void {
    clearInterval(this._retentionTimer);
    this._wakeReaders();
  }

  protected override async handle(call: Call): Promise<void> {
    if (call.path === '/control') {
      this._control(call);
      return;
    }
    if (this._refuseDuringOutage(call)) {
      return;
    }
    const match = /^\/topics\/([^/]+)(\/partitions\/0\/(records|offsets))?$/.exec(call.path);
    const topic = this.topic(decodeURIComponent(match?.[1] ?? ''));
    if (match && match[2] === undefined && call.method === 'POST') {
      await this._append(call, topic);
    } else if (match?.[3] === 'records' && call.method === 'GET') {
      await this._read(call, topic);
    } else if (match?.[3] === 'offsets' && call.method === 'GET') {
      const offsets = { beginning_offset: topic.beginningOffset, end_offset: topic.endOffset };
      common.sendJson(call.response, 200, offsets);
    } else {
      sendNotFound(call);
    }
  }

  /** Refuses the call, or leaves it unanswered, during an outage. Returns whether there is an outage. */
  private _refuseDuringOutage(call: Call): boolean {
    if (this._outage === true) {
      common.sendJson(call.response, 503, { error_code: 50301, message: 'the log service is down' });
    }
    return this._outage !== false;
  }

  private async _append(call: Call, topic: Topic): Promise<void> {
    const parsed = appendSchema.safeParse(call.body);
    if (!parsed.success) {
      common.sendJson(call.response, 422, { error_code: 42201, message: parsed.error.message });
      return;
    }
    await this._waitForAppendSlot();
    if (this._refuseDuringOutage(call)) {
      return;
    }
    const values = parsed.data.records.map((record) => record.value);
    const firstOffset = topic.append(values, Date.now());
    this._counters.appends += 1;
    this._counters.records += values.length;
    this._counters.bytes += call.text.length;
    if (this._acknowledgementLoss.shouldInject()) {
      this._counters.lostAcknowledgements += 1;
      breakConnection(call);
      return;
    }
    const offsets = values.map((_value, index) => ({ partition: 0, offset: firstOffset + index, error_code: null }));
    common.sendJson(call.response, 200, { offsets });
  }

  /** Waits for the rate limit, the configured delay and the end of a stall. A stalled append is applied afterwards. */
  private async _waitForAppendSlot(): Promise<void> {
    const nowMs = performance.now();
    const spacingMs = 1000 / (this._options.appendsPerSecond ?? 500);
    const slotMs = Math.max(nowMs, this._nextAppendMs);
    this._nextAppendMs = slotMs + spacingMs;
    const delayMs = slotMs - nowMs + this._appendDelayMs;
    if (delayMs >= 1) {
      await timers.setTimeout(delayMs);
    }
    while (this._stalled) {
      await new Promise<void>((resolve) => {
        const unsubscribe = this._stallEnded.event(() => {
          unsubscribe();
          resolve();
        });
      });
    }
  }

  private async _read(call: Call, topic: Topic): Promise<void> {
    const offset = Number(call.query.get('offset') ?? topic.beginningOffset);
    const maximumBytes = Number(call.query.get('max_bytes') ?? defaultMaximumBytes);
    const deadlineMs = performance.now() + Number(call.query.get('timeout') ?? 0);
    if (this._readDelayMs > 0) {
      await timers.setTimeout(this._readDelayMs);
    }
    while (offset >= topic.endOffset && performance.now() < deadlineMs && !this._outage && !call.response.destroyed) {
      await topic.waitForChange(deadlineMs - performance.now());
    }
    if (this._refuseDuringOutage(call)) {
      return;
    }
    if (offset < topic.beginningOffset) {
      common.sendJson(call.response, 404, { error_code: 40402, message: 'offset is below the beginning' });
      return;
    }
    this._counters.reads += 1;
    common.sendJson(call.response, 200, topic.read(offset, maximumBytes).records);
  }

  private _control(call: Call): void {
    if (call.method === 'POST') {
      const control = controlSchema.parse(call.body);
      this._outage = control.outage ?? this._outage;
      this._appendDelayMs = control.appendDelayMs ?? this._appendDelayMs;
      this._readDelayMs = control.readDelayMs ?? this._readDelayMs;
      this._retentionMs = control.retentionMs ?? this._retentionMs;
      this._acknowledgementLoss.set(control.loseAcknowledgements);
      this._stalled = control.stallAppends ?? this._stalled;
      if (!this._stalled) {
        this._stallEnded.fire(undefined);
      }
      if (this._outage) {
        this._wakeReaders();
      }
    }
    common.sendJson(call.response, 200, {
      ...this._counters,
      outage: this._outage,
      stallAppends: this._stalled,
      appendDelayMs: this._appendDelayMs,
      readDelayMs: this._readDelayMs,
      loseAcknowledgements: this._acknowledgementLoss.rate,
    });
  }

  private _dropOldRecords(nowMs: number): void {
    if (Number.isFinite(this._retentionMs)) {
      for (const topic of this._topics.values()) {
        topic.dropBefore(nowMs - this._retentionMs);
      }
    }
  }

  private _wakeReaders(): void {
    for (const topic of this._topics.values()) {
      topic.notifyWaiters();
    }
  }
}
