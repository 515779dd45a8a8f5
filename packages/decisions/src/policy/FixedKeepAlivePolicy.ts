import type { ModelSettings } from '../Types.js';
import { KeepAlivePolicy } from './KeepAlivePolicy.js';

/** Keeps an idle model loaded for the configured time. */
export class FixedKeepAlivePolicy extends KeepAlivePolicy {
  public override readonly name = 'fixed';

  public override keepAliveMs(settings: ModelSettings): number {
    return settings.keepAliveMs;
  }

  public override prewarmAfterMs(): undefined {
    return undefined;
  }
}
