import { KeepAlivePolicy } from './KeepAlivePolicy.js';

/** Keeps every model loaded, even if another model needs the memory. */
export class NeverUnloadPolicy extends KeepAlivePolicy {
  public override readonly name = 'neverUnload';

  public override keepAliveMs(): number {
    return Infinity;
  }

  public override useProbability(): number {
    return Infinity;
  }

  public override prewarmAfterMs(): undefined {
    return undefined;
  }
}
