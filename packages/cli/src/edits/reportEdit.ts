import * as oclif from '@oclif/core';
import type { OperatorClient } from '../client/OperatorClient.js';
import { formatDuration, formatValue } from '../output/values.js';
import { type EditResult, type PropagationStatus, waitForPropagation } from './submitEdit.js';

/** Flags of commands that submit one edit. */
export const editFlags = {
  reason: oclif.Flags.string({
    char: 'r',
    summary: 'Why; required for exceptions, kept in the history.',
    helpValue: 'TEXT',
    default: '',
  }),
  'based-on': oclif.Flags.integer({
    summary: 'Version that the edit is based on, instead of the one in force.',
    helpValue: 'VERSION',
    min: 0,
  }),
  wait: oclif.Flags.boolean({
    summary: 'Wait up to 3 s until the edit is in force on every daemon.',
    default: true,
    allowNo: true,
  }),
};

/** Describes an edit in one line, for example `solano/defaults/queueLimit: 50 -> 60 accepted as version 17`. */
export function describeEdit(result: EditResult): string {
  const { key, value, previous, state, version } = result;
  if (state === 'unchanged') {
    return `${key}: ${formatOptionalValue(value)} unchanged`;
  }
  const change = `${formatOptionalValue(previous)} -> ${formatOptionalValue(value)}`;
  return state === 'pending'
    ? `${key}: ${change} is pending as version ${version}; the other partners run "jayhaven approve ${version}"`
    : `${key}: ${change} accepted as version ${version}`;
}

/** Prints the result of an edit and, if `wait` is set, on which daemons an accepted edit is in force. */
export async function reportEdit(
  command: oclif.Command,
  client: OperatorClient,
  result: EditResult,
  wait: boolean,
): Promise<unknown> {
  command.log(describeEdit(result));
  if (result.state !== 'accepted' || !wait) {
    return result;
  }
  const inForce = await waitForPropagation(client, result.key, result.version);
  command.log(describePropagation(inForce));
  return { ...result, inForce };
}

/** Describes in one line which daemons have applied an edit. */
export function describePropagation(status: PropagationStatus | undefined): string {
  if (!status) {
    return 'Whether it is in force could not be read; see "jayhaven show KEY".';
  }
  const { applied, total, missing, waitedMs } = status;
  const missingText = missing.length === 0 ? '' : `; not yet on ${missing.join(', ')}`;
  return `In force on ${applied} of ${total} daemons after ${formatDuration(waitedMs)}${missingText}`;
}

function formatOptionalValue(value: unknown): string {
  return value === undefined || value === null ? '(unset)' : formatValue(value);
}
