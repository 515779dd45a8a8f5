import * as common from '@jayhaven/common';
import * as perfHooks from 'node:perf_hooks';
import { openControlPlane } from './ControlPlane.js';
import { openFront } from './front/index.js';
import { openOperators } from './operators/index.js';
import { openOwner } from './owner/index.js';
import { Timeline } from './timeline/Timeline.js';
import type * as types from './Types.js';

/** A running daemon. */
export interface Daemon {
  readonly incarnation: common.Incarnation;
  /** Fires when an operator asks for a graceful stop. */
  readonly onStopRequested: (listener: () => void) => common.Unsubscribe;
  /** Graceful shutdown: finishes requests, hands over ownership, leaves the group. */
  stop(): Promise<{ readonly unfinished: number }>;
}

/** Opens every part of the daemon; closes what is open if a part cannot be opened. */
export async function openDaemon(settings: types.DaemonSettings, logger: common.Logger): Promise<Daemon> {
  const registry = new common.DisposalRegistry();
  try {
    return await openParts(settings, logger, registry);
  } catch (error) {
    await registry[Symbol.asyncDispose]();
    throw error;
  }
}

async function openParts(
  settings: types.DaemonSettings,
  logger: common.Logger,
  registry: common.DisposalRegistry,
): Promise<Daemon> {
  const clock = new common.HybridClock();
  const wallNow = (): number => Date.now();
  const timeline = new Timeline(settings.daemon.name, clock, wallNow);
  const context: types.DaemonContext = {
    settings,
    logger,
    timeline,
    clock,
    now: () => perfHooks.performance.now(),
    wallNow,
  };
  const stopRequested = new common.Emitter<undefined>();
  const controlPlane = registry.register(await openControlPlane(context));
  const owner = registry.register(await openOwner(context, controlPlane));
  controlPlane.onRemoved?.(() => {
    // The group settled this incarnation's orders, and an incarnation never joins again.
    logger.child('membership').error('Recorded as gone; stopping so that a new incarnation can start.');
    stopRequested.fire(undefined);
  });
  const front = registry.register(await openFront(context, controlPlane, owner.client, owner.loads));
  registry.register(
    await openOperators(context, {
      controlPlane,
      owner,
      front,
      timeline,
      drain: () => {
        stopRequested.fire(undefined);
      },
    }),
  );
  return {
    incarnation: controlPlane.incarnation,
    onStopRequested: (listener) => stopRequested.event(listener),
    stop: async () => {
      logger.child('stop').info('Draining requests.');
      const drained = front.drain();
      // Handing over at once lets the next owner serve the requests that still wait here.
      await owner.release();
      const { unfinished } = await drained;
      await controlPlane.leave();
      await registry[Symbol.asyncDispose]();
      return { unfinished };
    },
  };
}
