/** All commands of `jayhaven` by name. */
import { ApplyCommand } from './ApplyCommand.js';
import { ApproveCommand } from './ApproveCommand.js';
import { CheckCommand } from './CheckCommand.js';
import { DrainCommand } from './DrainCommand.js';
import { EditCommand } from './EditCommand.js';
import { ExplainCommand } from './ExplainCommand.js';
import { HistoryCommand } from './HistoryCommand.js';
import { OwnersCommand } from './OwnersCommand.js';
import { QueuesCommand } from './QueuesCommand.js';
import { RefusalsCommand } from './RefusalsCommand.js';
import { ReplicasCommand } from './ReplicasCommand.js';
import { ShowCommand } from './ShowCommand.js';
import { StatusCommand } from './StatusCommand.js';
import { TimelineCommand } from './TimelineCommand.js';
import { UnsetCommand } from './UnsetCommand.js';
import { VmsCommand } from './VmsCommand.js';

export const commands = {
  apply: ApplyCommand,
  approve: ApproveCommand,
  check: CheckCommand,
  drain: DrainCommand,
  edit: EditCommand,
  explain: ExplainCommand,
  history: HistoryCommand,
  owners: OwnersCommand,
  queues: QueuesCommand,
  refusals: RefusalsCommand,
  replicas: ReplicasCommand,
  show: ShowCommand,
  status: StatusCommand,
  timeline: TimelineCommand,
  unset: UnsetCommand,
  vms: VmsCommand,
};
