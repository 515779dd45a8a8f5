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

/** Admission step for the quotas of tenants. A request passes, waits for the leader's answer, or is refused with 429. */
export class QuotaStep extends AdmissionStep {
  /** Requests that wait. */
  private readonly _tickets = new Map<StepRequest, QuotaTicket>();

  public constructor(private readonly _quotas: QuotaDecider) {
    super();
  }

  public override decide(request: StepRequest, now: Instant): StepDecision {
    const { tenant } = request;
    const units = unitsOf(request, tenant?.quota);
    if (tenant?.quota === undefined || units === 0) {
      return { kind: 'pass' };
    }
    let ticket = this._tickets.get(request);
    if (ticket === undefined) {
      ticket = new QuotaTicket(units, (nowMs) => request.timeLeftMs(nowMs));
      this._quotas.enter({ name: tenant.name, quota: tenant.quota }, ticket, now);
    }
    if (ticket.result === undefined) {
      this._tickets.set(request, ticket);
      ticket.onDone = () => {
        request.recheck();
      };
      return { kind: 'wait' };
    }
    this._tickets.delete(request);
    return decisionOf(ticket.result);
  }

  public override withdraw(request: StepRequest): void {
    const ticket = this._tickets.get(request);
    this._tickets.delete(request);
    if (ticket !== undefined && request.tenant !== undefined) {
      ticket.onDone = undefined;
      this._quotas.withdraw(request.tenant.name, ticket);
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
