/** Cost of a restart: size, encoding, decoding and replay of a control state at the intended scale. */
import * as decisions from '@jayhaven/decisions';
import { usedHeap } from './usedHeap.js';

/** Numbers of the entries of a control state. */
export interface StateSizes {
  readonly daemons: number;
  readonly targets: number;
  readonly acceleratorsPerTarget: number;
  readonly models: number;
  readonly adapters: number;
  readonly replicas: number;
}

interface SnapshotFigures {
  readonly sizes: StateSizes;
  readonly bytes: number;
  readonly encodeMs: readonly number[];
  readonly decodeMs: readonly number[];
  readonly buildRecords: number;
  readonly rejected: number;
  readonly replayMicroseconds: number;
  /** Mean replay time of the records that load replicas; all other entries exist already. */
  readonly loadMicroseconds: number;
  readonly editMicroseconds: readonly number[];
  readonly renewMicroseconds: readonly number[];
  readonly heapBytes: number;
}

const repetitions = 5;
const timedRecords = 500;
const partners = ['solano', 'cascade'];
const systemSizes: StateSizes = {
  daemons: 430,
  targets: 1600,
  acceleratorsPerTarget: 8,
  models: 850,
  adapters: 2900,
  replicas: 1600,
};
const cellSizes: StateSizes = {
  daemons: 108,
  targets: 400,
  acceleratorsPerTarget: 8,
  models: 850,
  adapters: 2900,
  replicas: 400,
};

/** Measures the state of one cell, and that of the entire system in a single cell. */
export function measureSnapshot(): { readonly cell: SnapshotFigures; readonly whole: SnapshotFigures } {
  return { cell: measureState(cellSizes), whole: measureState(systemSizes) };
}

/** Builds a state by replay. */
class StateBuilder {
  public state = decisions.emptyControlState({
    maximumConcurrentLoads: 1000,
    maximumAdaptersInTransit: 10_000,
    partners,
  });
  public rejected = 0;
  public records = 0;
  private _sequence = 0;

  public append(body: decisions.ControlRecordBody, incarnation = 'entry-0#1'): decisions.Offset {
    this._sequence += 1;
    const offset = this.records;
    this.records += 1;
    const id = { incarnation, sequence: this._sequence };
    // Parsed as in a daemon, so that the measured time includes the validation against the schema.
    const value: unknown = JSON.parse(JSON.stringify({ id, clock: { wallMs: offset, counter: 0 }, body }));
    const result = decisions.replayValue(this.state, offset, value);
    this.state = result.state;
    this.rejected += result.verdict.kind === 'accepted' ? 0 : 1;
    return offset;
  }
}

interface BuiltState {
  readonly builder: StateBuilder;
  readonly claim: decisions.Offset;
  readonly loadMicroseconds: number;
  readonly editOffset: decisions.Offset;
}

function build(sizes: StateSizes): BuiltState {
  const builder = new StateBuilder();
  for (let index = 0; index < sizes.daemons; index += 1) {
    const place = { vm: `vm-entry-${index}`, failureDomain: `fd-${index % 9}` };
    const peers = { host: `10.0.${index % 250}.7`, port: 7001 };
    const body = {
      kind: 'daemonJoined',
      daemon: `entry-${index}`,
      ...place,
      peers,
      operators: { ...peers, port: 7002 },
    } as const;
    builder.append(body, `entry-${index}#1`);
  }
  const claim = builder.append({ kind: 'ownerClaimed', cell: 'cell-1', supersedes: null });
  for (let index = 0; index < sizes.targets; index += 1) {
    const acceleratorBytes = Array.from({ length: sizes.acceleratorsPerTarget }, () => 80e9);
    const target = { address: targetOf(index), role: 'engine', acceleratorBytes, fencing: 'checked' } as const;
    const place = { vm: `vm-engine-${index}`, failureDomain: `fd-${index % 9}` };
    builder.append({ kind: 'vmObserved', ...place, state: 'live', targets: [target] });
  }
  configure(builder, sizes);
  const before = { timeMs: performance.now(), records: builder.records };
  for (let index = 0; index < sizes.replicas; index += 1) {
    loadReplica(builder, sizes, claim, index);
  }
  const loadMicroseconds = ((performance.now() - before.timeMs) * 1000) / (builder.records - before.records);
  return { builder, claim, loadMicroseconds, editOffset: edit(builder, 0, null) };
}

function targetOf(index: number): string {
  return `10.1.${Math.floor(index / 250)}.${index % 250}:8000`;
}

function modelOf(index: number): { readonly partner: string; readonly model: string } {
  return { partner: partners[index % 2] ?? '', model: `model-${index}` };
}

function configure(builder: StateBuilder, sizes: StateSizes): void {
  const author = (partner: string) => ({ partner, operator: `${partner}-operator`, basedOn: null, reason: 'initial' });
  for (const partner of partners) {
    const key = `${partner}/defaults/maximumReplicas`;
    builder.append({ kind: 'configurationEdited', ...author(partner), key, value: 4 });
  }
  for (let index = 0; index < sizes.models; index += 1) {
    const { partner, model } = modelOf(index);
    const weightBytes = Array.from({ length: sizes.acceleratorsPerTarget }, () => 10e9);
    const value = { version: '1', weightBytes, cacheBytes: 20e9, expectedLoadMilliseconds: 20_000 };
    builder.append({ kind: 'configurationEdited', ...author(partner), key: `${partner}/models/${model}`, value });
  }
  for (let index = 0; index < sizes.adapters; index += 1) {
    const { partner, model } = modelOf(index % sizes.models);
    const key = `${partner}/adapters/${model}/adapter-${index}`;
    builder.append({ kind: 'configurationEdited', ...author(partner), key, value: { bytes: 50e6 } });
  }
}

function loadReplica(builder: StateBuilder, sizes: StateSizes, claim: number, index: number): void {
  const { partner, model } = modelOf(index % sizes.models);
  const replica = builder.append({
    ...{ kind: 'loadDecided', cell: 'cell-1', claim, partner, model, version: '1', target: targetOf(index) },
    bytes: Array.from({ length: sizes.acceleratorsPerTarget }, () => 30e9),
    ordinal: Math.floor(index / sizes.models) + 1,
    urgency: 'interactive',
    reason: { rule: 'wake', figures: { waiting: 1, expectedMs: 20_000 } },
  });
  builder.append({ kind: 'orderSettled', order: replica, result: 'sent' });
  builder.append({ kind: 'replicaReady', replica });
}

function edit(builder: StateBuilder, value: number, basedOn: number | null): decisions.Offset {
  const { partner, model } = modelOf(0);
  const key = `${partner}/exceptions/${model}/keepAliveSeconds`;
  const author = { partner, operator: `${partner}-operator`, reason: 'a written reason of usual length' };
  return builder.append({ kind: 'configurationEdited', ...author, key, basedOn, value: 300 + value });
}

function measureState(sizes: StateSizes): SnapshotFigures {
  const startedMs = performance.now();
  const { builder, claim, loadMicroseconds, editOffset } = build(sizes);
  const buildMs = performance.now() - startedMs;
  const buildRecords = builder.records;
  let version = editOffset;
  const editMicroseconds = repeat(() => {
    for (let index = 1; index <= timedRecords; index += 1) {
      version = edit(builder, index, version);
    }
  }).map((durationMs) => (durationMs * 1000) / timedRecords);
  const renewMicroseconds = repeat(() => {
    for (let index = 0; index < timedRecords; index += 1) {
      builder.append({ kind: 'ownerRenewed', cell: 'cell-1', claim });
    }
  }).map((durationMs) => (durationMs * 1000) / timedRecords);
  let text = '';
  const encodeMs = repeat(() => {
    text = JSON.stringify(decisions.encodeSnapshot(builder.state));
  });
  const states: unknown[] = [];
  const heapBefore = usedHeap();
  const decodeMs = repeat(() => {
    const decoded = decisions.decodeSnapshot(JSON.parse(text));
    if (!decoded.ok) {
      throw new Error(`invariant broken: the snapshot cannot be decoded: ${decoded.failure}`);
    }
    states.push(decoded.value);
  });
  const heapBytes = Math.round((usedHeap() - heapBefore) / states.length);
  return {
    ...{ sizes, bytes: Buffer.byteLength(text), encodeMs, decodeMs, buildRecords, rejected: builder.rejected },
    ...{
      replayMicroseconds: (buildMs * 1000) / buildRecords,
      loadMicroseconds,
      editMicroseconds,
      renewMicroseconds,
      heapBytes,
    },
  };
}

function repeat(run: () => void): readonly number[] {
  return Array.from({ length: repetitions }, () => {
    const startedMs = performance.now();
    run();
    return performance.now() - startedMs;
  });
}
