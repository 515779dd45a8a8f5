import type * as http from 'node:http';
import type { CallerRequest } from '../contracts/RequestCodec.js';
import type { Tenant } from '../Types.js';
import { AdmissionRun } from './admission/AdmissionRun.js';
import type { AdmissionStep } from './admission/AdmissionStep.js';
import { type AdmittedRequest, admitRequest, type LocalResponse } from './admitRequest.js';
import { bodyRefusalResponse } from './bodyRefusalResponse.js';
import type { Deadline } from './Deadline.js';
import type { RequestStage } from './OpenRequests.js';
import { readBody } from './readBody.js';
import { startWaitMs } from './StartWait.js';
import { stopRefusal } from './stopRefusal.js';
import type { ExchangeContext } from './Types.js';

/** Receives the results of the admission of a request. There are none after `stop`. */
export interface RequestAdmissionListener {
  /** The route of the request is known. */
  onRoute(request: AdmittedRequest): void;
  /** The request has passed the steps before its body, such as the check of its key. */
  onAuthorized(): void;
  /** The request may be dispatched. */
  onAdmitted(body: Buffer): void;
  /** The request is rejected. What is known of its headers is included for the log. */
  onRejected(response: LocalResponse, callerRequest: CallerRequest | undefined): void;
}

/** Takes a request from its arrival until it may be dispatched: configuration, route, admission steps and body. */
export class RequestAdmission {
  private _run: AdmissionRun | undefined;
  private _stopStartWait: () => void = () => undefined;
  private _isStopped = false;

  public constructor(
    private readonly _context: ExchangeContext,
    private readonly _request: http.IncomingMessage,
    private readonly _response: http.ServerResponse,
    private readonly _deadline: Deadline,
    private readonly _startedMs: number,
    private readonly _listener: RequestAdmissionListener,
  ) {}

  /** Tenant of the request, once a step has found it. */
  public get tenant(): Tenant | undefined {
    return this._run?.tenant;
  }

  /** Stage of a request that is not admitted yet. */
  public get stage(): RequestStage {
    return this._run === undefined ? 'tables' : (this._run.stage ?? 'body');
  }

  /** Replaces the tenant, after a new configuration has changed it. */
  public replaceTenant(tenant: Tenant): void {
    this._run?.replaceTenant(tenant);
  }

  /** Begins once the tables of this daemon have been read. */
  public begin(): void {
    const { startWait, codec } = this._context;
    if (startWait.isReady) {
      this._findRoute();
      return;
    }
    const limitMs = startWaitMs(codec.readRequest(this._request)?.deadlineMs);
    this._stopStartWait = startWait.wait(limitMs, () => {
      this._findRoute();
    });
  }

  public stop(): void {
    this._isStopped = true;
    this._stopStartWait();
    this._run?.stop();
  }

  private _findRoute(): void {
    const admission = admitRequest(this._request, this._context.codec, this._context.routes(), Math.random());
    if (admission.kind === 'rejected') {
      this._listener.onRejected(admission.response, admission.callerRequest);
      return;
    }
    const { callerRequest, route, service } = admission.request;
    this._listener.onRoute(admission.request);
    this._deadline.start(this._startedMs, callerRequest.deadlineMs, route.timeoutMs);
    const nowMs = this._context.clock.now().steadyMs;
    if (this._deadline.leftMs(nowMs) > this._context.longestRequestMs(nowMs)) {
      this._listener.onRejected(stopRefusal, callerRequest);
      return;
    }
    const timeLeftMs = (atMs: number): number => this._deadline.leftMs(atMs);
    const run = new AdmissionRun({ callerRequest, route, service, timeLeftMs }, this._context.clock);
    this._run = run;
    this._runSteps(run, this._context.admission.beforeBody, callerRequest, () => {
      this._context.retryBudgets.recordRequest(service, this._startedMs);
      this._listener.onAuthorized();
      this._readBody(run, callerRequest);
    });
  }

  private _readBody(run: AdmissionRun, callerRequest: CallerRequest): void {
    const maximumBytes = this._context.routes()?.configuration.callerLimits.maximumBodyBytes ?? 0;
    readBody(this._request, this._response, { maximumBytes, memory: this._context.callerMemory }, (outcome) => {
      if (this._isStopped) {
        return;
      }
      if (typeof outcome === 'string') {
        const response = bodyRefusalResponse(outcome);
        if (response !== undefined) {
          this._listener.onRejected(response, callerRequest);
        }
        return;
      }
      this._runSteps(run, this._context.admission.beforeDispatch, callerRequest, () => {
        this._listener.onAdmitted(outcome);
      });
    });
  }

  private _runSteps(
    run: AdmissionRun,
    steps: readonly AdmissionStep[],
    callerRequest: CallerRequest,
    onPassed: () => void,
  ): void {
    run.start(steps, {
      onPassed,
      onRejected: (response) => {
        this._listener.onRejected(response, callerRequest);
      },
    });
  }
}
