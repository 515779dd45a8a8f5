import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import * as zod from 'zod';
import type { DaemonContext, PeerFailure, PeerMember, Peers } from '../Types.js';
import { LeavingHints } from './LeavingHints.js';
import { RpcClient } from './RpcClient.js';
import { RpcServer } from './RpcServer.js';
import { SuspicionTable } from './SuspicionTable.js';
import { TrafficCounter } from './TrafficCounter.js';
import type { ResponseEnvelope, CallEnvelope, PeerTraffic } from './Types.js';

/** Limit of addresses of daemons whose `daemonJoined` is not replayed yet. */
const maximumLearnedAddresses = 64;

const clockSchema = zod.object({ wallMs: zod.number(), counter: zod.number() });
const callSchema = zod.object({
  caller: zod.string(),
  callee: zod.string().optional(),
  clock: clockSchema,
  body: zod.unknown(),
});
const responseSchema = zod.object({ callee: zod.string(), clock: clockSchema, body: zod.unknown() });

type Handler = (parameters: unknown, caller: common.Incarnation) => Promise<unknown>;

/** Response to a call by address. */
export interface AddressedResponse {
  readonly callee: common.Incarnation;
  readonly body: unknown;
}

/** The daemons of the cell according to the control topic, and calls to them. */
export class PeerGroup implements Peers, AsyncDisposable {
  public readonly hints = new LeavingHints();
  private readonly _suspicions = new SuspicionTable();
  private readonly _traffic = new TrafficCounter();
  private readonly _client = new RpcClient(this._traffic);
  private readonly _server = new RpcServer(this._traffic);
  private readonly _handlers = new Map<string, Handler>();
  private readonly _learnedAddresses = new Map<common.Incarnation, decisions.Address>();
  private readonly _membersChanged = new common.Emitter<undefined>();
  private readonly _leavingHints = new common.Emitter<readonly common.VmName[]>();
  private _daemons: decisions.ControlState['daemons'] = new Map();
  private _members: readonly PeerMember[];

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _self: common.Incarnation,
  ) {
    this._members = this._buildMembers();
  }

  public get members(): readonly PeerMember[] {
    return this._members;
  }

  public get suspicions(): SuspicionTable {
    return this._suspicions;
  }

  /** Bytes on the sockets between daemons since the start. */
  public get traffic(): PeerTraffic {
    return this._traffic.total;
  }

  /** Address at which peers reach this daemon. */
  public get address(): decisions.Address {
    const { peers, advertisedPeers } = this._context.settings.listen;
    return advertisedPeers ?? { host: peers.host, port: this._server.port };
  }

  public readonly onMembersChanged = (listener: () => void): common.Unsubscribe => this._membersChanged.event(listener);

  public readonly onLeavingHints = this._leavingHints.event;

  /** Starts listening. Rejects if the address cannot be bound. */
  public async listen(): Promise<void> {
    await this._server.listen(this._context.settings.listen.peers);
  }

  public setLeavingHints(vms: readonly common.VmName[]): void {
    this.hints.setOwn(vms);
  }

  /** Notifies the listeners of hints received from a peer. */
  public fireLeavingHints(): void {
    this._leavingHints.fire(this.hints.vms(this._context.now()));
  }

  /** Sets the daemons of a newly replayed state. */
  public setDaemons(daemons: decisions.ControlState['daemons']): void {
    if (daemons !== this._daemons) {
      this._daemons = daemons;
      this._suspicions.keepOnly(new Set([...daemons.keys(), ...this._learnedAddresses.keys()]));
      this.refresh();
    }
  }

  /** Rebuilds the list of members and notifies the listeners if it changed. */
  public refresh(): void {
    const members = this._buildMembers();
    const changed =
      members.length !== this._members.length ||
      members.some((member, index) => {
        const old = this._members[index];
        return old?.incarnation !== member.incarnation || old.suspected !== member.suspected;
      });
    if (changed) {
      this._members = members;
      this._membersChanged.fire(undefined);
    }
  }

  /** Stores the address of a daemon whose `daemonJoined` is not replayed yet. */
  public addLearnedAddress(incarnation: common.Incarnation, address: decisions.Address): void {
    if (this._daemons.has(incarnation)) {
      this._learnedAddresses.delete(incarnation);
      return;
    }
    this._learnedAddresses.delete(incarnation);
    this._learnedAddresses.set(incarnation, address);
    const oldest = this._learnedAddresses.keys().next().value;
    if (this._learnedAddresses.size > maximumLearnedAddresses && oldest !== undefined) {
      this._learnedAddresses.delete(oldest);
    }
  }

  /** Whether the address of an incarnation is known. */
  public hasAddress(incarnation: common.Incarnation): boolean {
    return this._addressOf(incarnation) !== undefined;
  }

  public handle(method: string, handler: Handler): void {
    this._handlers.set(method, handler);
    this._server.addMethod(method, (parameters) => this._serve(handler, parameters));
  }

  public async call(
    incarnation: common.Incarnation,
    method: string,
    parameters: unknown,
    timeoutMs: number,
  ): Promise<common.Outcome<unknown, PeerFailure>> {
    if (incarnation === this._self) {
      return this._callSelf(method, parameters);
    }
    const address = this._addressOf(incarnation);
    if (!address) {
      return common.fail({ kind: 'unreachable', message: `${incarnation} is not a member` });
    }
    const response = await this.callAddress(address, method, parameters, timeoutMs, incarnation);
    return response.ok ? common.succeed(response.value.body) : response;
  }

  /** Calls the daemon that listens at an address. With `expected`, the call fails for any other incarnation. */
  public async callAddress(
    address: decisions.Address,
    method: string,
    parameters: unknown,
    timeoutMs: number,
    expected?: common.Incarnation,
  ): Promise<common.Outcome<AddressedResponse, PeerFailure>> {
    const envelope: CallEnvelope = {
      caller: this._self,
      clock: this._context.clock.stamp(this._context.wallNow()),
      body: parameters,
      ...(expected === undefined ? {} : { callee: expected }),
    };
    const outcome = await this._client.call(address, method, { ...envelope }, timeoutMs);
    if (!outcome.ok) {
      return outcome;
    }
    const response = responseSchema.safeParse(outcome.value);
    if (!response.success) {
      return common.fail({ kind: 'error', message: `the answer to ${method} is malformed` });
    }
    const { callee, clock, body } = response.data;
    this._context.clock.receive(clock);
    this.recordContact(callee);
    if (expected !== undefined && callee !== expected) {
      // Two processes cannot listen on one port, so the expected incarnation is gone.
      return common.fail({ kind: 'refused', message: `${callee} has taken over the port of ${expected}` });
    }
    return common.succeed({ callee, body });
  }

  /** Records that the member responded or made a call, which withdraws a suspicion. */
  public recordContact(incarnation: common.Incarnation): void {
    const wasSuspected = this._suspicions.isSuspected(incarnation, this._context.now());
    this._suspicions.recordContact(incarnation, this._context.now());
    if (wasSuspected) {
      this.refresh();
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._client[Symbol.asyncDispose]();
    await this._server[Symbol.asyncDispose]();
  }

  private _addressOf(incarnation: common.Incarnation): decisions.Address | undefined {
    return this._daemons.get(incarnation)?.peers ?? this._learnedAddresses.get(incarnation);
  }

  private _buildMembers(): readonly PeerMember[] {
    const nowMs = this._context.now();
    const { name, failureDomain } = this._context.settings.daemon;
    const self = { incarnation: this._self, daemon: name, failureDomain, suspected: false, self: true };
    const others: PeerMember[] = [];
    for (const { incarnation, daemon, failureDomain, state } of this._daemons.values()) {
      if (state === 'joined' && incarnation !== this._self) {
        const suspected = this._suspicions.isSuspected(incarnation, nowMs);
        others.push({ incarnation, daemon, failureDomain, suspected, self: false });
      }
    }
    return [self, ...others];
  }

  private async _serve(handler: Handler, parameters: unknown): Promise<ResponseEnvelope> {
    const { caller, callee, clock, body } = callSchema.parse(parameters);
    this._context.clock.receive(clock);
    this.recordContact(caller);
    const isForSelf = callee === undefined || callee === this._self;
    const response = isForSelf ? await handler(body, caller) : null;
    return { callee: this._self, clock: this._context.clock.stamp(this._context.wallNow()), body: response ?? null };
  }

  private async _callSelf(method: string, parameters: unknown): Promise<common.Outcome<unknown, PeerFailure>> {
    const handler = this._handlers.get(method);
    if (!handler) {
      return common.fail({ kind: 'error', message: `method ${method} is not known` });
    }
    try {
      return common.succeed(await handler(parameters, this._self));
    } catch (error) {
      return common.fail({ kind: 'error', message: String(error) });
    }
  }
}
