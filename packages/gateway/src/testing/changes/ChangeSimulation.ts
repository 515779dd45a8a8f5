import * as vitest from 'vitest';
import { systemClock } from '../../Clock.js';
import type { LeaderAnnouncement } from '../../leadership/KnownLeader.js';
import type { PeerMessages } from '../../peers/Types.js';
import { sampleReplica } from '../sampleReplica.js';
import { SimulatedGateway } from './SimulatedGateway.js';
import { Network } from './SimulatedLink.js';
import { type Reachability, SimulatedStore } from './SimulatedStore.js';

/** Time from the start until the gateways no longer read the store themselves, milliseconds. */
const calmMs = 5_000;
/** Time between two changes, milliseconds. */
const changeIntervalMs = 180;
/** Length of a step of the simulation, milliseconds. */
const stepMs = 20;

/** Gateways of which the others know the addresses from their settings. */
const seedCount = 3;
/** Place of the first leader. */
const leaderIndex = 0;
/** Time until gateways read that the lease has been taken over, milliseconds. */
const leaseReadMs = 700;

/** True for the gateways that the store serves. */
export function servedGateways({ store }: SimulatedGateway): boolean {
  return store.reachability === 'served';
}

/** How long changes took to be in force at the last gateway, milliseconds. */
export interface ChangeTimes {
  readonly removalMs: number;
  readonly configurationMs: number;
  /** Reads of the store a second, of all gateways. */
  readonly readsPerSecond: number;
}

/** The gateways that a fault concerns. */
export interface FaultScope {
  readonly leader: boolean;
  /** Share of the followers, from 0 to 1. */
  readonly followerShare: number;
}

interface PendingChange {
  readonly atMs: number;
  readonly kind: 'removal' | 'configuration';
  readonly isInForce: (gateway: SimulatedGateway) => boolean;
}

/** Gateways in simulated time, of which the first leads, and a store in which replicas are removed all the time. */
export class ChangeSimulation implements AsyncDisposable {
  public readonly store = new SimulatedStore();
  private readonly _network = new Network();
  private readonly _addresses: readonly string[];
  private _term = 0;
  private _gateways: SimulatedGateway[] = [];
  private _leader: SimulatedGateway | undefined;
  private readonly _pending = new Set<PendingChange>();
  private readonly _slowest = { removal: 0, configuration: 0 };
  private _nextReplica = 0;
  private _version = 1;
  private _concerned = servedGateways;

  public constructor(daemonCount: number) {
    this._addresses = Array.from({ length: daemonCount }, (_none, index) => `10.0.${index >> 8}.${index & 255}:1`);
  }

  /** Starts the gateways and waits until all follow the leader. */
  public async open(replicaCount: number): Promise<void> {
    this.store.write('configuration', 'config', this._version);
    for (let index = 0; index < replicaCount; index += 1) {
      this.store.write('replicas', `i-${index}`, sampleReplica({ id: `i-${index}` }));
    }
    this._startLeader();
    for (const address of this._addresses.slice(1)) {
      const follower = this._createGateway(address);
      follower.learnLeader(this._leaderRecord(leaderIndex));
      follower.start(Math.random() * 300);
      this._gateways.push(follower);
    }
    await this.advance(calmMs);
  }

  /** The gateways that follow. */
  public get followers(): readonly SimulatedGateway[] {
    return this._gateways.filter((gateway) => gateway !== this._leader);
  }

  /** Number of gateways that follow the leader. */
  public get followingCount(): number {
    return this._leader?.followerCount ?? 0;
  }

  /** Messages of a kind that the gateways have sent. */
  public sentMessages(method: keyof PeerMessages): number {
    return this._network.count(method);
  }

  /** Lets the last follower take the lease over. The gateways that the store serves read it there. */
  public takeOver(): void {
    this._leader?.loseLease();
    const successor = this._gateways.at(-1);
    this._term += 1;
    const record = this._leaderRecord(this._addresses.length - 1);
    successor?.learnLeader(record);
    this._leader = successor;
    setTimeout(() => {
      for (const gateway of this._gateways.filter(({ store }) => store.reachability === 'served')) {
        gateway.learnLeader(record);
      }
    }, leaseReadMs);
  }

  /** Sets how the store answers the leader and a share of the followers. */
  public setReachability(reachability: Reachability, scope: FaultScope = { leader: true, followerShare: 0 }): void {
    const count = Math.floor(this.followers.length * scope.followerShare);
    const leader = scope.leader && this._leader !== undefined ? [this._leader] : [];
    for (const gateway of [...leader, ...this.followers.slice(0, count)]) {
      gateway.store.reachability = reachability;
    }
  }

  /** Ends the leader's process; `restartMs` later another one starts at its address. */
  public async killLeader(restartMs?: number): Promise<void> {
    const killed = this._leader;
    this._leader = undefined;
    this._gateways = this._gateways.filter((gateway) => gateway !== killed);
    await killed?.[Symbol.asyncDispose]();
    if (restartMs !== undefined) {
      setTimeout(() => {
        this._startLeader();
      }, restartMs);
    }
  }

  /** Suspends the leader: its connections stay open, and nothing arrives. */
  public suspendLeader(): void {
    this._leader?.suspend();
    this._gateways = this._gateways.filter((gateway) => gateway !== this._leader);
    this._leader = undefined;
  }

  /**
   * Removes replicas and changes the configuration for a time, and returns how long it took until all was in force at the
   * gateways concerned.
   */
  public async change(durationMs: number, settleMs: number, concerned = servedGateways): Promise<ChangeTimes> {
    this._concerned = concerned;
    const readsBefore = this.store.reads;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += changeIntervalMs) {
      this._removeReplica();
      this._changeConfiguration();
      await this.advance(changeIntervalMs);
    }
    const readsPerSecond = ((this.store.reads - readsBefore) * 1_000) / durationMs;
    await this.advance(settleMs);
    for (const change of this._pending) {
      this._slowest[change.kind] = Number.POSITIVE_INFINITY;
    }
    return { removalMs: this._slowest.removal, configurationMs: this._slowest.configuration, readsPerSecond };
  }

  public async advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      await vitest.vi.advanceTimersByTimeAsync(stepMs);
      this._network.deliver();
      const nowMs = systemClock.now().steadyMs;
      for (const gateway of this._gateways) {
        gateway.tickIfDue(nowMs);
      }
      this._settle();
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    for (const gateway of this._gateways) {
      await gateway[Symbol.asyncDispose]();
    }
  }

  private _startLeader(): void {
    this._term += 1;
    this._leader = this._createGateway(this._addresses[leaderIndex] ?? '');
    this._leader.learnLeader(this._leaderRecord(leaderIndex));
    this._leader.start(0);
    this._gateways.push(this._leader);
  }

  private _createGateway(address: string): SimulatedGateway {
    const place = { address, seeds: this._addresses.slice(0, seedCount), daemonCount: this._addresses.length };
    return new SimulatedGateway(this.store, this._network, place, systemClock);
  }

  private _leaderRecord(index: number): LeaderAnnouncement {
    const address = this._addresses[index] ?? '';
    return { holder: address, peerAddress: address, term: this._term };
  }

  private _removeReplica(): void {
    const id = `i-${this._nextReplica}`;
    this._nextReplica += 1;
    this.store.write('replicas', id);
    this._pending.add({ kind: 'removal', atMs: systemClock.now().steadyMs, isInForce: (gateway) => !gateway.uses(id) });
  }

  private _changeConfiguration(): void {
    this._version += 1;
    const version = this._version;
    this.store.write('configuration', 'config', version);
    const isInForce = ({ routingTables }: SimulatedGateway): boolean =>
      (routingTables.routes?.configuration.version ?? 0) >= version;
    this._pending.add({ kind: 'configuration', atMs: systemClock.now().steadyMs, isInForce });
  }

  /** Times the changes that are in force at all gateways concerned. */
  private _settle(): void {
    const concerned = this._gateways.filter(this._concerned);
    for (const change of this._pending) {
      if (concerned.every((gateway) => change.isInForce(gateway))) {
        const elapsedMs = systemClock.now().steadyMs - change.atMs;
        this._slowest[change.kind] = Math.max(this._slowest[change.kind], elapsedMs);
        this._pending.delete(change);
      }
    }
  }
}
