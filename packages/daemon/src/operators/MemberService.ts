import type { DaemonContext } from '../Types.js';
import type { AppliedTimes } from './AppliedTimes.js';
import type { EditService } from './EditService.js';
import { statusParameters, timelineParameters } from './schemas.js';
import type { DaemonStatus, OperatorDependencies, TimelineResponse } from './Types.js';

/** Serves `status.read` and `timeline.read` to the other daemons. */
export class MemberService {
  public constructor(
    private readonly _context: DaemonContext,
    private readonly _dependencies: OperatorDependencies,
    private readonly _times: AppliedTimes,
    private readonly _edits: EditService,
  ) {}

  /** Registers both methods. */
  public register(): void {
    const { peers } = this._dependencies.controlPlane;
    peers.handle('status.read', (parameters) =>
      Promise.resolve(this.status(statusParameters.parse(parameters).versions)),
    );
    peers.handle('timeline.read', (parameters) => Promise.resolve(this.timeline(parameters)));
  }

  /** State of this daemon, with the times of the requested configuration versions. */
  public status(versions: readonly number[]): DaemonStatus {
    const { settings } = this._context;
    const { controlPlane, owner, front } = this._dependencies;
    return {
      daemon: settings.daemon.name,
      incarnation: controlPlane.incarnation,
      vm: settings.daemon.vm,
      failureDomain: settings.daemon.failureDomain,
      cell: settings.daemon.cell,
      startedAtMs: this._times.startedAtMs,
      lag: controlPlane.log.lag,
      appliedAtMs: this._times.appliedAtMs,
      owner: owner.status(),
      front: front.status(),
      rejectedRecords: this._times.rejectedRecords,
      refusedEdits: this._edits.refusals,
      versionTimes: this._times.versionTimes(versions),
    };
  }

  /** The newest matching events of this daemon. */
  public timeline(parameters: unknown): TimelineResponse {
    const { request, model, replica, since, limit } = timelineParameters.parse(parameters);
    const events = this._dependencies.timeline.read({
      ...(request === undefined ? {} : { request }),
      ...(model === undefined ? {} : { model }),
      ...(replica === undefined ? {} : { replica }),
      ...(since === undefined ? {} : { since }),
    });
    return {
      daemon: this._context.settings.daemon.name,
      events: events.slice(-limit),
      truncated: events.length > limit,
    };
  }
}
