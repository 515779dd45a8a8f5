/** Collects from the logs of all daemons the lines that explain the outcome of one request. */

/** How long before the end of a request a line may explain its outcome, milliseconds. */
const lookBackMs = 15_000;
/** Beginnings of messages that concern every request. */
const sharedPrefixes = ['lease:', 'store:', 'limits:', 'tenants:', 'main: Configuration', 'placement: Gives'];

/** A parsed log line with its text. */
export interface LogLine {
  readonly timeMs: number;
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses one line; undefined for text that is not a log line. Text before the first brace is dropped. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  try {
    const fields = JSON.parse(text.slice(start)) as Record<string, unknown>;
    return start >= 0 && typeof fields.time === 'number'
      ? { timeMs: fields.time, text: text.slice(start), fields }
      : undefined;
  } catch {
    // Other programs write to the same logs, so text that is not JSON is expected.
    return undefined;
  }
}

/**
 * Returns the lines that explain the outcome of a request, ordered by time: its own lines, those of its model and
 * replicas, and those of the lease, the store and the configuration shortly before; for a request that was refused for
 * parts of its prompt, also the crashes that they were blocked for, and for one refused with 429, the last line on the
 * quota of its tenant. Empty if no line belongs to the request.
 */
export function explainRequest(lines: readonly LogLine[], attemptId: string): readonly LogLine[] {
  const ownLines = lines.filter((line) => line.fields.attemptId === attemptId);
  const last = ownLines.at(-1);
  if (last === undefined) {
    return [];
  }
  const untilMs = Math.max(...ownLines.map((line) => line.timeMs));
  const model = modelOf(last);
  const replicas = listOf(last.fields.replicas);
  const blockedParts = listOf(last.fields.blockedParts);
  const isRelevant = (line: LogLine): boolean => {
    const isRecent = line.timeMs <= untilMs && line.timeMs >= untilMs - lookBackMs;
    const hasSharedPrefix = sharedPrefixes.some((prefix) => String(line.fields.msg).startsWith(prefix));
    const isAboutModel = model !== undefined && concernsModel(line.fields, model);
    const isAboutRequest = hasSharedPrefix || isAboutModel || replicas.includes(line.fields.replica);
    return (isRecent && isAboutRequest) || (line.timeMs <= untilMs && concernsParts(line.fields, blockedParts));
  };
  const quotaLine = last.fields.status === 429 ? lastQuotaLine(lines, last.fields.tenant, untilMs) : undefined;
  const found = lines.filter(
    (line) =>
      line === quotaLine || ownLines.includes(line) || (line.fields.attemptId === undefined && isRelevant(line)),
  );
  return found.sort((first, second) => first.timeMs - second.timeMs);
}

/** Last line up to a time on the quota of a tenant. A tenant may have been over it for long. */
function lastQuotaLine(lines: readonly LogLine[], tenant: unknown, untilMs: number): LogLine | undefined {
  const about = ({ timeMs, fields }: LogLine): boolean =>
    timeMs <= untilMs && fields.tenant === tenant && String(fields.msg).startsWith('quotas:');
  return lines
    .filter(about)
    .sort((first, second) => first.timeMs - second.timeMs)
    .at(-1);
}

function listOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** True if a line is about a crash or a block that concerns the parts for which a request was refused. */
function concernsParts({ msg, parts, requests }: LogLine['fields'], blockedParts: readonly unknown[]): boolean {
  if (blockedParts.length === 0 || !String(msg).startsWith('crashes:')) {
    return false;
  }
  const partLists = [parts, ...listOf(requests).map((request) => (request as { readonly parts?: unknown }).parts)];
  return partLists.some((list) => blockedParts.every((part) => listOf(list).includes(part)));
}

function modelOf(line: LogLine): unknown {
  const target = line.fields.target as { readonly model?: unknown } | undefined;
  return target?.model;
}

/** True if a line is about an order for a model, or about memory that is freed for it or by its retirement. */
function concernsModel(fields: Readonly<Record<string, unknown>>, model: unknown): boolean {
  const { retiring } = fields;
  const isRetiring = Array.isArray(retiring) && retiring.includes(model);
  return fields.model === model || fields.clearingFor === model || fields.before === model || isRetiring;
}
