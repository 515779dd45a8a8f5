import type { TimelineEvent } from '../responses.js';

const unitMs: Readonly<Record<string, number>> = { s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 };

/** Formats an event as one line: time (UTC), daemon, component, event, then its fields. */
export function formatEvent(event: TimelineEvent): string {
  const { time, daemon, part, event: name, request, model, replica, offset, detail } = event;
  const fields = Object.entries({ request, model, replica, offset, ...detail })
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatField(value)}`);
  const timestamp = new Date(time.wallMs).toISOString().replace('T', ' ').replace('Z', '');
  return [`${timestamp}.${String(time.counter).padStart(3, '0')}`, daemon, `${part}: ${name}`, ...fields].join('  ');
}

/** Parses a duration before now (`10m`) or an ISO 8601 time; returns milliseconds since 1970. */
export function parseSince(text: string, nowMs: number): number | undefined {
  const match = /^(\d{1,9})([smhd])$/.exec(text);
  if (match) {
    return Math.max(0, nowMs - Number(match[1]) * (unitMs[match[2] ?? ''] ?? 0));
  }
  const time = /^\d{4}-\d{2}-\d{2}/.test(text) ? Date.parse(text) : NaN;
  return Number.isNaN(time) ? undefined : time;
}

function formatField(value: unknown): string {
  const text = String(value);
  return /[\s"=]/.test(text) || text === '' ? JSON.stringify(text) : text;
}
