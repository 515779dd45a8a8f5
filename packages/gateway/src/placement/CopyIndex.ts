import type { PlacedReplica } from './Types.js';

/** Index of replicas by the models that they hold, load or have local weights of. Avoids a search over all replicas. */
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

  /** Replicas that hold a model which is neither being unloaded nor retiring. */
  public ready(model: string): readonly PlacedReplica[] {
    return this._ready.get(model) ?? [];
  }

  /** Replicas that take requests and have a model ready, load it, or are being cleared for it. */
  public assigned(model: string): readonly PlacedReplica[] {
    return [...(this._assigned.get(model) ?? [])];
  }

  /** Replicas that have the weights of a model in host memory or on disk. */
  public withLocalWeights(model: string): readonly PlacedReplica[] {
    return this._withLocalWeights.get(model) ?? [];
  }

  /** True if any replica is assigned the model or has its weights in host memory or on disk. */
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
