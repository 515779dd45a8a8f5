/** Operations of the operators' interface. */
import * as z from 'zod';
import { mergeEvents } from '../timeline/index.js';
import type { DaemonContext } from '../Types.js';
import { errorAnswer, okAnswer } from './answers.js';
import { readCluster } from './ClusterReader.js';
import type { EditService } from './EditService.js';
import * as schemas from './schemas.js';
import type { Answer, ClusterAnswers, DaemonStatus, OperatorParts, OperatorRequest, Route } from './Types.js';
import * as views from './views.js';

const defaultHistoryLimit = 200;

/** Makes the routes of a daemon. */
export function createRoutes(context: DaemonContext, parts: OperatorParts, edits: EditService): readonly Route[] {
  const { log, peers } = parts.controlPlane;
  const readStatus = (versions: readonly number[] = []): Promise<ClusterAnswers<DaemonStatus>> =>
    readCluster(peers, 'status.read', { versions }, schemas.daemonStatus);
  return [
    get('/v1/status', schemas.noQuery, async () => {
      const cluster = await readStatus();
      return { answeredBy: context.settings.daemon.name, daemons: cluster.answers, silent: cluster.silent };
    }),
    get('/v1/configuration', schemas.configurationQuery, async ({ key }) => showConfiguration(parts, readStatus, key)),
    get('/v1/history', schemas.historyQuery, ({ key, rule, limit = defaultHistoryLimit }) => ({
      history: readHistory(parts, key, rule).slice(-limit),
    })),
    get('/v1/refusals', schemas.historyQuery, async ({ key, rule, limit = defaultHistoryLimit }) => {
      const refusals = readHistory(parts, key, rule).filter((entry) => entry.state === 'rejected');
      const cluster = await readStatus();
      const daemons = cluster.answers.map(({ daemon, rejectedRecords, refusedEdits }) => ({
        daemon,
        rejectedRecords,
        refusedEdits,
      }));
      return { byRule: countByRule(refusals), refusals: refusals.slice(-limit), daemons, silent: cluster.silent };
    }),
    get('/v1/replicas', schemas.noQuery, () => ({
      appliedOffset: log.state.appliedOffset,
      targets: views.viewTargets(log.state),
    })),
    get('/v1/vms', schemas.noQuery, () => ({ vms: views.viewVms(log.state) })),
    get('/v1/queues', schemas.noQuery, async () => {
      const cluster = await readStatus();
      const waiting = cluster.answers.flatMap(({ daemon, front }) =>
        front.waiting.map((entry) => ({ daemon, ...entry })),
      );
      const loads = cluster.answers.flatMap(({ daemon, owner }) =>
        owner.queuedLoads.map((entry) => ({ daemon, ...entry })),
      );
      return { waiting, loads, silent: cluster.silent };
    }),
    get('/v1/owners', schemas.noQuery, async () => {
      const cluster = await readStatus();
      return { cells: views.viewOwners(log.state, cluster), silent: cluster.silent };
    }),
    get('/v1/timeline', schemas.timelineQuery, async (query) => {
      const fairShare = Math.floor(schemas.maximumEventsPerAnswer / Math.max(1, peers.members.length));
      const limit = Math.max(1, Math.min(schemas.maximumEventsPerDaemon, fairShare));
      const cluster = await readCluster(peers, 'timeline.read', { ...query, limit }, schemas.timelineAnswer);
      return {
        events: mergeEvents(cluster.answers.map((answer) => answer.events)),
        truncated: cluster.answers.filter((answer) => answer.truncated).map((answer) => answer.daemon),
        silent: cluster.silent,
      };
    }),
    post('/v1/edits', schemas.editBody, ({ operator }, body) => edits.edit(operator, body)),
    post('/v1/approvals', schemas.approvalBody, ({ operator }, body) => edits.approve(operator, body)),
    post('/v1/drain', schemas.drainBody, ({ operator }, { reason }) => startDrain(context, parts, operator, reason)),
  ];
}

function get<Query>(path: string, schema: z.ZodType<Query>, read: (query: Query) => unknown): Route {
  return {
    method: 'GET',
    path,
    run: async (request) => {
      const query = schema.safeParse(request.query);
      return query.success
        ? okAnswer(await read(query.data))
        : errorAnswer(400, 'invalid_query', describeIssues(query.error));
    },
  };
}

function post<Body>(
  path: string,
  schema: z.ZodType<Body>,
  run: (request: OperatorRequest, body: Body) => Answer | Promise<Answer>,
): Route {
  return {
    method: 'POST',
    path,
    run: (request) => {
      const body = schema.safeParse(request.body);
      return body.success ? run(request, body.data) : errorAnswer(422, 'invalid_body', describeIssues(body.error));
    },
  };
}

function describeIssues(error: z.ZodError): string {
  return z
    .prettifyError(error)
    .replace(/✖ /g, '')
    .replace(/\s*\n\s*/g, ' ');
}

async function showConfiguration(
  parts: OperatorParts,
  readStatus: (versions: readonly number[]) => Promise<ClusterAnswers<DaemonStatus>>,
  key: string | undefined,
): Promise<unknown> {
  const { state } = parts.controlPlane.log;
  const entry = key === undefined ? undefined : state.configuration.get(key);
  const entries = key === undefined ? [...state.configuration.values()] : entry ? [entry] : [];
  const cluster = await readStatus(entry ? [entry.version] : []);
  return {
    appliedOffset: state.appliedOffset,
    keys: entries.map(views.viewConfigurationEntry),
    pending: views.viewPendingEdits(state).filter((edit) => key === undefined || edit.key === key),
    daemons: views.viewAppliedOffsets(cluster, entry?.version),
  };
}

type HistoryView = ReturnType<typeof views.viewHistoryEntry>;

function readHistory(parts: OperatorParts, key: string | undefined, rule: string | undefined): readonly HistoryView[] {
  return parts.controlPlane.log.state.history
    .filter((entry) => (key === undefined || entry.key === key) && (rule === undefined || entry.rejectedBy === rule))
    .map(views.viewHistoryEntry);
}

function countByRule(refusals: readonly HistoryView[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { rejectedBy } of refusals) {
    counts[String(rejectedBy)] = (counts[String(rejectedBy)] ?? 0) + 1;
  }
  return counts;
}

function startDrain(
  context: DaemonContext,
  parts: OperatorParts,
  operator: OperatorRequest['operator'],
  reason: string,
): Answer {
  const daemon = context.settings.daemon.name;
  context.logger.child('operators').info('drain requested', { operator: operator.name, reason });
  context.timeline.record({ part: 'operators', event: 'drainRequested', detail: { operator: operator.name, reason } });
  parts.drain();
  return { status: 202, body: { state: 'draining', daemon } };
}
