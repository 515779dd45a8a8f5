import * as decisions from '@jayhaven/decisions';
import type * as z from 'zod';
import type { AppendFailure, ControlLog, Credential, TimelineRecorder } from '../Types.js';
import { errorResponse, okResponse } from './responses.js';
import type { approvalBody, editBody } from './schemas.js';
import type { OperatorResponse } from './Types.js';
import { viewHistoryEntry } from './views.js';

/** HTTP status of a record that replay rejected; 409 for rules not listed. */
const statusOfRule: Readonly<Record<string, number>> = {
  foreignKey: 403,
  unknownReference: 404,
  staleEdit: 409,
  missingReason: 422,
  invalidValue: 422,
  unknownKey: 422,
  shareExceeded: 422,
};

/** Retry delay returned while the first limits are being appended to the log, milliseconds. */
const limitsRetryAfterMs = 500;

interface EditError {
  readonly status: number;
  readonly type: string;
  readonly message: string;
}

/** Appends edits and approvals, and responds after read-back. */
export class EditService {
  private readonly _refusals = new Map<string, number>();

  public constructor(
    private readonly _log: ControlLog,
    private readonly _timeline: TimelineRecorder,
    private readonly _partners: readonly string[],
    private readonly _timeoutMs: number,
  ) {}

  /** Edits that were refused before they were appended, by type; the history does not contain them. */
  public get refusals(): Readonly<Record<string, number>> {
    return Object.fromEntries(this._refusals);
  }

  /** Edits one key of the operator's partner, or proposes an edit of a shared key. */
  public async edit(operator: Credential, body: z.output<typeof editBody>): Promise<OperatorResponse> {
    const refusal = this._checkBeforeAppend(operator, body);
    if (refusal) {
      return refusal;
    }
    if (this._log.state.limits.partners.length === 0) {
      // Replay would reject the edit finally, although it becomes valid once the first limits are set.
      const message = 'the limits of the cell are not set yet';
      return errorResponse(503, 'log_unavailable', message, { retryAfterMs: limitsRetryAfterMs });
    }
    const { key, value, basedOn, reason } = body;
    const outcome = await this._log.append(
      {
        kind: 'configurationEdited',
        partner: operator.partner,
        operator: operator.name,
        key,
        basedOn,
        value,
        reason: reason.trim(),
      },
      this._timeoutMs,
    );
    if (!outcome.ok) {
      return this._failureResponse(outcome.failure, { key, basedOn });
    }
    const version = outcome.value.offset;
    const pending = this._log.state.pendingEdits.has(version);
    return okResponse({ state: pending ? 'pending' : 'accepted', key, value, version });
  }

  /** Approves a pending edit of a shared key. */
  public async approve(operator: Credential, { edit }: z.output<typeof approvalBody>): Promise<OperatorResponse> {
    const outcome = await this._log.append(
      { kind: 'configurationApproved', partner: operator.partner, operator: operator.name, edit },
      this._timeoutMs,
    );
    if (!outcome.ok) {
      return this._failureResponse(outcome.failure, { edit });
    }
    const pending = this._log.state.pendingEdits.get(edit);
    const approvedBy = pending?.approvedBy;
    return okResponse({ state: pending ? 'pending' : 'accepted', edit, ...(approvedBy ? { approvedBy } : {}) });
  }

  /** Checks the rules that need no append; replay checks them again. */
  private _checkBeforeAppend(operator: Credential, body: z.output<typeof editBody>): OperatorResponse | undefined {
    const error = this._findError(operator, body);
    if (error === undefined) {
      return undefined;
    }
    const { status, type, message } = error;
    this._refusals.set(type, (this._refusals.get(type) ?? 0) + 1);
    const detail = { key: body.key, partner: operator.partner, operator: operator.name, type };
    this._timeline.record({ part: 'operators', event: 'editRefused', detail });
    return errorResponse(status, type, message);
  }

  private _findError(operator: Credential, { key, value, reason }: z.output<typeof editBody>): EditError | undefined {
    const [owner = ''] = key.split('/');
    if (owner !== operator.partner && this._partners.includes(owner)) {
      const message = `"${key}" belongs to ${owner}; you act for ${operator.partner}`;
      return { status: 403, type: 'foreign_key', message };
    }
    const parsed = decisions.parseConfigurationKey(key);
    if (!parsed || !this._partners.includes(parsed.partner)) {
      return { status: 422, type: 'unknown_key', message: `key "${key}" does not exist` };
    }
    if (parsed.kind === 'exception' && reason.trim() === '') {
      const message = `"${key}" is an exception and needs a written reason`;
      return { status: 422, type: 'missing_reason', message };
    }
    const error = decisions.findValueError(parsed, value);
    return error === undefined
      ? undefined
      : { status: 422, type: 'invalid_value', message: `value of "${key}": ${error}` };
  }

  private _failureResponse(failure: AppendFailure, subject: Readonly<Record<string, unknown>>): OperatorResponse {
    switch (failure.kind) {
      case 'rejected':
        return errorResponse(statusOfRule[failure.rule] ?? 409, snakeCase(failure.rule), failure.message, {
          ...(failure.winner === undefined ? {} : { extra: { winner: this._winner(failure.winner) } }),
        });
      case 'unconfirmed':
        return {
          status: 202,
          body: {
            state: 'unconfirmed',
            ...subject,
            message: `${failure.message}. It may still take effect: look at the history before you repeat it.`,
          },
        };
      case 'logUnavailable':
        return errorResponse(503, 'log_unavailable', failure.message, { retryAfterMs: failure.retryAfterMs });
    }
  }

  private _winner(offset: decisions.Offset): unknown {
    const entry = this._log.state.history.find((candidate) => candidate.offset === offset);
    return entry ? viewHistoryEntry(entry) : { version: offset };
  }
}

function snakeCase(rule: string): string {
  return rule.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
