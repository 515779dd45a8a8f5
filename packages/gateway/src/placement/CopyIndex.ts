import type { PlacedReplica } from './Types.js';

/** Replicas by the models that they hold, load or have a copy of, so that planning does not search all for each model. */
export class CopyIndex {
  private readonly _ready = new Map<string, PlacedReplica[]>();
  private readonly _assigned = new Map<string, Set<PlacedReplica>>();
  private readonly _withLocalWeights = new Map<string, PlacedReplica[]>();

  public constructor(replicas: readonly PlacedReplica[]) {
    for (const replica of replicas) {
      this._indexLocalWeights(replica);
      if (replica.takesRequests) {
        this._indexAssignments(replica);
      }
    }
  }

  /** Replicas that hold a model and neither unload nor retire it. */
  public ready(model: string): readonly PlacedReplica[] {
    return this._ready.get(model) ?? [];
  }

  /** Replicas that hold a model, load it, or are being cleared for it. */
  public assigned(model: string): readonly PlacedReplica[] {
    return [...(this._assigned.get(model) ?? [])];
  }

  /** Replicas that can load a model from their own memory or disk. */
  public withLocalWeights(model: string): readonly PlacedReplica[] {
    return this._withLocalWeights.get(model) ?? [];
  }

  /** True if a replica holds or loads a model, or can load it from its own memory or disk. */
  public hasAnyCopy(model: string): boolean {
    return this._withLocalWeights.has(model) || this._assigned.has(model);
  }

  private _indexLocalWeights(replica: PlacedReplica): void {
    for (const model of new Set([...replica.inMemory, ...replica.onDisk])) {
      append(this._withLocalWeights, model, replica);
    }
  }

  private _indexAssignments(replica: PlacedReplica): void {
    const { order, clearingFor } = replica;
    for (const held of replica.models) {
      const isUnloading = order?.kind === 'unload' && order.model === held.name;
      if (!isUnloading && held.retiringSinceMs === undefined) {
        append(this._ready, held.name, replica);
        this._addAssigned(held.name, replica);
      }
    }
    if (order?.kind === 'load') {
      this._addAssigned(order.model, replica);
    }
    if (clearingFor !== undefined) {
      this._addAssigned(clearingFor, replica);
    }
  }

  private _addAssigned(model: string, replica: PlacedReplica): void {
    const replicas = this._assigned.get(model) ?? new Set<PlacedReplica>();
    replicas.add(replica);
    this._assigned.set(model, replicas);
  }
}

function append(lists: Map<string, PlacedReplica[]>, model: string, replica: PlacedReplica): void {
  const list = lists.get(model);
  if (list === undefined) {
    lists.set(model, [replica]);
  } else {
    list.push(replica);
  }
}
