import { AdmissionStep } from '../forwarding/admission/AdmissionStep.js';
import type { StepDecision, StepRequest } from '../forwarding/admission/Types.js';
import type { Instant, TenantQuota } from '../Types.js';
import type { LimitedTenant } from './DaemonQuotas.js';
import { QuotaTicket, type TicketResult } from './QuotaTicket.js';

/** Decides on requests of tenants with quotas. */
export interface QuotaDecider {
  /** Decides on a request; its ticket has a result unless it has to wait. */
  enter(tenant: LimitedTenant, ticket: QuotaTicket, now: Instant): void;
  withdraw(tenant: string, ticket: QuotaTicket): void;
}

/** A request that waits for quota of a tenant. */
interface WaitingTicket {
  readonly ticket: QuotaTicket;
  readonly tenantName: string;
}

/** Admission step for the quotas of tenants. A request passes, waits for the leader's answer, or is refused with 429. */
export class QuotaStep extends AdmissionStep {
  public override readonly stage = 'quota';
  /** Requests that wait, with the tenant at that time. A new configuration may change the tenant or its quota. */
  private readonly _tickets = new Map<StepRequest, WaitingTicket>();

  public constructor(private readonly _quotas: QuotaDecider) {
    super();
  }

  public override decide(request: StepRequest, now: Instant): StepDecision {
    const waiting = this._tickets.get(request);
    if (waiting?.ticket.result !== undefined) {
      this._tickets.delete(request);
      return decisionOf(waiting.ticket.result);
    }
    if (waiting !== undefined) {
      return { kind: 'wait' };
    }
    const { tenant } = request;
    const units = unitsOf(request, tenant?.quota);
    if (tenant?.quota === undefined || units === 0) {
      return { kind: 'pass' };
    }
    const ticket = new QuotaTicket(units, (nowMs) => request.timeLeftMs(nowMs));
    this._quotas.enter({ name: tenant.name, quota: tenant.quota }, ticket, now);
    if (ticket.result !== undefined) {
      return decisionOf(ticket.result);
    }
    this._tickets.set(request, { ticket, tenantName: tenant.name });
    ticket.onDone = () => {
      request.recheck();
    };
    return { kind: 'wait' };
  }

  public override withdraw(request: StepRequest): void {
    const waiting = this._tickets.get(request);
    this._tickets.delete(request);
    if (waiting !== undefined) {
      waiting.ticket.onDone = undefined;
      this._quotas.withdraw(waiting.tenantName, waiting.ticket);
    }
  }
}

function unitsOf({ callerRequest }: StepRequest, quota: TenantQuota | undefined): number {
  return quota?.unit === 'tokens' ? (callerRequest.tokens ?? quota.plainTokens) : 1;
}

function decisionOf(result: TicketResult): StepDecision {
  if (result.kind === 'granted') {
    return { kind: 'pass' };
  }
  const { reason, retryAfterMs } = result;
  const response = { status: 429, outcome: 'refused', reason } as const;
  return { kind: 'reject', response: { ...response, ...(retryAfterMs !== undefined && { retryAfterMs }) } };
}
