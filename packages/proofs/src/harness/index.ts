/**
 * Harness for tests with real processes. A test starts a `Cluster`, calls it with `cluster.callers`, and asserts that
 * `cluster.observer.violations(...)` is empty; `cluster.errorOutput()` belongs in the message of a failed assertion.
 */
export type * from './Types.js';
export { CallerClient, type CallResult, type CompletionCall, type ServiceCall } from './CallerClient.js';
export { Cluster, type Target } from './Cluster.js';
export { findOwner } from './findOwner.js';
export { DaemonHandle, workspaceDaemon, type DaemonIdentity, type DaemonProxies } from './DaemonHandle.js';
export { freePort } from '@jayhaven/standins';
export { delay, ManagedProcess, waitUntil } from './ManagedProcess.js';
export { Observer, type Expectations } from './Observer.js';
export { OperatorClient, type ConfigurationValue, type EditAnswer } from './OperatorClient.js';
export { bearerKey } from './settingsFile.js';
export { StandInHandle } from './StandInHandle.js';
