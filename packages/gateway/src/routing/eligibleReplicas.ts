import type { StreamOrigins } from '../streams/Types.js';
import type { Replica, Route } from '../Types.js';

/** What decides which software versions can serve a request. */
export interface VersionDemand {
  readonly service: string;
  readonly route: Route;
  /** Software version that began the stream; undefined if the request begins anew. */
  readonly requiredVersion: string | undefined;
}

/** The replicas of the software versions that can serve a request: of one if it goes on with a stream. */
export function eligibleReplicas(
  usable: readonly Replica[],
  { service, route, requiredVersion }: VersionDemand,
  streams: Pick<StreamOrigins, 'mayBegin'>,
): readonly Replica[] {
  if (requiredVersion !== undefined) {
    return usable.filter(({ softwareVersion }) => softwareVersion === requiredVersion);
  }
  return route.kind === 'stream' && route.resumable
    ? usable.filter(({ softwareVersion }) => streams.mayBegin(service, softwareVersion))
    : usable;
}
