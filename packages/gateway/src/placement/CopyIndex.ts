import type { PlacedReplica } from './Types.js';

/** Replicas by the models that they hold, load or have a copy of, so that planning does not search all for each model. */
export class CopyIndex {
  private readonly _ready = new Map<string, PlacedReplica[]>();
  private readonly _present = new Map<string, Set<PlacedReplica>>();
  private readonly _atHand = new Map<string, PlacedReplica[]>();

  public constructor(replicas: readonly PlacedReplica[]) {
    for (const replica of replicas) {
      this._addAtHand(replica);
      if (replica.takesRequests) {
        this._addPresent(replica);
      }
    }
  }

  /** Replicas that hold a model and neither unload nor retire it. */
  public ready(model: string): readonly PlacedReplica[] {
    return this._ready.get(model) ?? [];
  }

  /** Replicas that hold a model, load it, or are being cleared for it. */
  public present(model: string): readonly PlacedReplica[] {
    return [...(this._present.get(model) ?? [])];
  }

  /** Replicas that can load a model from their own memory or disk. */
  public atHand(model: string): readonly PlacedReplica[] {
    return this._atHand.get(model) ?? [];
  }

  /** True if a replica holds or loads a model, or can load it from its own memory or disk. */
  public isAnywhere(model: string): boolean {
    return this._atHand.has(model) || this._present.has(model);
  }

  private _addAtHand(replica: PlacedReplica): void {
    for (const model of new Set([...replica.inMemory, ...replica.onDisk])) {
      append(this._atHand, model, replica);
    }
  }

  private _addPresent(replica: PlacedReplica): void {
    const { order, clearingFor } = replica;
    for (const held of replica.models) {
      const isUnloading = order?.kind === 'unload' && order.model === held.name;
      if (!isUnloading && held.retiringSinceMs === undefined) {
        append(this._ready, held.name, replica);
        this._note(held.name, replica);
      }
    }
    if (order?.kind === 'load') {
      this._note(order.model, replica);
    }
    if (clearingFor !== undefined) {
      this._note(clearingFor, replica);
    }
  }

  private _note(model: string, replica: PlacedReplica): void {
    const replicas = this._present.get(model) ?? new Set<PlacedReplica>();
    replicas.add(replica);
    this._present.set(model, replicas);
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
