import * as decisions from '../index.js';

/** Address of every daemon; no test connects to it. */
const address = { host: '127.0.0.1', port: 1 };

/** Control topic for tests; replays each record when it is appended. */
export class ControlLog {
  public state: decisions.ControlState;
  private _offset = -1;
  private readonly _sequences = new Map<string, number>();

  public constructor(limits: Partial<decisions.ControlLimits> = {}) {
    this.state = decisions.emptyControlState({
      ...{ maximumConcurrentLoads: 4, maximumAdaptersInTransit: 2, partners: ['solano', 'cascade'] },
      ...limits,
    });
  }

  /** Offset of the last record. */
  public get offset(): number {
    return this._offset;
  }

  /** Appends a record under the author's next sequence, or under a given one. */
  public append(author: string, body: decisions.ControlRecordBody, sequence?: number): decisions.Verdict {
    const next = sequence ?? (this._sequences.get(author) ?? 0) + 1;
    this._sequences.set(author, next);
    return this.appendValue({ id: { incarnation: author, sequence: next }, clock: { wallMs: 1, counter: 0 }, body });
  }

  /** Appends a value, which may be an invalid record. */
  public appendValue(value: unknown): decisions.Verdict {
    this._offset += 1;
    const { state, verdict } = decisions.replayValue(this.state, this._offset, value);
    this.state = state;
    return verdict;
  }

  /** Appends a record; returns the rule if it is rejected, otherwise the kind of its verdict. */
  public outcome(author: string, body: decisions.ControlRecordBody): string {
    const verdict = this.append(author, body);
    return verdict.kind === 'rejected' ? verdict.rule : verdict.kind;
  }

  /** Appends the record with which a daemon joins. */
  public join(incarnation: string): void {
    const [daemon = ''] = incarnation.split('#');
    const location = { daemon, vm: `vm-${daemon}`, failureDomain: 'f', peers: address, operators: address };
    this.append(incarnation, { kind: 'daemonJoined', ...location });
  }

  /** Appends a claim of the cell; returns its offset. */
  public claim(author: string): number {
    const supersedes = this.state.cells.get('cell')?.latestClaim ?? null;
    this.append(author, { kind: 'ownerClaimed', cell: 'cell', supersedes });
    return this._offset;
  }

  /** Appends an observation of a VM with one engine at `<vm>:1` that has one accelerator. */
  public observe(
    author: string,
    vm: string,
    state: decisions.VmObserved['state'] = 'live',
    fields: { readonly fencing?: 'checked' | 'ignored'; readonly readAfter?: number } = {},
  ): string {
    const { fencing = 'ignored', ...rest } = fields;
    const target = { address: `${vm}:1`, role: 'engine', acceleratorBytes: [100], fencing } as const;
    return this.outcome(author, { kind: 'vmObserved', vm, failureDomain: 'f', state, targets: [target], ...rest });
  }

  /** Appends an edit by an operator of Solano, based on the current value of the key. */
  public edit(author: string, key: string, value: unknown): string {
    const basedOn = this.state.configuration.get(key)?.version ?? null;
    const fields = { partner: 'solano', operator: 'maria', key, basedOn, value, reason: 'season' };
    return this.outcome(author, { kind: 'configurationEdited', ...fields });
  }

  /** Appends the edits that configure a model of Solano with 60 bytes and at most `maximumReplicas` replicas. */
  public configureModel(author: string, model: string, maximumReplicas = 1): void {
    const sizes = { weightBytes: [50], cacheBytes: 10, expectedLoadMilliseconds: 10 };
    this.edit(author, `solano/models/${model}`, { version: 'v1', ...sizes });
    this.edit(author, `solano/exceptions/${model}/maximumReplicas`, maximumReplicas);
  }

  /** Appends a load decision under the latest claim; `fields` override its defaults. */
  public load(author: string, fields: Partial<decisions.LoadDecided> = {}): string {
    return this.outcome(author, {
      ...{ kind: 'loadDecided', cell: 'cell', claim: this._latestClaim() },
      ...{ partner: 'solano', model: 'm', version: 'v1', target: 'vm:1', bytes: [60] },
      ...{ ordinal: 1, urgency: 'batch', reason: { rule: 'test', figures: {} } },
      ...fields,
    });
  }

  /** Appends an unload decision under the latest claim. */
  public unload(author: string, replica: number): string {
    const reason = { rule: 'test', figures: {} };
    return this.outcome(author, { kind: 'unloadDecided', cell: 'cell', claim: this._latestClaim(), replica, reason });
  }

  /** Appends an adapter load decision under the latest claim. */
  public loadAdapter(author: string, replica: number, adapter: string, bytes = 10): string {
    const order = { replica, adapter, bytes: [bytes] };
    return this.outcome(author, { kind: 'adapterLoadDecided', cell: 'cell', claim: this._latestClaim(), ...order });
  }

  /** Appends a sender's settlement of an order. */
  public settle(author: string, order: number, result: 'sent' | 'notSent' = 'sent'): string {
    return this.outcome(author, { kind: 'orderSettled', order, result });
  }

  private _latestClaim(): number {
    return this.state.cells.get('cell')?.latestClaim ?? 0;
  }
}
