import * as common from '@jayhaven/common';
import type { TableRecord } from '../contracts/MetadataStore.js';
import { evictOldest } from '../evictOldest.js';
import type { LoadedModel, Replica } from '../Types.js';
import type { RecordSource } from './TableSynchronizer.js';

/** Models loaded on a replica according to the placement leader, newer than those in the replica's own record. */
export interface ReplicaHoldings {
  readonly replicaId: string;
  readonly bornMs: number;
  readonly models: readonly LoadedModel[];
}

/** A replica that has announced that it is leaving. */
export interface LeavingReplica {
  readonly replicaId: string;
  /** Start of the replica's process, milliseconds since 1970. */
  readonly bornMs: number;
}

/** Largest number of replicas of which it is kept that they are leaving or have left. */
const maximumFormerReplicas = 4_096;

/** How changes of the replica table take effect. */
export interface ChangeTiming {
  readonly nowMs: number;
  /** Where the records come from, for the log. */
  readonly source: RecordSource;
  /** Time for which a removed replica stays in use, milliseconds. */
  readonly removalGraceMs: number;
  /**
   * Present if the store was restored from a copy: time for which a replica that has left stays out of use although the
   * copy has its record, milliseconds.
   */
  readonly returnDelayMs?: number;
}

interface Entry {
  readonly replica: Replica;
  /** Steady time at which a removed replica is dropped; absent while its record exists. */
  readonly dropAtMs?: number;
  /** Steady time from which the replica is used; absent if it is used at once. */
  readonly usableFromMs?: number;
}

/** The known replicas, from the store's records and the placement leader's messages. */
export class ReplicaDirectory {
  private readonly _entries = new Map<string, Entry>();
  private readonly _holdings = new Map<string, ReplicaHoldings>();
  /** Replicas that have announced that they are leaving, in an answer or in their record, by `leavingKey`. */
  private readonly _leaving = new Map<string, LeavingReplica>();
  /** Start times of replicas whose records were removed, by replica id. */
  private readonly _removed = new Map<string, number>();
  /** Usable replicas with their newest known models, by service; built at the first use after a change. */
  private _byService: ReadonlyMap<string, readonly Replica[]> | undefined;
  private readonly _onChanged = new common.Emitter<string>();
  /** Fires with the id of a replica that changed. */
  public readonly onChanged = this._onChanged.event;

  public constructor(
    private readonly _decode: (id: string, text: string) => Replica | undefined,
    private readonly _log: common.Logger,
  ) {}

  /**
   * Applies records of the replica table. A removed replica stays in use for the grace period, because records that
   * expired during an outage of the store are written again afterwards. Returns the records that add or remove a
   * replica or change its routing; the others change only models, which the placement leader announces itself.
   */
  public apply(records: readonly TableRecord[], timing: ChangeTiming): readonly TableRecord[] {
    return records.filter((record) => {
      const replica = record.value === undefined ? undefined : this._decode(record.key, record.value);
      return replica === undefined ? this._remove(record, timing) : this._put(record, replica, timing);
    });
  }

  /** Sets the models of a replica that the placement leader has announced. */
  public applyHoldings(holdings: ReplicaHoldings): void {
    this._holdings.set(holdings.replicaId, holdings);
    this._notifyChanged(holdings.replicaId);
  }

  /**
   * Marks a replica as leaving after it has announced this in an answer. From now on it gets no new requests,
   * regardless of its record and of peers' messages, until it restarts under its id. Returns false if it was marked
   * before.
   */
  public markLeaving(replicaId: string, bornMs: number): boolean {
    if (this._leaving.has(leavingKey(replicaId, bornMs))) {
      return false;
    }
    this._rememberLeaving(replicaId, bornMs);
    this._log.info('Replica announced that it is leaving.', { replica: replicaId, bornMs });
    this._notifyChanged(replicaId);
    return true;
  }

  /** The replicas that have announced that they are leaving. */
  public leavingReplicas(): Iterable<LeavingReplica> {
    return this._leaving.values();
  }

  /** True if requests may still be sent to a replica that was chosen earlier. */
  public isUsable({ id, bornMs }: Replica): boolean {
    const known = this.get(id);
    return known?.state === 'ready' && known.bornMs === bornMs;
  }

  /** Drops removed replicas whose grace period has ended, and returns those to use whose delay has ended. */
  public expire(nowMs: number): void {
    for (const [id, entry] of this._entries) {
      if (entry.dropAtMs !== undefined && nowMs >= entry.dropAtMs) {
        this._log.info('Dropped a replica whose record was removed.', { replica: id });
        this._drop(id, entry);
      } else if (entry.usableFromMs !== undefined && nowMs >= entry.usableFromMs) {
        this._entries.set(id, { replica: entry.replica });
        this._log.info('A replica that had left is in use again: its record has not expired.', { replica: id });
        this._notifyChanged(id);
      }
    }
  }

  /** Replica by id, with its newest known models. */
  public get(id: string): Replica | undefined {
    const entry = this._entries.get(id);
    return entry === undefined ? undefined : this._withHoldings(entry);
  }

  /** All replicas, draining ones included. */
  public all(): readonly Replica[] {
    return [...this._entries.values()].map((entry) => this._withHoldings(entry));
  }

  /** Replicas of a service that accept new requests. */
  public usable(service: string): readonly Replica[] {
    this._byService ??= groupByService(this.all().filter((replica) => replica.state === 'ready'));
    return this._byService.get(service) ?? [];
  }

  public get size(): number {
    return this._entries.size;
  }

  /** Returns true if the record changes how requests are routed to the replica. */
  private _put(record: TableRecord, replica: Replica, { nowMs, source, returnDelayMs }: ChangeTiming): boolean {
    const before = this._entries.get(record.key);
    const hasLeft = before === undefined && this._removed.get(replica.id) === replica.bornMs;
    const usableFromMs = hasLeft && returnDelayMs !== undefined ? nowMs + returnDelayMs : undefined;
    this._entries.set(record.key, { replica, ...(usableFromMs !== undefined && { usableFromMs }) });
    if (replica.state === 'draining') {
      this._rememberLeaving(replica.id, replica.bornMs);
    }
    const affectsRouting =
      before === undefined || before.dropAtMs !== undefined || routesDifferently(before.replica, replica);
    if (affectsRouting) {
      const { id, service, softwareVersion, state, bornMs, models, inMemory, onDisk } = replica;
      const counts = { models: models.length, inMemory: inMemory.length, onDisk: onDisk.length };
      const isHeldBack = usableFromMs !== undefined;
      this._log.info('Replica changed.', {
        replica: id,
        service,
        softwareVersion,
        state,
        bornMs,
        ...counts,
        offset: record.offset,
        source,
        ...(isHeldBack && { isHeldBack }),
      });
    }
    this._notifyChanged(record.key);
    return affectsRouting;
  }

  /** Returns true if the replica was known. */
  private _remove(record: TableRecord, { nowMs, source, removalGraceMs: graceMs }: ChangeTiming): boolean {
    const entry = this._entries.get(record.key);
    // A removal that is already known does not shorten the grace period.
    if (entry === undefined || entry.dropAtMs !== undefined) {
      return false;
    }
    const reason = record.value === undefined ? 'record removed' : 'record unreadable';
    this._log.info('Replica leaves.', { replica: record.key, reason, offset: record.offset, source, graceMs });
    if (graceMs > 0) {
      this._entries.set(record.key, { ...entry, dropAtMs: nowMs + graceMs });
      return true;
    }
    this._drop(record.key, entry);
    return true;
  }

  private _drop(id: string, { replica }: Entry): void {
    this._entries.delete(id);
    this._removed.set(id, replica.bornMs);
    evictOldest(this._removed, maximumFormerReplicas);
    this._notifyChanged(id);
  }

  private _rememberLeaving(replicaId: string, bornMs: number): void {
    this._leaving.set(leavingKey(replicaId, bornMs), { replicaId, bornMs });
    evictOldest(this._leaving, maximumFormerReplicas);
  }

  private _notifyChanged(id: string): void {
    this._byService = undefined;
    this._onChanged.fire(id);
  }

  private _withHoldings({ replica, usableFromMs }: Entry): Replica {
    const holdings = this._holdings.get(replica.id);
    const known = holdings?.bornMs === replica.bornMs ? { ...replica, models: holdings.models } : replica;
    const isOutOfUse = usableFromMs !== undefined || this._leaving.has(leavingKey(replica.id, replica.bornMs));
    return isOutOfUse ? { ...known, state: 'draining' } : known;
  }
}

/** An earlier start of a replica leaves apart from a later one under the same id. */
function leavingKey(replicaId: string, bornMs: number): string {
  return `${bornMs} ${replicaId}`;
}

function groupByService(replicas: readonly Replica[]): ReadonlyMap<string, readonly Replica[]> {
  const groups = new Map<string, Replica[]>();
  for (const replica of replicas) {
    const group = groups.get(replica.service) ?? [];
    group.push(replica);
    groups.set(replica.service, group);
  }
  return groups;
}

function routesDifferently(before: Replica, after: Replica): boolean {
  return (
    before.state !== after.state ||
    before.bornMs !== after.bornMs ||
    before.service !== after.service ||
    before.softwareVersion !== after.softwareVersion ||
    before.slots !== after.slots ||
    before.address.host !== after.address.host ||
    before.address.port !== after.address.port
  );
}
