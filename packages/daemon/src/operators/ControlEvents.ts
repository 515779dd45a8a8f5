import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import type { ControlChange, ControlLog, TimelineRecorder } from '../Types.js';

/** Replicas whose model is kept for events that come after their entry is gone. */
const maximumReplicas = 4096;

/** Kinds that every daemon records, because the time line of an author that has stopped is lost. */
const sharedKinds: ReadonlySet<decisions.ControlRecordBody['kind']> = new Set([
  'daemonJoined',
  'daemonLeft',
  'incarnationGone',
  'ownerReleased',
]);

/** Kinds that their author records; the owner records its decisions itself, with their figures. */
const authoredKinds: ReadonlySet<decisions.ControlRecordBody['kind']> = new Set([
  'orderAdopted',
  'orderSettled',
  'replicaReady',
  'replicaFailed',
  'replicaUnloaded',
  'adapterReady',
  'adapterUnloaded',
]);

/**
 * Records replayed control records in the time line. Configuration is recorded by every daemon, because operators ask
 * when an edit came into force at each, and so is membership; other records are recorded by their author only.
 */
export class ControlEvents {
  private readonly _models = new Map<decisions.ReplicaId, string>();
  private readonly _unsubscribe: common.Unsubscribe;

  public constructor(
    log: ControlLog,
    private readonly _incarnation: common.Incarnation,
    private readonly _timeline: TimelineRecorder,
  ) {
    this._unsubscribe = log.onChange((change) => {
      this._note(change);
    });
  }

  /** Stops listening to the log. */
  public dispose(): void {
    this._unsubscribe();
  }

  private _note({ record, verdict }: ControlChange): void {
    const { body, offset, id } = record;
    if (body.kind === 'loadDecided') {
      this._remember(offset, `${body.partner}/${body.model}`);
    }
    const isAuthor = id.incarnation === this._incarnation;
    if (verdict.kind === 'rejected') {
      if (isAuthor) {
        const detail = { kind: body.kind, rule: verdict.rule, reason: verdict.message };
        this._timeline.record({ part: 'log', event: 'recordRejected', offset, detail });
      }
    } else if (verdict.kind === 'accepted') {
      this._noteAccepted(record, isAuthor);
    }
  }

  private _noteAccepted({ body, offset, id }: decisions.ControlRecord, isAuthor: boolean): void {
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
    } else if (sharedKinds.has(body.kind)) {
      const detail = { author: id.incarnation, ...detailOf(body).detail };
      this._timeline.record({ part: 'log', event: body.kind, offset, detail });
    } else if (isAuthor && authoredKinds.has(body.kind)) {
      this._timeline.record({ part: 'log', event: body.kind, offset, ...this._replicaOf(body), ...detailOf(body) });
    }
  }

  private _replicaOf(body: decisions.ControlRecordBody): { readonly replica?: number; readonly model?: string } {
    if (!('replica' in body)) {
      return {};
    }
    const model = this._models.get(body.replica);
    return { replica: body.replica, ...(model === undefined ? {} : { model }) };
  }

  private _remember(replica: decisions.ReplicaId, model: string): void {
    this._models.set(replica, model);
    const [oldest] = this._models.keys();
    if (oldest !== undefined && this._models.size > maximumReplicas) {
      this._models.delete(oldest);
    }
  }
}

function detailOf(body: decisions.ControlRecordBody): { readonly detail?: Readonly<Record<string, string | number>> } {
  switch (body.kind) {
    case 'incarnationGone':
      return { detail: { incarnation: body.incarnation, evidence: body.evidence } };
    case 'orderAdopted':
      return { detail: { order: body.order, claim: body.claim } };
    case 'orderSettled':
      return { detail: { order: body.order, result: body.result } };
    case 'replicaFailed':
      return { detail: { reason: body.reason } };
    default:
      return {};
  }
}
