/** Exit codes of every command. */
export const exitCodes = {
  ok: 0,
  error: 1,
  usage: 2,
  /** A rule of the system refused the change; nothing was changed. */
  refused: 3,
  /** No daemon, or no log, could be reached; nothing was changed. */
  unreachable: 4,
  /** The change may still take effect. */
  unconfirmed: 5,
} as const;

/** Why a call to the operators' interface has no usable answer. */
export interface ClientFailure {
  readonly kind: 'error' | 'refused' | 'unreachable' | 'unconfirmed';
  readonly message: string;
  /** Body of the answer, if there was one. */
  readonly body?: unknown;
}

/** Where the operators' interface is and how to authenticate. */
export interface ClientSettings {
  /** Addresses of daemons, `ip:port`; the next one is tried when one cannot be reached. */
  readonly addresses: readonly string[];
  readonly key: string;
}

/** An edit to submit. */
export interface EditRequest {
  readonly key: string;
  /** JSON value; null removes the key. */
  readonly value: unknown;
  readonly reason: string;
  /** Version to base the edit on; the one in force if absent. */
  readonly basedOn?: number | null;
}
