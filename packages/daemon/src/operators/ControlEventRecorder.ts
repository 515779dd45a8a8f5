import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import { copiedFrom } from '../timeline/index.js';
import type { ControlChange, ControlLog, TimelineRecorder } from '../Types.js';

/** Maximum number of replicas whose model is kept for events that follow the removal of their entry. */
const maximumReplicas = 4096;

/** Changes of membership. */
const membershipKinds: ReadonlySet<decisions.ControlRecordBody['kind']> = new Set([
  'daemonJoined',
  'daemonLeft',
  'incarnationGone',
  'ownerReleased',
]);

/** Decisions, which the owner records itself. */
const decisionKinds: ReadonlySet<decisions.ControlRecordBody['kind']> = new Set([
  'ownerClaimed',
  'loadDecided',
  'unloadDecided',
  'adapterLoadDecided',
  'adapterUnloadDecided',
]);

/** Outcomes of decisions. */
const outcomeKinds: ReadonlySet<decisions.ControlRecordBody['kind']> = new Set([
  'orderAdopted',
  'orderSettled',
  'replicaReady',
  'replicaFailed',
  'replicaUnloaded',
  'adapterReady',
  'adapterUnloaded',
]);

/**
 * Records replayed control records in the time line. Every daemon records them, because the time line of an author
 * that has stopped is lost. A copy names its author, and `mergeEvents` omits it if the original is present. Events of
 * configuration and membership are not marked as copies, because operators need the time at which each daemon applied
 * them.
 */
export class ControlEventRecorder {
  private readonly _models = new Map<decisions.ReplicaId, string>();
  private readonly _unsubscribe: common.Unsubscribe;

  public constructor(
    log: ControlLog,
    private readonly _incarnation: common.Incarnation,
    private readonly _timeline: TimelineRecorder,
  ) {
    this._unsubscribe = log.onChange((change) => {
      this._recordChange(change);
    });
  }

  /** Unsubscribes from the log. */
  public dispose(): void {
    this._unsubscribe();
  }

  private _recordChange({ record, verdict }: ControlChange): void {
    const { body, offset, id } = record;
    if (body.kind === 'loadDecided') {
      this._storeModel(offset, `${body.partner}/${body.model}`);
    }
    const isAuthor = id.incarnation === this._incarnation;
    if (verdict.kind === 'rejected') {
      if (isAuthor) {
        const detail = { kind: body.kind, rule: verdict.rule, reason: verdict.message };
        this._timeline.record({ part: 'log', event: 'recordRejected', offset, detail });
      }
    } else if (verdict.kind === 'accepted') {
      this._recordAccepted(record, isAuthor);
    }
  }

  private _recordAccepted({ body, offset, id }: decisions.ControlRecord, isAuthor: boolean): void {
    if (body.kind === 'configurationEdited') {
      const { key, partner, operator, reason } = body;
      const detail = { key, value: JSON.stringify(body.value), partner, operator, reason };
      this._timeline.record({ part: 'log', event: 'configurationEdited', offset, detail });
    } else if (body.kind === 'configurationApproved') {
      const { edit, partner, operator } = body;
      this._timeline.record({
        part: 'log',
        event: 'configurationApproved',
        offset,
        detail: { edit, partner, operator },
      });
    } else if (membershipKinds.has(body.kind)) {
      const detail = { author: id.incarnation, ...detailOf(body) };
      this._timeline.record({ part: 'log', event: body.kind, offset, detail });
    } else if (outcomeKinds.has(body.kind) || (decisionKinds.has(body.kind) && !isAuthor)) {
      const detail = { ...detailOf(body), ...(isAuthor ? {} : { [copiedFrom]: id.incarnation }) };
      this._timeline.record({ part: 'log', event: body.kind, offset, ...this._replicaOf(body, offset), detail });
    }
  }

  private _replicaOf(
    body: decisions.ControlRecordBody,
    offset: decisions.Offset,
  ): { readonly replica?: number; readonly model?: string } {
    const replica = body.kind === 'loadDecided' ? offset : 'replica' in body ? body.replica : undefined;
    const model = replica === undefined ? undefined : this._models.get(replica);
    return { ...(replica === undefined ? {} : { replica }), ...(model === undefined ? {} : { model }) };
  }

  private _storeModel(replica: decisions.ReplicaId, model: string): void {
    this._models.set(replica, model);
    const [oldest] = this._models.keys();
    if (oldest !== undefined && this._models.size > maximumReplicas) {
      this._models.delete(oldest);
    }
  }
}

function detailOf(body: decisions.ControlRecordBody): Readonly<Record<string, string | number>> {
  switch (body.kind) {
    case 'incarnationGone':
      return { incarnation: body.incarnation, evidence: body.evidence };
    case 'orderAdopted':
      return { order: body.order, claim: body.claim };
    case 'orderSettled':
      return { order: body.order, result: body.result };
    case 'replicaFailed':
      return { reason: body.reason };
    case 'loadDecided':
      return { target: body.target, ordinal: body.ordinal, urgency: body.urgency, ...reasonOf(body) };
    case 'unloadDecided':
      return reasonOf(body);
    default:
      return {};
  }
}

function reasonOf({
  reason,
}: decisions.LoadDecided | decisions.UnloadDecided): Readonly<Record<string, string | number>> {
  return { rule: reason.rule, ...reason.figures };
}
