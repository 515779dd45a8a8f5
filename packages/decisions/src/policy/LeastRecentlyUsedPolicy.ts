import { KeepAlivePolicy } from './KeepAlivePolicy.js';

/** Keeps models loaded until memory is needed; the probability of use depends on recency alone. */
export class LeastRecentlyUsedPolicy extends KeepAlivePolicy {
  public override readonly name = 'leastRecentlyUsed';

  public override keepAliveMs(): number {
    return Infinity;
  }

  public override prewarmAfterMs(): undefined {
    return undefined;
  }
}
