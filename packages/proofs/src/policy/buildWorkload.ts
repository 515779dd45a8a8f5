/** Generates the models, engines and arrivals of one day from a seed. */
import { RandomSource } from '@jayhaven/standins';
import type {
  Arrival,
  ArrivalPattern,
  EngineSpecification,
  ModelSpecification,
  PartnerSpecification,
  Workload,
} from './Types.js';

export const dayMs = 24 * 3_600_000;
export const acceleratorBytes = 80e9;

const hourMs = 3_600_000;
const minuteMs = 60_000;
const interactiveDeadlineMs = 60_000;
const batchDeadlineMs = 300_000;
/** Sizes of weights and cache of a model per accelerator, bytes. */
const sizes: readonly { readonly weightBytes: readonly number[]; readonly cacheBytes: number }[] = [
  { weightBytes: [16e9], cacheBytes: 8e9 },
  { weightBytes: [28e9], cacheBytes: 10e9 },
  { weightBytes: [28e9], cacheBytes: 10e9 },
  { weightBytes: [36e9], cacheBytes: 12e9 },
  { weightBytes: [36e9], cacheBytes: 12e9 },
  { weightBytes: [16e9], cacheBytes: 8e9 },
  { weightBytes: [60e9], cacheBytes: 16e9 },
  { weightBytes: [40e9, 40e9], cacheBytes: 12e9 },
];
const patterns: readonly ArrivalPattern[] = ['popular', 'sessions', 'regular', 'rare', 'once'];

/** Builds one seeded day of a partner. */
export function buildWorkload(specification: PartnerSpecification, seed: number): Workload {
  const random = new RandomSource(seed * 7919 + specification.partner.length);
  const models = buildModels(specification, random);
  const arrivals = models.flatMap((model, rank) => new ModelArrivals(specification, model, rank, random).build());
  arrivals.sort((first, second) => first.atMs - second.atMs || (first.model < second.model ? -1 : 1));
  return { specification, seed, models, engines: buildEngines(specification), arrivals };
}

function buildModels(specification: PartnerSpecification, random: RandomSource): ModelSpecification[] {
  const names = patterns.flatMap((pattern) =>
    Array.from({ length: specification.models[pattern] }, (_, index) => ({ pattern, model: `${pattern}-${index}` })),
  );
  const adapters = names.map((): string[] => []);
  for (let index = 0; index < specification.adapters; index += 1) {
    adapters[Math.floor(random.next() ** 2 * names.length)]?.push(`adapter-${index}`);
  }
  return names.map((name, index) => {
    const size = sizes[Math.floor(random.next() * sizes.length)] ?? { weightBytes: [16e9], cacheBytes: 8e9 };
    return { ...name, ...size, adapters: adapters[index] ?? [] };
  });
}

function buildEngines(specification: PartnerSpecification): EngineSpecification[] {
  return specification.engines.map((accelerators, index) => ({
    address: `10.0.0.${index + 1}:9000`,
    vm: `vm-${index + 1}`,
    failureDomain: `fd-${index % specification.failureDomains}`,
    acceleratorBytes: Array.from({ length: accelerators }, () => acceleratorBytes),
  }));
}

/** Generates the arrivals of one model. */
class ModelArrivals {
  private readonly _arrivals: Arrival[] = [];
  /** Position among the models of the same pattern; higher positions are less popular. */
  private readonly _position: number;

  public constructor(
    private readonly _specification: PartnerSpecification,
    private readonly _model: ModelSpecification,
    rank: number,
    private readonly _random: RandomSource,
  ) {
    this._position = Number(_model.model.split('-')[1] ?? rank);
  }

  public build(): readonly Arrival[] {
    switch (this._model.pattern) {
      case 'popular':
        this._addSteady((25 + 15 * this._position) * 1_000);
        break;
      case 'sessions':
        this._addSessions(4 + 60 / (1 + this._position) ** 0.8);
        break;
      case 'regular':
        this._addRegular([10, 15, 20, 30, 45, 60, 120][this._position % 7] ?? 30);
        break;
      case 'rare':
        this._addSessions(1 + Math.floor(this._random.next() * 3));
        break;
      case 'once':
        this._addBurst(this._timeOfDay(), 5 + Math.floor(this._random.next() * 35), 'interactive');
        break;
    }
    return this._arrivals;
  }

  private _addSteady(meanGapMs: number): void {
    for (let atMs = this._exponential(meanGapMs); atMs < dayMs; atMs += this._exponential(meanGapMs)) {
      if (this._random.next() < this._rateAt(atMs)) {
        this._add(atMs, 'interactive');
      }
    }
  }

  private _addSessions(mean: number): void {
    const count = Math.max(1, Math.round(mean * (0.7 + 0.6 * this._random.next())));
    for (let session = 0; session < count; session += 1) {
      const batch = this._random.next() < this._specification.batchShare;
      let atMs = this._timeOfDay();
      if (this._random.next() < 0.3) {
        this._addBurst(atMs, 5 + Math.floor(this._random.next() * 25), batch ? 'batch' : 'interactive');
      }
      const requests = 2 + Math.floor(this._random.next() * 10);
      for (let request = 0; request < requests; request += 1) {
        this._add(atMs, batch ? 'batch' : 'interactive');
        atMs += 1_000 + this._exponential(25_000);
      }
    }
  }

  private _addRegular(periodMinutes: number): void {
    const periodMs = periodMinutes * minuteMs;
    const jitter = 0.01 + 0.03 * this._random.next();
    for (let atMs = this._random.next() * periodMs; atMs < dayMs; atMs += periodMs) {
      const startMs = atMs + (this._random.next() - 0.5) * 2 * jitter * periodMs;
      const requests = 1 + Math.floor(this._random.next() * 4);
      for (let request = 0; request < requests; request += 1) {
        this._add(startMs + request * 500, 'interactive');
      }
    }
  }

  /** Adds requests that all arrive within two seconds. */
  private _addBurst(atMs: number, requests: number, urgency: Arrival['urgency']): void {
    for (let request = 0; request < requests; request += 1) {
      this._add(atMs + this._random.next() * 2_000, urgency);
    }
  }

  private _add(atMs: number, urgency: Arrival['urgency']): void {
    const { adapters, model } = this._model;
    const adapter = this._random.next() < 0.5 ? adapters[Math.floor(this._random.next() * adapters.length)] : undefined;
    const serviceMs = 1_000 + this._exponential(urgency === 'batch' ? 12_000 : 4_000);
    if (atMs < 0 || atMs >= dayMs) {
      return;
    }
    const deadlineMs = urgency === 'batch' ? batchDeadlineMs : interactiveDeadlineMs;
    this._arrivals.push({ atMs, model, ...(adapter === undefined ? {} : { adapter }), urgency, serviceMs, deadlineMs });
  }

  private _timeOfDay(): number {
    for (;;) {
      const atMs = this._random.next() * dayMs;
      if (this._random.next() < this._rateAt(atMs)) {
        return atMs;
      }
    }
  }

  /** Rate at a time, relative to the highest rate of the day. */
  private _rateAt(atMs: number): number {
    const { hourlyRates } = this._specification;
    return (hourlyRates[Math.floor(atMs / hourMs)] ?? 0) / Math.max(...hourlyRates);
  }

  private _exponential(meanMs: number): number {
    return -Math.log(1 - this._random.next()) * meanMs;
  }
}
