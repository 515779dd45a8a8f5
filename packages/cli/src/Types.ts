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

/** Reason why a request to the operators' interface has no usable response. */
export interface ClientFailure {
  readonly kind: 'error' | 'refused' | 'unreachable' | 'unconfirmed';
  readonly message: string;
  /** Body of the response, if there was one. */
  readonly body?: unknown;
}

/** Addresses of the operators' interface and the key for authentication. */
export interface ClientSettings {
  /** Addresses of daemons, `ip:port`; if one cannot be reached, the next one is tried. */
  readonly addresses: readonly string[];
  readonly key: string;
}

/** An edit to submit. */
export interface EditRequest {
  readonly key: string;
  /** JSON value; null removes the key. */
  readonly value: unknown;
  readonly reason: string;
  /** Version that the edit is based on; the version in force if absent. */
  readonly basedOn?: number | null;
}
