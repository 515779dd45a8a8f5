import type { ControlPlane, DaemonContext, FrontPart, LoadView, OwnerClient } from '../Types.js';
import { Front } from './Front.js';

/** Opens the interface for callers. */
export async function openFront(
  context: DaemonContext,
  controlPlane: ControlPlane,
  client: OwnerClient,
  loads: LoadView,
): Promise<FrontPart> {
  const front = new Front({ ...context, logger: context.logger.child('front') }, controlPlane, client, loads);
  await front.listen();
  return front;
}
