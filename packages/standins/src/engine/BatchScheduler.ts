/** One sequence of a batch. */
export interface Sequence {
  readonly urgency: 'interactive' | 'batch';
  /** Time to the first token, milliseconds. Evaluated when the sequence gets its slot. */
  firstTokenMs(): number;
  readonly firstIndex: number;
  readonly endIndex: number;
  onStarted(): void;
  /** Emits a token. Returns false if the client's buffer is full; the sequence then pauses until `resume`. */
  onToken(index: number): boolean;
  onFinished(): void;
  /** Called when a more urgent sequence takes its place in the queue. */
  onShed(): void;
}

interface Running {
  readonly sequence: Sequence;
  nextIndex: number;
  /** Time at which the next token is due, milliseconds. */
  dueMs: number;
  blocked: boolean;
  timer: NodeJS.Timeout | undefined;
}

/** Continuous batching: a sequence joins the batch as soon as a slot is free, interactive sequences first. */
export class BatchScheduler {
  private readonly _running = new Map<Sequence, Running>();
  private readonly _queue: Sequence[] = [];

  public constructor(
    private readonly _slots: number,
    private readonly _queueLimit: number,
    private readonly _tokenMs: number,
    private readonly _onChange: () => void,
  ) {}

  public get running(): number {
    return this._running.size;
  }

  public get waiting(): number {
    return this._queue.length;
  }

  /** Starts or queues a sequence. Returns false if the queue is full. */
  public submit(sequence: Sequence): boolean {
    if (this._running.size < this._slots) {
      this._start(sequence);
      return true;
    }
    if (this._queue.length >= this._queueLimit && !this._shedBatchFor(sequence)) {
      return false;
    }
    const batchIndex = this._queue.findIndex((queued) => queued.urgency === 'batch');
    const index = sequence.urgency === 'interactive' && batchIndex >= 0 ? batchIndex : this._queue.length;
    this._queue.splice(index, 0, sequence);
    this._onChange();
    return true;
  }

  /** Continues a sequence whose client can receive data again. */
  public resume(sequence: Sequence): void {
    const running = this._running.get(sequence);
    if (running?.blocked) {
      running.blocked = false;
      this._emit(running);
    }
  }

  /** Removes a sequence from the batch or the queue. */
  public cancel(sequence: Sequence): void {
    const queued = this._queue.indexOf(sequence);
    if (queued >= 0) {
      this._queue.splice(queued, 1);
      this._onChange();
    }
    this._end(sequence);
  }

  public stop(): void {
    for (const running of this._running.values()) {
      clearTimeout(running.timer);
    }
    this._running.clear();
    this._queue.length = 0;
  }

  private _shedBatchFor(sequence: Sequence): boolean {
    const last = this._queue.at(-1);
    if (sequence.urgency !== 'interactive' || last?.urgency !== 'batch') {
      return false;
    }
    this._queue.pop();
    last.onShed();
    return true;
  }

  private _start(sequence: Sequence): void {
    const dueMs = performance.now() + sequence.firstTokenMs();
    const running: Running = { sequence, nextIndex: sequence.firstIndex, dueMs, blocked: false, timer: undefined };
    this._running.set(sequence, running);
    this._onChange();
    sequence.onStarted();
    this._schedule(running);
  }

  private _schedule(running: Running): void {
    running.timer = setTimeout(
      () => {
        this._emit(running);
      },
      Math.max(0, running.dueMs - performance.now()),
    );
  }

  /** Emits every token that is due, also those of a timer that fired late. */
  private _emit(running: Running): void {
    const { sequence } = running;
    const nowMs = performance.now();
    while (running.nextIndex < sequence.endIndex && running.dueMs <= nowMs + 0.5) {
      if (!this._running.has(sequence)) {
        return;
      }
      const index = running.nextIndex;
      running.nextIndex += 1;
      running.dueMs += this._tokenMs;
      if (!sequence.onToken(index)) {
        running.blocked = true;
        break;
      }
    }
    if (!this._running.has(sequence)) {
      return;
    }
    if (running.nextIndex >= sequence.endIndex) {
      sequence.onFinished();
      this._end(sequence);
    } else if (!running.blocked) {
      this._schedule(running);
    }
  }

  private _end(sequence: Sequence): void {
    const running = this._running.get(sequence);
    if (!running) {
      return;
    }
    clearTimeout(running.timer);
    this._running.delete(sequence);
    const next = this._queue.shift();
    if (next) {
      this._start(next);
    }
    this._onChange();
  }
}
