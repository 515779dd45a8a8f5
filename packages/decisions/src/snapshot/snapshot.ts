/** Snapshots of the replayed states as JSON values. Maps are encoded as arrays in the order of their entries. */
import * as common from '@jayhaven/common';
import type { z } from 'zod';
import { BucketMap } from '../collections/BucketMap.js';
import type * as types from '../Types.js';
import { claimsSnapshotSchema, controlSnapshotSchema, snapshotFormat } from './schemas.js';

/** Control state as JSON. */
export type ControlSnapshot = z.infer<typeof controlSnapshotSchema>;
/** State of a claims topic as JSON. */
export type ClaimsSnapshot = z.infer<typeof claimsSnapshotSchema>;

/** Encodes the control state as a JSON value. */
export function encodeSnapshot(state: types.ControlState): ControlSnapshot {
  return {
    format: snapshotFormat,
    limits: { ...state.limits, partners: [...state.limits.partners] },
    ...(state.limitsSetAt === undefined ? {} : { limitsSetAt: state.limitsSetAt }),
    appliedOffset: state.appliedOffset,
    lastSequences: [...state.lastSequences],
    daemons: [...state.daemons.values()],
    cells: [...state.cells.values()],
    vms: [...state.vms.values()],
    replicas: [...state.replicas.values()].map((replica) => ({ ...replica, adapters: [...replica.adapters.values()] })),
    orders: [...state.orders.values()].map((order) => ({ ...order, senders: [...order.senders] })),
    fences: [...state.fences],
    configuration: [...state.configuration.values()],
    pendingEdits: [...state.pendingEdits.values()],
    history: [...state.history],
  } as ControlSnapshot;
}

/** Restores a control state; fails with the reason if the value is not a valid snapshot. */
export function decodeSnapshot(json: unknown): common.Outcome<types.ControlState, string> {
  const parsed = controlSnapshotSchema.safeParse(json);
  if (!parsed.success) {
    return common.fail(describeError(parsed.error));
  }
  const snapshot = parsed.data;
  return common.succeed({
    limits: snapshot.limits,
    ...(snapshot.limitsSetAt === undefined ? {} : { limitsSetAt: snapshot.limitsSetAt }),
    appliedOffset: snapshot.appliedOffset,
    lastSequences: new Map(snapshot.lastSequences),
    daemons: indexBy(snapshot.daemons, (entry) => entry.incarnation),
    cells: indexBy(snapshot.cells, (entry) => entry.cell),
    vms: indexBy(snapshot.vms, (entry) => entry.vm),
    replicas: indexBy(
      snapshot.replicas.map((entry) => ({ ...entry, adapters: indexBy(entry.adapters, ({ adapter }) => adapter) })),
      (entry) => entry.replica,
    ),
    orders: indexBy(
      snapshot.orders.map((entry) => ({ ...entry, senders: new Map(entry.senders) })),
      (entry) => entry.order,
    ),
    fences: new Map(snapshot.fences),
    configuration: indexBy(snapshot.configuration, (entry) => entry.key),
    pendingEdits: indexBy(snapshot.pendingEdits, (entry) => entry.version),
    history: snapshot.history,
  });
}

/** Encodes the state of a claims topic as a JSON value. */
export function encodeClaims(state: types.ClaimsState): ClaimsSnapshot {
  const { appliedOffset, windowMs } = state;
  return {
    format: snapshotFormat,
    appliedOffset,
    lastSequences: [...state.lastSequences],
    claims: [...state.claims.values()],
    ...(windowMs === undefined ? {} : { windowMs }),
  };
}

/** Restores the state of a claims topic; fails with the reason if the value is not a valid snapshot. */
export function decodeClaims(json: unknown): common.Outcome<types.ClaimsState, string> {
  const parsed = claimsSnapshotSchema.safeParse(json);
  if (!parsed.success) {
    return common.fail(describeError(parsed.error));
  }
  const { appliedOffset, lastSequences, claims, windowMs } = parsed.data;
  return common.succeed({
    appliedOffset,
    lastSequences: new Map(lastSequences),
    claims: BucketMap.from(claims.map((entry) => [entry.key, entry] as const)),
    ...(windowMs === undefined ? {} : { windowMs }),
  });
}

function indexBy<Key, Value>(values: readonly Value[], keyOf: (value: Value) => Key): ReadonlyMap<Key, Value> {
  return new Map(values.map((value) => [keyOf(value), value]));
}

function describeError(error: z.ZodError): string {
  const issue = error.issues[0];
  return issue === undefined ? 'invalid snapshot' : `${issue.path.join('.')}: ${issue.message}`;
}
