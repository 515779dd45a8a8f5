import { KeepAlivePolicy } from './KeepAlivePolicy.js';

/** Keeps models until memory is needed; the chance of use follows from recency alone. */
export class LeastRecentlyUsedPolicy extends KeepAlivePolicy {
  public override readonly name = 'leastRecentlyUsed';

  public override keepAliveMs(): number {
    return Infinity;
  }

  public override prewarmAfterMs(): undefined {
    return undefined;
  }
}
