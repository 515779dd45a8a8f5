import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';

/** Parameters of every call between daemons. */
export interface CallEnvelope {
  readonly caller: common.Incarnation;
  /** The expected receiver; absent if the caller knows only an address. */
  readonly callee?: common.Incarnation;
  readonly clock: common.HybridTime;
  readonly body: unknown;
}

/** Result of every call between daemons. */
export interface ResponseEnvelope {
  readonly callee: common.Incarnation;
  readonly clock: common.HybridTime;
  readonly body: unknown;
}

/** A missed or received response that is relayed; `ageMs` is the time since then. */
export interface RelayedContact {
  readonly incarnation: common.Incarnation;
  readonly ageMs: number;
}

/** A leaving VM that is relayed; `ageMs` is the time since its origin confirmed it. */
export interface RelayedHint {
  readonly vm: common.VmName;
  readonly ageMs: number;
}

/** Content of a heartbeat and of its response. Empty fields are omitted, because a heartbeat is sent every second. */
export interface HeartbeatBody {
  /** Offset of the last applied record of the control topic. */
  readonly appliedOffset: number;
  /** The member that is known to have replayed furthest, with its offset. */
  readonly furthest?: { readonly incarnation: common.Incarnation; readonly offset: number } | undefined;
  readonly leaving?: readonly RelayedHint[] | undefined;
  readonly suspected?: readonly RelayedContact[] | undefined;
  /** Members that were suspected and have responded since. */
  readonly answering?: readonly RelayedContact[] | undefined;
  /** Address of the sender, at which it can be called before its `daemonJoined` is replayed. */
  readonly address?: decisions.Address | undefined;
}

/** Bytes on the sockets between daemons. */
export interface PeerTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}
