import type { ReportedLoad } from '../contracts/RequestCodec.js';

/** Mean run time of a service before the first run, milliseconds. */
const initialRunMs = 1_000;
/** Weight of the newest run in the means of a service and of a kind of request. */
const runWeight = 0.1;
/**
 * Number of runs at usual speed that an estimate starts with. Run times of one kind of request vary by about their mean,
 * so a few runs say little about a replica.
 */
const priorRuns = 4;
/** Largest number of runs that an estimate averages over, so that it follows a lasting change. */
const maximumRuns = 40;
/** Bounds of one run relative to the usual, as a single very long or short answer says little about speed. */
const runRatio = { minimum: 0.4, maximum: 2.5 } as const;
/** Variation of run times that has other causes than the replica, for instance a busy daemon, milliseconds. */
const noiseMs = 20;
/** Time constant with which a speed decays to the mean without runs, so that a replica once slow is tried again. */
const lastingDecayMs = 120_000;
/** Time constant of the decay of a reported momentary speed, milliseconds. Replicas are slow for some 600 ms at a time. */
const momentaryDecayMs = 400;

interface Speed {
  /** Lasting run time relative to the mean of the replicas. */
  lasting: number;
  lastingMs: number;
  runs: number;
  /** Run time relative to the usual one of this replica, as last reported. */
  momentary: number;
  momentaryMs: number;
}

/**
 * How long replicas take relative to the mean of the replicas. The lasting part is the estimate of the leader. Without
 * one, it is the mean of the run times of this daemon's own requests, each divided by the mean time of its kind; it starts
 * with a few runs at mean speed. The momentary part is the fourth figure of the reported load, which decays to the usual.
 */
export class ReplicaSpeeds {
  private readonly _speeds = new Map<string, Speed>();
  private readonly _serviceRunMs = new Map<string, number>();
  private readonly _kindRunMs = new Map<string, number>();

  /** `lastingSlowness` is the estimate of the leader; undefined if there is none. */
  public constructor(private readonly _lastingSlowness: (replicaId: string) => number | undefined = () => undefined) {}

  /** Records the time of a run from the first byte of its answer to the end, milliseconds. */
  public recordRun(replicaId: string, service: string, kind: string, durationMs: number, nowMs: number): void {
    const speed = this._speed(replicaId);
    speed.lasting = lastingSlowness(speed, nowMs);
    speed.lastingMs = nowMs;
    const kindKey = `${service} ${kind}`;
    const kindMs = this._kindRunMs.get(kindKey) ?? durationMs / speed.lasting;
    const serviceMs = this.serviceRunMs(service);
    const measured = (durationMs + noiseMs) / (kindMs + noiseMs);
    const ratio = Math.min(Math.max(measured, runRatio.minimum), runRatio.maximum);
    speed.runs = Math.min(speed.runs + 1, maximumRuns);
    speed.lasting += (ratio - speed.lasting) / (speed.runs + priorRuns);
    this._kindRunMs.set(kindKey, kindMs + (durationMs / speed.lasting - kindMs) * runWeight);
    this._serviceRunMs.set(service, serviceMs + (durationMs - serviceMs) * runWeight);
  }

  /** Records the momentary run time that a replica reported, relative to its usual one. */
  public recordMomentary(replicaId: string, { slowness }: ReportedLoad, nowMs: number): void {
    if (slowness !== undefined || this._speeds.has(replicaId)) {
      const speed = this._speed(replicaId);
      speed.momentary = slowness ?? 1;
      speed.momentaryMs = nowMs;
    }
  }

  /** Expected run time on a replica now, relative to the mean of the replicas. */
  public slowness(replicaId: string, nowMs: number): number {
    const speed = this._speeds.get(replicaId);
    const estimated = this._lastingSlowness(replicaId);
    if (speed === undefined) {
      return estimated ?? 1;
    }
    return (estimated ?? lastingSlowness(speed, nowMs)) * momentarySlowness(speed, nowMs);
  }

  /** Mean run time of this daemon's requests to a service, milliseconds. */
  public serviceRunMs(service: string): number {
    return this._serviceRunMs.get(service) ?? initialRunMs;
  }

  public delete(replicaId: string): void {
    this._speeds.delete(replicaId);
  }

  private _speed(replicaId: string): Speed {
    let speed = this._speeds.get(replicaId);
    if (speed === undefined) {
      speed = { lasting: 1, lastingMs: 0, runs: 0, momentary: 1, momentaryMs: 0 };
      this._speeds.set(replicaId, speed);
    }
    return speed;
  }
}

function lastingSlowness({ lasting, lastingMs }: Speed, nowMs: number): number {
  return 1 + (lasting - 1) * Math.exp(-Math.max(nowMs - lastingMs, 0) / lastingDecayMs);
}

function momentarySlowness({ momentary, momentaryMs }: Speed, nowMs: number): number {
  return momentary === 1 ? 1 : 1 + (momentary - 1) * Math.exp(-(nowMs - momentaryMs) / momentaryDecayMs);
}
