import * as decisions from '@jayhaven/decisions';
import type * as common from '@jayhaven/common';
import type { ControlLog } from '../Types.js';
import type { ResolvedModel } from './Types.js';

/** Models and ready replicas of the replayed state, computed once per state. */
export class ModelCatalog {
  private _configuration: decisions.ControlState['configuration'] | undefined;
  private _state: decisions.ControlState | undefined;
  private _ready: decisions.ReadyReplicas = new Map();
  private readonly _models = new Map<string, ResolvedModel | undefined>();

  public constructor(private readonly _log: ControlLog) {}

  /**
   * Finds the model that a caller names as `model`, `partner/model`, or either with `:adapter`. Models of other
   * partners are not found.
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

  /** Models of a partner with their adapters, by the names that callers use. */
  public names(partner: common.PartnerName): string[] {
    return decisions
      .allModels(this._log.state)
      .filter((settings) => settings.partner === partner)
      .flatMap((settings) => {
        const name = `${partner}/${settings.model}`;
        return [name, ...[...settings.adapters.keys()].map((adapter) => `${name}:${adapter}`)];
      });
  }

  /** Ready replicas of the wanted version that hold the adapter. */
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

  /** Whether the configuration still wants this version of the model. */
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

/** Names kept in the cache. Callers may send any name, so the cache starts anew above this count. */
const maximumCachedNames = 10_000;
