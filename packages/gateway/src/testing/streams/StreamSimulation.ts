import * as vitest from 'vitest';
import { systemClock } from '../../Clock.js';
import { Network } from '../changes/SimulatedLink.js';
import { sampleReplica } from '../sampleReplica.js';
import { SimulatedTime } from '../SimulatedTime.js';
import { seededRandom } from '../seededRandom.js';
import { SimulatedCallers } from './SimulatedCallers.js';
import { SimulatedStreamDaemon, type StreamSurroundings } from './SimulatedStreamDaemon.js';
import { lifetimeMs } from './streamLimits.js';
import { SimulatedStreamStore } from './SimulatedStreamStore.js';

/** Length of a step of the simulation, milliseconds. */
const stepMs = 20;
/** Interval at which the leader renews its lease, milliseconds. */
const renewMs = 300;
/** Time for which a renewal is valid, milliseconds. */
const leaseMs = 1_500;
/** Time after the last renewal from which another daemon takes the lease, milliseconds. */
const takeoverMs = 2_200;
/** Longest time until a daemon knows a change of the replicas, milliseconds. */
const longestLagMs = 500;

interface Lease {
  readonly slot: number;
  readonly holder: SimulatedStreamDaemon;
  readonly sinceMs: number;
  renewedMs: number;
}

/** Daemons in simulated time, of which one holds the lease, with replicas, a store, and callers of streams. */
export class StreamSimulation implements StreamSurroundings {
  public readonly store = new SimulatedStreamStore();
  public readonly network = new Network();
  public readonly lifetimeMs = lifetimeMs;
  public readonly time: SimulatedTime;
  public readonly callers: SimulatedCallers;
  /** One process for each daemon; undefined while it does not run. */
  public readonly processes: (SimulatedStreamDaemon | undefined)[];
  /** When the store last answered late or not at all, lost an answer, or was restored, steady milliseconds. */
  public lastUnsoundMs = 0;
  /** When the store was last restored, steady milliseconds. */
  public lastRestoreMs = Number.NEGATIVE_INFINITY;
  private readonly _startMs = systemClock.now().steadyMs;
  private _versions: readonly string[] = ['v1'];
  private _lease: Lease | undefined;

  /** Starts the daemons. The seed determines the run. */
  public constructor(
    public readonly daemonCount: number,
    seed: number,
  ) {
    this.time = new SimulatedTime(seededRandom(seed));
    this.callers = new SimulatedCallers(this);
    this.processes = Array.from({ length: daemonCount }, () => this._startProcess(true));
  }

  /** Time since the start, milliseconds. */
  public get nowMs(): number {
    return systemClock.now().steadyMs - this._startMs;
  }

  public get running(): readonly SimulatedStreamDaemon[] {
    return this.processes.filter((process) => process !== undefined).filter(({ isRunning }) => isRunning);
  }

  /** The versions of the replicas that serve. */
  public get versions(): readonly string[] {
    return this._versions;
  }

  public set versions(versions: readonly string[]) {
    this._versions = versions;
    for (const process of this.processes) {
      this._updateReplicas(process, this.time.between(stepMs, longestLagMs));
    }
  }

  /** Time for which a leader has held the lease without a break, milliseconds. */
  public get leaderAgeMs(): number {
    const lease = this._lease;
    return lease !== undefined && lease.holder.isRunning && this.isLeaseValid(lease.holder)
      ? this.nowMs - lease.sinceMs
      : 0;
  }

  public leaseHolder(): SimulatedStreamDaemon | undefined {
    return this._lease?.holder;
  }

  public isLeaseValid(daemon: SimulatedStreamDaemon): boolean {
    return this._lease?.holder === daemon && this.nowMs - this._lease.renewedMs < leaseMs;
  }

  /** Ends processes; each daemon starts again after its own delay. */
  public kill(slots: readonly number[], restartMs: () => number): void {
    for (const slot of slots) {
      const process = this.processes[slot];
      if (process !== undefined) {
        process.end();
        this.callers.leave(process);
        this.processes[slot] = undefined;
        this.time.after(restartMs(), () => {
          this.processes[slot] ??= this._startProcess(false);
        });
      }
    }
  }

  public async advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      vitest.vi.advanceTimersByTime(stepMs);
      await flushPromises();
      this.network.deliver();
      for (let step = 0; step < stepMs; step += 1) {
        this.time.advance();
        this.time.runDueEvents();
      }
      this._updateLease();
      for (const process of this.running) {
        process.tickIfDue();
      }
      this.callers.step(stepMs);
    }
  }

  private _startProcess(isFirstStart: boolean): SimulatedStreamDaemon {
    const process = new SimulatedStreamDaemon(this, isFirstStart, this.time.between(0, 100));
    this._updateReplicas(process, this.time.between(stepMs, 2 * longestLagMs));
    return process;
  }

  /** Lets a daemon know the present replicas after a delay, once the store answers and the daemon runs. */
  private _updateReplicas(process: SimulatedStreamDaemon | undefined, delayMs: number): void {
    this.time.after(delayMs, () => {
      const isInformed = !this.store.isDown && !(process?.cutOff.store === true && process.cutOff.peers);
      if (process?.isRunning === true && isInformed) {
        process.replicas = this._versions.map((version) => sampleReplica({ id: version, softwareVersion: version }));
      } else if (process?.hasEnded === false) {
        this._updateReplicas(process, this.time.between(stepMs, longestLagMs));
      }
    });
  }

  private _updateLease(): void {
    const lease = this._lease;
    if (this.store.isDown) {
      return;
    }
    // A holder that is cut off from the store renews its lease through its peers.
    if (lease?.holder.isRunning === true && !(lease.holder.cutOff.store && lease.holder.cutOff.peers)) {
      this._renew(lease);
      return;
    }
    const successor = lease && this.processes[lease.slot];
    if (lease?.holder.hasEnded === true && successor?.isRunning === true) {
      this._take(lease.slot, successor);
    } else if (lease === undefined || this.nowMs - lease.renewedMs >= takeoverMs) {
      const taker = this.time.pick(this.running.filter(({ cutOff }) => !cutOff.store));
      if (taker !== undefined) {
        this._take(this.processes.indexOf(taker), taker);
      }
    }
  }

  /** Renews a lease; one that ran out meanwhile counts as a new one. */
  private _renew(lease: Lease): void {
    const ageMs = this.nowMs - lease.renewedMs;
    if (ageMs >= leaseMs) {
      this._take(lease.slot, lease.holder);
    } else if (ageMs >= renewMs) {
      lease.renewedMs = this.nowMs;
    }
  }

  private _take(slot: number, holder: SimulatedStreamDaemon): void {
    this._lease = { slot, holder, sinceMs: this.nowMs, renewedMs: this.nowMs };
  }
}

async function flushPromises(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}
