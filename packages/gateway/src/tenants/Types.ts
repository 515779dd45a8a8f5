/** What happens to running requests whose key a new configuration removed. */
export interface RevocationSettings {
  /** True if their streams are ended; otherwise they continue. */
  readonly endsStreams: boolean;
  /** Time within which the streams end after the configuration has taken effect, milliseconds. */
  readonly withinMs: number;
}
