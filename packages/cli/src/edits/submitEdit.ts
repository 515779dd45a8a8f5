import * as common from '@jayhaven/common';
import type { OperatorClient } from '../client/OperatorClient.js';
import * as responses from '../responses.js';
import type { ClientFailure, EditRequest } from '../Types.js';

/** Result of an edit that was accepted, is pending or changes nothing. */
export interface EditResult {
  readonly state: 'accepted' | 'pending' | 'unchanged';
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
  /** Value that was in force before; undefined if the key was unset. */
  readonly previous: unknown;
}

/** State of the propagation of a version to the daemons. */
export interface PropagationStatus {
  readonly applied: number;
  readonly total: number;
  readonly missing: readonly string[];
  readonly waitedMs: number;
}

/** Interval between two polls of the daemons, milliseconds. */
const pollIntervalMs = 150;
/** Time within which an accepted edit is in force on every daemon, milliseconds. */
const propagationLimitMs = 3000;

/** Submits an edit, based on the version in force unless the request specifies another. */
export async function submitEdit(
  client: OperatorClient,
  request: EditRequest,
  skipUnchanged = false,
): Promise<common.Outcome<EditResult, ClientFailure>> {
  const { key, value, reason } = request;
  const current = await client.get('/v1/configuration', { key }, responses.configuration);
  if (!current.ok) {
    return current;
  }
  const entry = current.value.keys.find((candidate) => candidate.key === key);
  const previous = entry?.value;
  if (skipUnchanged && JSON.stringify(previous ?? null) === JSON.stringify(value)) {
    return common.succeed({ state: 'unchanged', key, value, version: entry?.version ?? 0, previous });
  }
  const basedOn = request.basedOn === undefined ? (entry?.version ?? null) : request.basedOn;
  const response = await client.post('/v1/edits', { key, value, basedOn, reason }, responses.editResponse);
  return response.ok
    ? common.succeed({ state: response.value.state, key, value, version: response.value.version, previous })
    : response;
}

/** Waits until every daemon has applied a version, or until the time limit has passed. */
export async function waitForPropagation(
  client: OperatorClient,
  key: string,
  version: number,
): Promise<PropagationStatus | undefined> {
  const startMs = performance.now();
  for (;;) {
    const response = await client.get('/v1/configuration', { key }, responses.configuration);
    if (!response.ok) {
      return undefined;
    }
    const { daemons } = response.value;
    const missing = daemons.filter((daemon) => (daemon.appliedOffset ?? -1) < version).map(({ daemon }) => daemon);
    const waitedMs = performance.now() - startMs;
    if (missing.length === 0 || waitedMs > propagationLimitMs) {
      return { applied: daemons.length - missing.length, total: daemons.length, missing, waitedMs };
    }
    await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
  }
}
