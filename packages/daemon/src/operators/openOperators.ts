import * as common from '@jayhaven/common';
import type { DaemonContext } from '../Types.js';
import { AppliedTimes } from './AppliedTimes.js';
import { ControlEvents } from './ControlEvents.js';
import { EditService } from './EditService.js';
import { MemberService } from './MemberService.js';
import { OperatorServer } from './OperatorServer.js';
import { createRoutes } from './routes.js';
import type { OperatorParts, OperatorsPart } from './Types.js';

/** Opens the operators' interface on `settings.listen.operators` and serves `status.read` and `timeline.read`. */
export async function openOperators(context: DaemonContext, parts: OperatorParts): Promise<OperatorsPart> {
  const { settings } = context;
  const registry = new common.DisposalRegistry();
  const { log, incarnation } = parts.controlPlane;
  const times = new AppliedTimes(log, context.wallNow);
  const events = new ControlEvents(log, incarnation, context.timeline);
  registry.register(() => {
    times.dispose();
    events.dispose();
  });
  const edits = new EditService(log, context.timeline, settings.partners, settings.platform.logTimeoutMs);
  new MemberService(context, parts, times, edits).register();
  const server = new OperatorServer(context, createRoutes(context, parts, edits));
  const listener = registry.register(await common.HttpListener.open(settings.listen.operators, server.handle));
  const { port } = listener;
  context.logger.child('operators').info('listening', { host: settings.listen.operators.host, port });
  return { port, [Symbol.asyncDispose]: () => registry[Symbol.asyncDispose]() };
}
