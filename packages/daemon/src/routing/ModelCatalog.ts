import * as decisions from '@jayhaven/decisions';
import type * as common from '@jayhaven/common';
import type { ControlLog } from '../Types.js';
import type { ResolvedModel } from './Types.js';

/** Looks up models and ready replicas in the replayed state and caches the results until it changes. */
export class ModelCatalog {
  private _configuration: decisions.ControlState['configuration'] | undefined;
  private _state: decisions.ControlState | undefined;
  private _ready: decisions.ReadyReplicas = new Map();
  private readonly _models = new Map<string, ResolvedModel | undefined>();

  public constructor(private readonly _log: ControlLog) {}

  /**
   * Resolves a model name: `model` or `partner/model`, each with an optional `:adapter`. Models of other partners are
   * not found.
   */
  public resolve(partner: common.PartnerName, name: string): ResolvedModel | undefined {
    const configuration = this._log.state.configuration;
    if (configuration !== this._configuration || this._models.size > maximumCachedNames) {
      this._configuration = configuration;
      this._models.clear();
    }
    const key = `${partner} ${name}`;
    if (!this._models.has(key)) {
      this._models.set(key, this._resolve(partner, name));
    }
    return this._models.get(key);
  }

  /** Names of a partner's models and of their adapters, as used by callers. */
  public names(partner: common.PartnerName): string[] {
    return decisions
      .allModels(this._log.state)
      .filter((settings) => settings.partner === partner)
      .flatMap((settings) => {
        const name = `${partner}/${settings.model}`;
        return [name, ...[...settings.adapters.keys()].map((adapter) => `${name}:${adapter}`)];
      });
  }

  /** Ready replicas of this version that have the adapter loaded. */
  public readyReplicas(model: ResolvedModel): readonly decisions.ReplicaEntry[] {
    if (this._log.state !== this._state) {
      this._state = this._log.state;
      this._ready = decisions.indexReadyReplicas(this._state);
    }
    const replicas = this._ready.get(decisions.modelVersionKey(model.settings)) ?? [];
    return model.adapter === undefined
      ? replicas
      : replicas.filter((replica) => decisions.servesAdapter(replica, model.adapter));
  }

  /** Whether this version of the model is still configured. */
  public isCurrent(model: ResolvedModel): boolean {
    const { partner, model: name } = model.settings;
    const suffix = model.adapter === undefined ? '' : `:${model.adapter}`;
    return this.resolve(partner, `${name}${suffix}`)?.queue === model.queue;
  }

  private _resolve(partner: common.PartnerName, name: string): ResolvedModel | undefined {
    const match = /^(?:([^/:]+)\/)?([^/:]+)(?::([^/:]+))?$/.exec(name);
    const [, namedPartner = partner, modelName = '', adapter] = match ?? [];
    if (!match || namedPartner !== partner) {
      return undefined;
    }
    const settings = decisions.modelSettings(this._log.state, partner, modelName);
    if (!settings || (adapter !== undefined && !settings.adapters.has(adapter))) {
      return undefined;
    }
    const suffix = adapter === undefined ? '' : `:${adapter}`;
    return {
      settings,
      adapter,
      engineName: `${partner}/${modelName}${suffix}`,
      queue: `${decisions.modelVersionKey(settings)}${suffix}`,
    };
  }
}

/** Limit of cached names. Callers may send any name, so the cache is cleared above this count. */
const maximumCachedNames = 10_000;
