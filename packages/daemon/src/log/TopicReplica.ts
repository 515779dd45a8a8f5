import * as common from '@jayhaven/common';
import * as zod from 'zod';
import type { AppendOutcome } from './AppendQueue.js';
import { Backoff } from './Backoff.js';
import { OffsetWaiters } from './OffsetWaiters.js';
import { ReadMonitor } from './ReadMonitor.js';
import { RecordBuffer } from './RecordBuffer.js';
import { SnapshotStore } from './SnapshotStore.js';
import { TopicAppender, type AppenderOptions } from './TopicAppender.js';
import type {
  LogFailure,
  PeerRecords,
  PeerSource,
  RawRecord,
  ReplicaContext,
  StateImage,
  TopicChange,
  TopicStateMachine,
} from './Types.js';

/** Time for which the log holds a long poll open without records. */
const pollWaitMs = 1000;
const tickMs = 250;
/** After this long without contact, an edit may be in force elsewhere that this daemon should have applied (P9). */
const isolatedAfterMs = 3000;
const authorSchema = zod.object({ id: zod.object({ incarnation: zod.string(), sequence: zod.number() }) });
/** Settings of a replica. Times in milliseconds. */
export interface ReplicaOptions<Body, State> extends AppenderOptions {
  readonly stateMachine: TopicStateMachine<Body, State>;
  readonly peers: PeerSource;
}

interface RecoveryImages {
  readonly snapshot: StateImage | undefined;
  readonly peer: StateImage | undefined;
}

type ReplicaMessage =
  | { readonly kind: 'start' }
  | { readonly kind: 'tick' }
  | { readonly kind: 'poll' }
  | { readonly kind: 'polled'; readonly outcome: common.Outcome<readonly RawRecord[], LogFailure> }
  | { readonly kind: 'peerRecords'; readonly response: PeerRecords | undefined }
  | { readonly kind: 'recovered'; readonly images: RecoveryImages; readonly starting: boolean };

/**
 * Replays one topic in offset order, and appends to it with group commit. An append resolves once its record has been
 * read back and replayed. While the log cannot be read, records come from peers.
 */
export class TopicReplica<Body, State> extends common.Task<ReplicaMessage> {
  private readonly _appender: TopicAppender<Body>;
  private readonly _recentRecords = new RecordBuffer();
  private readonly _snapshots: SnapshotStore;
  private readonly _changes = new common.Emitter<TopicChange<Body, State>>();
  private readonly _replacements = new common.Emitter<State>();
  private readonly _offsetWaiters = new OffsetWaiters();
  private readonly _monitor: ReadMonitor;
  private readonly _readBackoff = new Backoff();
  private _state: State;
  private _nextOffset = 0;
  private _highestSeenOffset = -1;
  private _source: 'log' | 'peers' | 'none' = 'none';
  private _polling = false;
  private _recovering = false;
  private _requestingPeerRecords = false;
  private _snapshotTakenAtMs = 0;
  /** When the log or a peer last responded. */
  private _lastContactMs: number;
  private _stopped = false;

  /** Fires for each replayed record. */
  public readonly onChange = this._changes.event;
  /** Fires when the whole state is replaced by a snapshot or by a peer's state. */
  public readonly onReplaced = this._replacements.event;

  public constructor(
    private readonly _context: ReplicaContext,
    private readonly _options: ReplicaOptions<Body, State>,
  ) {
    super();
    this._state = _options.stateMachine.empty;
    this._appender = new TopicAppender(_context, _options);
    this._snapshots = new SnapshotStore(_options.client, `${_options.topic}-snapshots`, _options.timeoutMs);
    this._monitor = new ReadMonitor(pollWaitMs, _context.now());
    this._lastContactMs = _context.now();
    this.post({ kind: 'start' });
    this.postEvery(tickMs, () => ({ kind: 'tick' }));
  }

  public get state(): State {
    return this._state;
  }

  /** Offset of the next record to apply. */
  public get nextOffset(): number {
    return this._nextOffset;
  }

  /** Highest offset that the log or a peer has reported. */
  public get highestSeenOffset(): number {
    return Math.max(this._highestSeenOffset, this._nextOffset - 1);
  }

  /** Whether the log is assumed to accept appends to the topic. */
  public get isLogAvailable(): boolean {
    return this._options.health.isAvailable(this._options.topic);
  }

  /** Where the last records came from. */
  public get source(): 'log' | 'peers' | 'none' {
    return this._source;
  }

  /** Wall-clock time of the newest snapshot that this replica wrote or started from; 0 if there was none. */
  public get snapshotTakenAtMs(): number {
    return this._snapshotTakenAtMs;
  }

  /** Whether the topic is read from the log at present. */
  public get isReadingFromLog(): boolean {
    return this._monitor.isReadingFromLog(this._context.now());
  }

  /** Whether neither the log nor a peer has responded for so long that the state may be stale. */
  public get isIsolated(): boolean {
    return this._context.now() - this._lastContactMs > isolatedAfterMs;
  }

  /**
   * Whether the state may be stale: nothing has responded for long, such as after a pause of this process, or records are
   * missing and a full state is being looked for.
   */
  public get isCatchingUp(): boolean {
    return this.isIsolated || this._recovering;
  }

  /** Appends a record and resolves once it has been read back and replayed. */
  public append(body: Body, timeoutMs: number): Promise<AppendOutcome> {
    return this._appender.append(body, timeoutMs);
  }

  /** Records an offset that the log or a peer has reported. */
  public observeOffset(offset: number): void {
    this._highestSeenOffset = Math.max(this._highestSeenOffset, offset);
  }

  /** Resolves with true once all records below an offset are applied, or with false after the timeout. */
  public waitFor(nextOffset: number, timeoutMs: number): Promise<boolean> {
    return this._offsetWaiters.wait(nextOffset, this._nextOffset, timeoutMs);
  }

  /** Resolves with true once all records that the log holds at the time of the call are applied. */
  public async catchUp(timeoutMs: number): Promise<boolean> {
    const startedMs = this._context.now();
    const range = await this._options.client.offsets(this._options.topic, timeoutMs);
    if (!range.ok) {
      return false;
    }
    this.observeOffset(range.value.endOffset - 1);
    return this.waitFor(range.value.endOffset, Math.max(0, timeoutMs - (this._context.now() - startedMs)));
  }

  /** Returns recent records to a peer; waits up to `waitMs` while there are none. */
  public async recordsAfter(offset: number, waitMs: number): Promise<PeerRecords> {
    if (offset >= this._nextOffset) {
      await this.waitFor(offset + 1, waitMs);
    }
    return this._recentRecords.from(offset, this._nextOffset);
  }

  /** The full state for a peer or a snapshot. */
  public image(): StateImage {
    const state = this._options.stateMachine.encode(this._state);
    return { nextOffset: this._nextOffset, state, takenAtMs: this._context.wallNow() };
  }

  /** Replaces the state by an equivalent one, for example without entries that replay no longer needs. */
  public compact(rewrite: (state: State) => State): void {
    this._state = rewrite(this._state);
  }

  /** Writes a snapshot of the current state. */
  public async writeSnapshot(): Promise<boolean> {
    if (this._nextOffset === 0) {
      return false;
    }
    const image = this.image();
    const written = await this._snapshots.write(image);
    if (written.ok) {
      this._snapshotTakenAtMs = image.takenAtMs;
    }
    return written.ok;
  }

  /** End offset of the snapshot topic; it grows whenever any daemon writes a snapshot. */
  public snapshotEndOffset(): Promise<number | undefined> {
    return this._snapshots.endOffset();
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._stopped = true;
    this._offsetWaiters.close();
    await this._appender[Symbol.asyncDispose]();
    this._options.health.setReadable(this._options.topic, true);
    await super[Symbol.asyncDispose]();
  }

  protected override handle(message: ReplicaMessage): void {
    if (this._stopped) {
      return;
    }
    switch (message.kind) {
      case 'start':
        this._recover(true);
        break;
      case 'tick':
        this._checkSource();
        break;
      case 'poll':
        this._poll();
        break;
      case 'polled':
        this._handlePoll(message.outcome);
        break;
      case 'peerRecords':
        this._handlePeerRecords(message.response);
        break;
      case 'recovered':
        this._handleImages(message.images, message.starting);
        break;
    }
  }

  private _poll(): void {
    if (this._polling) {
      return;
    }
    this._polling = true;
    this._monitor.pollStarted(this._context.now());
    const { client, topic, timeoutMs } = this._options;
    void client
      .read(topic, this._nextOffset, pollWaitMs, pollWaitMs + this._monitor.responseTimeoutMs(timeoutMs))
      .then((outcome) => this.post({ kind: 'polled', outcome }));
  }

  private _handlePoll(outcome: common.Outcome<readonly RawRecord[], LogFailure>): void {
    const { health, topic } = this._options;
    this._polling = false;
    if (outcome.ok) {
      this._lastContactMs = this._context.now();
      this._monitor.pollSucceeded();
      health.setReadable(topic, true);
      this._source = 'log';
      if (this._apply(outcome.value)) {
        this._readBackoff.reset();
        this._poll();
      }
    } else if (outcome.failure.kind === 'belowBeginning') {
      this._monitor.pollSucceeded();
      this._recover(false);
    } else {
      this._monitor.pollFailed(this._context.now());
      health.setReadable(topic, !this._monitor.isDown);
      this._requestPeerRecords();
      this.postAfter(this._readBackoff.nextMs(), () => ({ kind: 'poll' }));
    }
  }

  /** Applies the records that follow the last applied one and skips earlier ones. Returns false at a gap. */
  private _apply(records: readonly RawRecord[]): boolean {
    for (const raw of records) {
      if (raw.offset > this._nextOffset) {
        this._recover(false);
        return false;
      }
      if (raw.offset === this._nextOffset) {
        this._recentRecords.push(raw);
        this._nextOffset = raw.offset + 1;
        this._replay(raw);
      }
    }
    this._offsetWaiters.advance(this._nextOffset);
    this._appender.handleReadBack();
    return true;
  }

  private _replay(raw: RawRecord): void {
    const envelope = this._options.stateMachine.parse(raw.value);
    if (!envelope) {
      this._skipMalformed(raw);
      return;
    }
    const record = { ...envelope, offset: raw.offset };
    this._context.clock.receive(record.clock);
    const { state, verdict } = this._options.stateMachine.replay(this._state, record);
    this._state = state;
    this._changes.fire({ record, verdict, state });
    this._appender.settle(record.id, raw.offset, verdict);
  }

  /** Skips a malformed record; if this daemon appended it, the append is settled as rejected. */
  private _skipMalformed({ offset, value }: RawRecord): void {
    this._context.logger.warn('a record is malformed and has no effect', { offset });
    const author = authorSchema.safeParse(value);
    if (author.success) {
      const message = 'the record is malformed';
      this._appender.settle(author.data.id, offset, { kind: 'rejected', rule: 'invalidRecord', message });
    }
  }

  private _checkSource(): void {
    const nowMs = this._context.now();
    this._monitor.setBehind(this._highestSeenOffset >= this._nextOffset, nowMs);
    if (this._monitor.needsPeers(nowMs)) {
      this._requestPeerRecords();
    }
  }

  private _requestPeerRecords(): void {
    if (this._requestingPeerRecords || this._recovering) {
      return;
    }
    this._requestingPeerRecords = true;
    void this._options.peers
      .recordsAfter(this._options.topic, this._nextOffset)
      .then((response) => this.post({ kind: 'peerRecords', response: response }));
  }

  private _handlePeerRecords(response: PeerRecords | undefined): void {
    this._requestingPeerRecords = false;
    if (!response) {
      return;
    }
    this._lastContactMs = this._context.now();
    this.observeOffset(response.nextOffset - 1);
    if (response.kind === 'gap') {
      this._recover(false);
      return;
    }
    // A poll in flight may return the same records later; they are skipped by offset.
    if (response.records.length > 0) {
      this._source = this.isReadingFromLog ? this._source : 'peers';
      this._apply(response.records);
    }
    if (this._monitor.needsPeers(this._context.now())) {
      this._requestPeerRecords();
    }
  }

  /** Looks for a full state with a higher offset: the newest snapshot, or else a peer's state. */
  private _recover(starting: boolean): void {
    if (this._recovering) {
      return;
    }
    this._recovering = true;
    void this._findImages(starting).then((images) => this.post({ kind: 'recovered', images, starting }));
  }

  private async _findImages(starting: boolean): Promise<RecoveryImages> {
    const read = await this._snapshots.readNewest();
    const snapshot = read.ok ? read.value : undefined;
    const aboveOffset = Math.max(this._nextOffset, snapshot?.nextOffset ?? 0);
    const needsPeers = !starting || !read.ok;
    return {
      snapshot,
      peer: needsPeers ? await this._options.peers.state(this._options.topic, aboveOffset) : undefined,
    };
  }

  private _handleImages(images: RecoveryImages, starting: boolean): void {
    this._recovering = false;
    const previousOffset = this._nextOffset;
    this._snapshotTakenAtMs = Math.max(this._snapshotTakenAtMs, images.snapshot?.takenAtMs ?? 0);
    this._applyImage(images.snapshot);
    this._applyImage(images.peer);
    if (starting || this._nextOffset > previousOffset) {
      this._poll();
    } else {
      this.postAfter(this._readBackoff.nextMs(), () => ({ kind: 'poll' }));
    }
  }

  /** Replaces the state by one with a higher offset; never moves to a lower offset. */
  private _applyImage(image: StateImage | undefined): void {
    if (!image || image.nextOffset <= this._nextOffset) {
      return;
    }
    const state = this._options.stateMachine.decode(image.state);
    if (state === undefined) {
      this._context.logger.error('a full state is malformed and was ignored', { nextOffset: image.nextOffset });
      return;
    }
    this._state = state;
    this._nextOffset = image.nextOffset;
    this._recentRecords.clear();
    this._context.logger.info('applied a full state', { nextOffset: image.nextOffset });
    this._replacements.fire(state);
    this._offsetWaiters.advance(this._nextOffset);
  }
}
