/** The service whose streams are simulated. */
export const service = 's';
/** Time for which a version may have streams that their callers still take up, milliseconds. */
export const lifetimeMs = 12_000;
/** Longest time that a request waits for the version of its stream, milliseconds. */
export const longestWaitMs = 2_000;
/** Largest number of attempts that take one stream up. */
export const maximumTakeUps = 3;
/** Time limit of one attempt, milliseconds. */
export const attemptMs = lifetimeMs / (maximumTakeUps + 1);
