import type * as z from 'zod';
import type * as responses from '../responses.js';
import { formatTable } from './table.js';
import { formatTime, formatValue } from './values.js';

/** Formats the entries of the edit history as a table. */
export function formatHistory(entries: z.output<typeof responses.history>['history'], emptyText: string): string {
  const rows = entries.map((entry) => [
    String(entry.version),
    formatTime(entry.when),
    `${entry.operator} (${entry.partner})`,
    entry.key,
    entry.value === null ? '(unset)' : formatValue(entry.value),
    entry.rejectedBy === undefined ? entry.state : `rejected: ${entry.rejectedBy}`,
    entry.reason,
  ]);
  return formatTable(['VERSION', 'WHEN (UTC)', 'BY', 'KEY', 'VALUE', 'STATE', 'REASON'], rows, emptyText);
}
