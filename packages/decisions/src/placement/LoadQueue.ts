import type * as common from '@jayhaven/common';
import type { DecisionReason, ModelSettings } from '../Types.js';
import { neededBytes, sumBytes } from './fitting.js';

/** Entries that are not renewed within this time are dropped; daemons repeat their wake requests each second. */
const entryLifetimeMs = 5_000;
/** A large load is ordered before smaller ones once it has waited this long, which prevents starvation. */
const agingThresholdMs = 5_000;

/** Queued load of a model. */
export interface LoadQueueEntry {
  readonly settings: ModelSettings;
  readonly urgency: common.Urgency;
  /** Desired total number of replicas. */
  readonly replicas: number;
  /** Latest deadline of the waiting requests; Infinity if no request waits. */
  readonly deadlineMs: number;
  readonly enqueuedMs: number;
  readonly refreshedMs: number;
  readonly waiting: number;
  /** Reason for the load if no request waits for it. */
  readonly cause?: DecisionReason;
}

/** Request to load a model. */
export interface LoadQueueRequest {
  readonly settings: ModelSettings;
  readonly urgency: common.Urgency;
  readonly replicas: number;
  readonly remainingMs: number;
  readonly waiting: number;
  readonly cause?: DecisionReason;
}

/**
 * Queue of loads that wait for a decision. Interactive loads come before batch loads. Within an urgency, partners are
 * served by weighted fair queueing, and the loads of a partner from small to large.
 */
export class LoadQueue {
  private readonly _entries = new Map<string, LoadQueueEntry>();
  /** Virtual time of each partner: the load time charged to it so far, divided by its weight. */
  private readonly _virtualTimeMs = new Map<common.PartnerName, number>();

  public constructor(private readonly _maximumEntries = 1_000) {}

  public get size(): number {
    return this._entries.size;
  }

  /** Adds a model or renews its entry. Returns false if the queue is full. */
  public add(request: LoadQueueRequest, nowMs: number): boolean {
    const key = keyOf(request.settings);
    const before = this._entries.get(key);
    if (before === undefined && this._entries.size >= this._maximumEntries) {
      return false;
    }
    const cause = request.cause ?? before?.cause;
    const interactive = request.urgency === 'interactive' || before?.urgency === 'interactive';
    this._entries.set(key, {
      settings: request.settings,
      urgency: interactive ? 'interactive' : 'batch',
      replicas: Math.max(request.replicas, before?.replicas ?? 0),
      deadlineMs: Math.max(nowMs + request.remainingMs, before?.deadlineMs ?? 0),
      // The waiting time starts anew when the first request joins an entry that no request waited for.
      enqueuedMs: before !== undefined && (before.waiting > 0 || request.waiting === 0) ? before.enqueuedMs : nowMs,
      refreshedMs: nowMs,
      waiting: Math.max(request.waiting, before?.waiting ?? 0),
      ...(cause === undefined ? {} : { cause }),
    });
    if (before === undefined) {
      this._advanceVirtualTime(request.settings.partner);
    }
    return true;
  }

  /** Removes a model whose load was decided or refused. */
  public remove(settings: ModelSettings): void {
    this._entries.delete(keyOf(settings));
  }

  /** Whether the model is queued. */
  public has(settings: ModelSettings): boolean {
    return this._entries.has(keyOf(settings));
  }

  /** Charges a partner for a decided load. */
  public charge(partner: common.PartnerName, loadMs: number, weight: number): void {
    this._virtualTimeMs.set(partner, (this._virtualTimeMs.get(partner) ?? 0) + loadMs / Math.max(weight, 0.01));
  }

  /** Drops entries that were not renewed in time or whose deadline has passed. */
  public dropStale(nowMs: number): void {
    for (const [key, entry] of this._entries) {
      if (nowMs - entry.refreshedMs > entryLifetimeMs || entry.deadlineMs < nowMs) {
        this._entries.delete(key);
      }
    }
  }

  /** Entries in the order of decision. The caller skips blocked entries instead of waiting for them. */
  public ordered(nowMs: number): readonly LoadQueueEntry[] {
    return [...this._entries.values()].sort((first, second) => this._compare(first, second, nowMs));
  }

  /** Number of entries ahead of a model. */
  public position(settings: ModelSettings, nowMs: number): number {
    const key = keyOf(settings);
    const index = this.ordered(nowMs).findIndex((entry) => keyOf(entry.settings) === key);
    return index < 0 ? this._entries.size : index;
  }

  private _compare(first: LoadQueueEntry, second: LoadQueueEntry, nowMs: number): number {
    return (
      urgencyRank(first.urgency) - urgencyRank(second.urgency) ||
      this._virtualTimeOf(first) - this._virtualTimeOf(second) ||
      effectiveBytesOf(first, nowMs) - effectiveBytesOf(second, nowMs) ||
      first.enqueuedMs - second.enqueuedMs ||
      (keyOf(first.settings) < keyOf(second.settings) ? -1 : 1)
    );
  }

  private _virtualTimeOf(entry: LoadQueueEntry): number {
    return this._virtualTimeMs.get(entry.settings.partner) ?? 0;
  }

  /** Raises the virtual time of a partner that had no queued loads, so that its idle time gives it no priority. */
  private _advanceVirtualTime(partner: common.PartnerName): void {
    const entries = [...this._entries.values()];
    const others = entries.filter((entry) => entry.settings.partner !== partner);
    const own = entries.filter((entry) => entry.settings.partner === partner);
    if (own.length === 1 && others.length > 0) {
      const lowestMs = Math.min(...others.map((entry) => this._virtualTimeOf(entry)));
      this._virtualTimeMs.set(partner, Math.max(lowestMs, this._virtualTimeMs.get(partner) ?? 0));
    }
  }
}

function urgencyRank(urgency: common.Urgency): number {
  return urgency === 'interactive' ? 0 : 1;
}

function effectiveBytesOf(entry: LoadQueueEntry, nowMs: number): number {
  return nowMs - entry.enqueuedMs > agingThresholdMs ? 0 : sumBytes(neededBytes(entry.settings));
}

function keyOf(settings: ModelSettings): string {
  return `${settings.partner}/${settings.model}@${settings.version}`;
}
