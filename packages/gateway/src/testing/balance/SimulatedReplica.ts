import type { ReportedLoad } from '../../contracts/RequestCodec.js';
import type { EventQueue } from './EventQueue.js';

/** Receives the events of a simulated request. */
export interface RequestListener {
  onFirstEvent(nowMs: number): void;
  /** `runMs` is the time since the first event. */
  onEnd(nowMs: number, runMs: number): void;
}

interface Work {
  readonly workMs: number;
  readonly firstEventShare: number;
  readonly listener: RequestListener;
}

/** Replicas are slow for a time at random intervals, as other programs use their machines. */
const slowPhase = { slowness: 2.5, durationMs: 600, meanGapMs: 3_000 } as const;

/** A replica that processes requests in slots, with a queue. The speed at the start of a request holds until its end. */
export class SimulatedReplica {
  public running = 0;
  private readonly _queue: Work[] = [];
  private _slowness = 1;

  public constructor(
    public readonly slots: number,
    public readonly speed: number,
    private readonly _events: EventQueue,
    private readonly _random: () => number,
  ) {
    this._schedulePhase();
  }

  public get waiting(): number {
    return this._queue.length;
  }

  public get total(): number {
    return this.running + this._queue.length;
  }

  public report(statesSlowness: boolean): ReportedLoad {
    const { running, waiting, slots } = this;
    return { running, waiting, slots, ...(statesSlowness && { slowness: this._slowness }) };
  }

  public add(workMs: number, firstEventShare: number, listener: RequestListener): void {
    this._queue.push({ workMs, firstEventShare, listener });
    this._startNext();
  }

  private _startNext(): void {
    if (this.running >= this.slots) {
      return;
    }
    const work = this._queue.shift();
    if (work === undefined) {
      return;
    }
    this.running += 1;
    const durationMs = (work.workMs * this._slowness) / this.speed;
    const firstMs = durationMs * work.firstEventShare;
    this._events.schedule(firstMs, () => {
      work.listener.onFirstEvent(this._events.nowMs);
    });
    this._events.schedule(durationMs, () => {
      this.running -= 1;
      work.listener.onEnd(this._events.nowMs, durationMs - firstMs);
      this._startNext();
    });
  }

  private _schedulePhase(): void {
    this._events.schedule(-Math.log(1 - this._random()) * slowPhase.meanGapMs, () => {
      this._slowness = slowPhase.slowness;
      this._events.schedule(slowPhase.durationMs, () => {
        this._slowness = 1;
        this._schedulePhase();
      });
    });
  }
}
