import * as decisions from '@jayhaven/decisions';
import type { Workload } from './Types.js';

/** Name of the only cell of a replay. */
export const cell = 'cell';
/** The only incarnation; it appends all records and reports all usage. */
export const incarnation = 'owner-1';

/** Control state of a replay with a single writer; each record takes effect as soon as it is appended. */
export class ControlLog {
  public rejected = 0;
  public readonly claim: decisions.ClaimOffset;
  private _state: decisions.ControlState;
  private _sequence = 0;

  public constructor(workload: Workload, keepAliveSeconds: number) {
    const { partner } = workload.specification;
    this._state = decisions.emptyControlState({
      maximumConcurrentLoads: 4,
      maximumAdaptersInTransit: 30,
      partners: [partner],
    });
    const address = { host: '127.0.0.1', port: 1 };
    const joined = { daemon: 'entry-1', vm: 'entry-1', failureDomain: 'fd-0', peers: address, operators: address };
    this.append({ kind: 'daemonJoined', ...joined });
    this.claim = this.append({ kind: 'ownerClaimed', cell, supersedes: null }) ?? -1;
    for (const { address: target, vm, failureDomain, acceleratorBytes } of workload.engines) {
      const description = { address: target, role: 'engine', acceleratorBytes, fencing: 'checked' } as const;
      this.append({ kind: 'vmObserved', vm, failureDomain, state: 'live', targets: [description] });
    }
    this._edit(partner, `${partner}/defaults/keepAliveSeconds`, keepAliveSeconds);
    for (const { model, weightBytes, cacheBytes, adapters } of workload.models) {
      const expectedLoadMilliseconds = 15_000;
      const value = { version: '1', weightBytes, cacheBytes, expectedLoadMilliseconds };
      this._edit(partner, `${partner}/models/${model}`, value);
      for (const adapter of adapters) {
        this._edit(partner, `${partner}/adapters/${model}/${adapter}`, { bytes: 400e6 });
      }
    }
  }

  public get state(): decisions.ControlState {
    return this._state;
  }

  /** Appends a record and returns its offset, or undefined if replay rejected it. */
  public append(body: decisions.ControlRecordBody): decisions.Offset | undefined {
    this._sequence += 1;
    const offset = this._sequence;
    const clock = { wallMs: 0, counter: offset };
    const result = decisions.replay(this._state, { offset, id: { incarnation, sequence: offset }, clock, body });
    this._state = result.state;
    if (result.verdict.kind === 'accepted') {
      return offset;
    }
    this.rejected += 1;
    return undefined;
  }

  /** Appends the decision for an order, and the record that the order was sent. */
  public order(body: decisions.ControlRecordBody): decisions.Offset | undefined {
    const offset = this.append(body);
    if (offset !== undefined) {
      this.append({ kind: 'orderSettled', order: offset, result: 'sent' });
    }
    return offset;
  }

  private _edit(partner: string, key: string, value: unknown): void {
    const edit = { partner, operator: 'operator', key, basedOn: null, value, reason: 'workload' };
    this.append({ kind: 'configurationEdited', ...edit });
  }
}
