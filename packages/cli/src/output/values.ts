/** Formats single values for tables. */
const unitNames = ['B', 'kB', 'MB', 'GB', 'TB'];
const unitStep = 1000;

/** Bytes with a decimal unit, for example `80 GB`. */
export function formatBytes(bytes: number): string {
  let value = bytes;
  let unit = 0;
  while (Math.abs(value) >= unitStep && unit < unitNames.length - 1) {
    value /= unitStep;
    unit += 1;
  }
  return `${Number(value.toFixed(1))} ${unitNames[unit] ?? ''}`;
}

/** Memory of several accelerators. */
export function formatMemory(bytes: readonly number[]): string {
  return bytes.length === 0 ? '-' : bytes.map(formatBytes).join(' + ');
}

/** A duration in the largest fitting unit. */
export function formatDuration(milliseconds: number): string {
  if (milliseconds < 1000) {
    return `${Math.round(milliseconds)} ms`;
  }
  const seconds = milliseconds / 1000;
  if (seconds < 120) {
    return `${Number(seconds.toFixed(1))} s`;
  }
  return seconds < 7200 ? `${Math.round(seconds / 60)} min` : `${Number((seconds / 3600).toFixed(1))} h`;
}

/** UTC time to the second, from ISO 8601 or milliseconds since 1970. */
export function formatTime(time: string | number): string {
  return new Date(time).toISOString().slice(0, 19).replace('T', ' ');
}

/** A JSON value; a string that cannot be mistaken for another value is printed without quotes. */
export function formatValue(value: unknown): string {
  return typeof value === 'string' && /^[A-Za-z][A-Za-z0-9._-]*$/.test(value) ? value : JSON.stringify(value);
}
