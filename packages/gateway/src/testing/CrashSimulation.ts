import { CrashGuard } from '../crashes/CrashGuard.js';
import { CrashLeader } from '../crashes/CrashLeader.js';
import { decideTrial } from '../crashes/decideTrial.js';
import type { CrashReport, PartBlock, SuspectsMessage } from '../crashes/Types.js';
import type { CrashSimulationOptions, CrashSimulationResult, SoundRequest } from './CrashSimulationTypes.js';
import { SimulatedDaemon, type SimulatedReplica, type SimulatedRequest } from './SimulatedDaemon.js';
import { silentLogger } from './SilentLogger.js';
import { SimulatedTime } from './SimulatedTime.js';

/** Times of requests and replicas, milliseconds. */
const firstEventMs = { least: 30, most: 300 } as const;
const secondEventMs = 40;
const restartMs = 3_000;
/** Time in which a daemon finds out that a replica has ended, milliseconds. */
const probeMs = 3;
const messageMs = { least: 1, most: 20, late: 300 } as const;
const lateShare = 0.05;
/** Time from the loss of a leader to the next one, milliseconds. */
const leaderGapMs = { least: 2_200, most: 3_000 } as const;
const tickMs = 100;
/** Time that a caller waits for the first byte, milliseconds. */
const callerWaitMs = 2_000;
/** The crashing part of prompts, and the part that stands for the crashing request. */
const crashingParts = { part: 'crashing', request: 'request:crashing' } as const;
const popularRequests = 10;

/** Daemons that find a crashing part over an unreliable network, with crashes of other causes, in simulated time. */
export class CrashSimulation {
  private readonly _daemons: SimulatedDaemon[];
  private readonly _replicas: SimulatedReplica[];
  private readonly _time: SimulatedTime;
  private _leaderDaemon: SimulatedDaemon | undefined;
  private _leader: CrashLeader<SimulatedDaemon>;
  private readonly _crashesMs: number[] = [];
  private _otherCrashes = 0;
  private _requestCount = 0;
  private readonly _crashingArrivalsMs: number[] = [];
  private readonly _soundRequests: SoundRequest[] = [];
  private readonly _wrongBlocks: (readonly string[])[] = [];
  /** Stored blocks by key. */
  private readonly _stored = new Map<string, PartBlock>();

  public constructor(private readonly _options: CrashSimulationOptions) {
    this._time = new SimulatedTime(_options.random);
    this._daemons = Array.from({ length: _options.daemonCount }, () => new SimulatedDaemon());
    this._replicas = Array.from({ length: _options.replicaCount }, (_none, index) => {
      return { id: `i-${index}`, bornMs: 0, upFromMs: 0, requests: new Set<SimulatedRequest>() };
    });
    this._leader = this._createLeader();
    for (const daemon of this._daemons) {
      this._connectGuard(daemon);
    }
    this._lead(this._time.pick(this._daemons));
  }

  public run(): CrashSimulationResult {
    while (this._time.nowMs < this._options.durationMs) {
      this._time.runDueEvents();
      if (this._time.happens(this._options.requestsPerSecond)) {
        this._arrive();
      }
      this._injectFaults();
      if (this._time.nowMs % tickMs === 0) {
        this._tick();
      }
      this._time.advance();
    }
    return {
      crashesMs: this._crashesMs,
      otherCrashes: this._otherCrashes,
      crashingArrivalsMs: this._crashingArrivalsMs,
      soundRequests: this._soundRequests,
      wrongBlocks: this._wrongBlocks,
    };
  }

  private _tick(): void {
    this._leader.tick();
    for (const daemon of this._daemons) {
      daemon.guard.expire(this._time.nowMs);
      this._redispatch(daemon);
    }
  }

  private _arrive(): void {
    const { random, crashingShare, crashingKind, callerCount } = this._options;
    const isCrashing = this._time.nowMs > 1_000 && random() < crashingShare;
    const first = random() < 0.8 || isCrashing ? 'f0' : 'f1';
    // A few callers send most requests.
    const caller = isCrashing ? 0 : Math.floor(callerCount * random() ** 2);
    const daemon = this._time.pick(this._daemons);
    if (daemon === undefined) {
      return;
    }
    const part = isCrashing && crashingKind === 'part' ? [crashingParts.part] : [];
    const request = isCrashing && crashingKind === 'request' ? crashingParts.request : this._soundRequestPart();
    this._dispatch({ daemon, parts: [first, `c${caller}`, ...part, request], atMs: this._time.nowMs });
  }

  private _soundRequestPart(): string {
    const { random, popularShare } = this._options;
    this._requestCount += 1;
    const isPopular = random() < popularShare;
    return isPopular ? `request:popular-${Math.floor(popularRequests * random())}` : `request:${this._requestCount}`;
  }

  /** Returns false if the request waits. */
  private _dispatch(request: SimulatedRequest): boolean {
    const { guard } = request.daemon;
    const verdict = guard.check(request.parts, this._time.nowMs);
    if (verdict.kind === 'blocked') {
      this._finish(request, 'refused');
      return true;
    }
    const waitedMs = this._time.nowMs - request.atMs;
    if (verdict.kind === 'suspected') {
      const situation = { waitedMs, firstByteTimeLeftMs: callerWaitMs - waitedMs };
      const decision = decideTrial(situation, guard.hasGrant(verdict.parts, this._time.nowMs));
      if (decision.kind === 'wait') {
        request.daemon.waiting.add(request);
        guard.requestTrial(verdict.parts, this._time.nowMs);
        return false;
      }
      if (decision.kind === 'refuse') {
        this._finish(request, 'refused');
        return true;
      }
      request.trialParts = verdict.parts;
    }
    this._send(request);
    return true;
  }

  private _send(request: SimulatedRequest): void {
    const replica = this._time.pick(this._replicas.filter(({ upFromMs }) => upFromMs <= this._time.nowMs));
    if (request.trialParts !== undefined) {
      request.daemon.guard.startTrial(request.trialParts);
    }
    if (replica === undefined) {
      this._finish(request, 'noReplica');
      this._endTrial(request);
      return;
    }
    if (isCrashing(request)) {
      this._crashingArrivalsMs.push(this._time.nowMs);
    }
    replica.requests.add(request);
    this._time.after(this._time.between(firstEventMs.least, firstEventMs.most), () => {
      if (replica.requests.has(request)) {
        this._beginAnswer(request, replica);
      }
    });
  }

  private _beginAnswer(request: SimulatedRequest, replica: SimulatedReplica): void {
    if (isCrashing(request)) {
      this._crashesMs.push(this._time.nowMs);
      this._crash(replica);
      return;
    }
    this._time.after(secondEventMs, () => {
      if (replica.requests.delete(request)) {
        this._finish(request, 'answered');
        request.daemon.guard.recordAnswered(request.parts, this._time.nowMs);
        this._endTrial(request);
      }
    });
  }

  private _crash(replica: SimulatedReplica): void {
    const { id, bornMs } = replica;
    const lostByDaemon = new Map<SimulatedDaemon, SimulatedRequest[]>();
    for (const request of replica.requests) {
      lostByDaemon.set(request.daemon, [...(lostByDaemon.get(request.daemon) ?? []), request]);
      this._finish(request, 'broken');
    }
    replica.requests.clear();
    replica.bornMs = this._time.nowMs;
    replica.upFromMs = this._time.nowMs + restartMs;
    for (const [daemon, requests] of lostByDaemon) {
      daemon.guard.suspect(
        requests.flatMap(({ parts }) => parts),
        this._time.nowMs,
      );
      this._time.after(probeMs, () => {
        const lost = requests.map(({ parts, trialParts }) => ({ parts, isTrial: trialParts !== undefined }));
        this._report(daemon, { replicaId: id, bornMs, ageMs: probeMs, requests: lost });
        requests.forEach((request) => {
          this._endTrial(request);
        });
      });
    }
  }

  private _report(daemon: SimulatedDaemon, report: CrashReport): void {
    daemon.reports.push({ report, atMs: this._time.nowMs });
    this._toLeader(daemon, (leader) => {
      leader.applyCrash(report);
    });
  }

  private _endTrial(request: SimulatedRequest): void {
    if (request.trialParts !== undefined) {
      request.daemon.guard.endTrial(request.trialParts);
    }
  }

  private _finish(request: SimulatedRequest, outcome: SoundRequest['outcome']): void {
    if (!isCrashing(request)) {
      this._soundRequests.push({ atMs: request.atMs, outcome });
    }
  }

  private _redispatch(daemon: SimulatedDaemon): void {
    for (const request of [...daemon.waiting]) {
      daemon.waiting.delete(request);
      this._dispatch(request);
    }
  }

  private _connectGuard(daemon: SimulatedDaemon): void {
    daemon.guard.onChanged(() => {
      this._redispatch(daemon);
    });
    daemon.guard.onAnswered((parts) => {
      this._toLeader(daemon, (leader) => {
        leader.applyAnswered(parts);
      });
    });
    daemon.guard.onTrialRequested((parts) => {
      this._toLeader(daemon, (leader) => {
        leader.requestTrial(daemon, parts);
      });
    });
    daemon.guard.onTrialEnded((parts) => {
      this._toLeader(daemon, (leader) => {
        leader.endTrial(daemon, parts);
      });
    });
  }

  private _createLeader(): CrashLeader<SimulatedDaemon> {
    const links = {
      broadcast: (message: SuspectsMessage): void => {
        for (const daemon of this._daemons) {
          this._toDaemon(daemon, () => {
            daemon.guard.apply(message, this._time.nowMs);
          });
        }
      },
      grantTrial: (daemon: SimulatedDaemon, parts: readonly string[]): void => {
        this._toDaemon(daemon, () => {
          daemon.guard.grantTrial(parts, this._time.nowMs);
        });
      },
      store: (key: string, block: PartBlock | undefined): void => {
        if (block === undefined) {
          this._stored.delete(key);
          return;
        }
        this._stored.set(key, block);
        if (!isCrashing(block)) {
          this._wrongBlocks.push(block.parts);
        }
      },
      schedule: (callback: () => void, delayMs: number): void => {
        this._time.after(delayMs, callback);
      },
    };
    return new CrashLeader(links, () => this._time.nowMs, silentLogger);
  }

  private _lead(daemon: SimulatedDaemon | undefined): void {
    if (daemon === undefined) {
      return;
    }
    this._leaderDaemon = daemon;
    this._leader = this._createLeader();
    this._leader.start(daemon.guard.snapshot(this._time.nowMs));
    this._leader.applyKnown({ suspects: [], blocks: [...this._stored.values()] });
    for (const one of this._daemons) {
      const known = one.guard.snapshot(this._time.nowMs);
      const reports = one.reports.map(({ report, atMs }) => ({
        ...report,
        ageMs: report.ageMs + this._time.nowMs - atMs,
      }));
      this._toLeader(one, (leader) => {
        leader.applyKnown(known);
        reports.forEach((report) => {
          leader.applyCrash(report);
        });
      });
    }
  }

  private _injectFaults(): void {
    const { faults } = this._options;
    if (this._time.happens(faults.singleCrash)) {
      this._crashUp(this._time.pick(this._replicas));
    }
    if (this._time.happens(faults.massCrash)) {
      this._replicas
        .filter((_one, index) => index % 3 === 0)
        .forEach((replica) => {
          this._crashUp(replica);
        });
    }
    if (this._time.nowMs % 4_000 === 0) {
      this._replicas.slice(0, this._replicas.length * faults.flappingShare).forEach((replica) => {
        this._time.after(this._time.between(0, 500), () => {
          this._crashUp(replica);
        });
      });
    }
    if (this._leaderDaemon !== undefined && this._time.happens(faults.leaderLoss)) {
      this._leader.stop();
      this._restart(this._leaderDaemon);
      this._leaderDaemon = undefined;
      this._time.after(this._time.between(leaderGapMs.least, leaderGapMs.most), () => {
        this._lead(this._time.pick(this._daemons));
      });
    }
    const daemon = this._time.happens(faults.daemonRestart) ? this._time.pick(this._daemons) : undefined;
    if (daemon !== undefined && daemon !== this._leaderDaemon) {
      this._restart(daemon);
    }
  }

  private _crashUp(replica: SimulatedReplica | undefined): void {
    if (replica !== undefined && replica.upFromMs <= this._time.nowMs) {
      this._otherCrashes += 1;
      this._crash(replica);
    }
  }

  /** The daemon loses its requests and what it knows; it reads the stored blocks and joins the leader. */
  private _restart(daemon: SimulatedDaemon): void {
    for (const replica of this._replicas) {
      for (const request of replica.requests) {
        if (request.daemon === daemon) {
          replica.requests.delete(request);
        }
      }
    }
    daemon.waiting.clear();
    daemon.reports = [];
    daemon.guard = new CrashGuard();
    this._connectGuard(daemon);
    daemon.guard.apply(
      { whole: false, suspects: [], blocks: [...this._stored.values()], lifted: [] },
      this._time.nowMs,
    );
    if (this._leaderDaemon !== undefined && this._leaderDaemon !== daemon) {
      const leader = this._leader;
      leader.removePeer(daemon);
      this._toDaemon(daemon, () => {
        daemon.guard.apply(leader.snapshot(), this._time.nowMs);
      });
    }
  }

  private _toLeader(daemon: SimulatedDaemon, deliver: (leader: CrashLeader<SimulatedDaemon>) => void): void {
    const leader = this._leader;
    if (this._leaderDaemon === daemon) {
      deliver(leader);
    } else if (this._leaderDaemon !== undefined) {
      this._time.after(this._messageMs(), () => {
        deliver(leader);
      });
    }
  }

  private _toDaemon(daemon: SimulatedDaemon, deliver: () => void): void {
    if (this._leaderDaemon === daemon) {
      deliver();
    } else {
      this._time.after(this._messageMs(), deliver);
    }
  }

  private _messageMs(): number {
    return this._options.random() < lateShare
      ? this._time.between(messageMs.most, messageMs.late)
      : this._time.between(messageMs.least, messageMs.most);
  }
}

function isCrashing({ parts }: Pick<SimulatedRequest, 'parts'>): boolean {
  return parts.includes(crashingParts.part) || parts.includes(crashingParts.request);
}
