import {
  decideSend,
  decideWait,
  type SendDecision,
  type SendView,
  type WaitDecision,
  type WaitView,
} from '@banyanfold/decisions';
import type {GatewayContext} from '../context.js';
import type {InferenceRequest, RoutePolicy} from '../types.js';

export interface AdmissionChecksOptions {
  context: GatewayContext;
  request: InferenceRequest;
  route: RoutePolicy;
  startedMs: number;
  deadlineMs: number;
  /** When the caller disconnects unless a response has started. */
  responseStartDeadlineMs: number;
}

/** A refusal because of a runner's queue, with the view that led to it. */
export interface QueueRefusal {
  view: SendView;
  decision: Extract<SendDecision, {kind: 'refuse'}>;
}

/** A refusal because of a missing copy, with the view that led to it. */
export interface CopyRefusal {
  view: WaitView;
  decision: Extract<WaitDecision, {kind: 'refuse'}>;
}

/** Decides whether this entry refuses a request before any runner has it. */
export class AdmissionChecks {
  constructor(private readonly options: AdmissionChecksOptions) {}

  /**
   * Whether the request could outlast this process, which is draining. A
   * balancer with few entries left sends callers here until the end. A stream
   * that started now could be cut off, so its caller should try another entry
   * at once. Requests whose deadline is before the end of the process are still
   * served.
   */
  get outlastsDrain(): boolean {
    const drainDeadlineMs = this.options.context.drainDeadlineMs();
    return (
      drainDeadlineMs !== undefined && this.options.deadlineMs > drainDeadlineMs
    );
  }

  /** Refuses a request that would queue until its caller disconnects. */
  checkQueue(runnerId: string): QueueRefusal | undefined {
    const {context, request, route, startedMs} = this.options;
    if (request.model === undefined) return undefined;
    const view = {
      workAhead: context.runnerStates.workAhead(runnerId, route.priority),
      workPerSecond: context.runnerStates.workPerSecond(runnerId),
      speed: context.capacities.speed(runnerId),
      openRequests: context.runnerStates.openRequests(runnerId),
      slots: this.slotsOf(runnerId),
      ...this.remainingTimes(),
      targetLeftMs: startedMs + route.targetMs - context.clock.nowMs(),
    };
    const decision = decideSend(view);
    return decision.kind === 'refuse' ? {view, decision} : undefined;
  }

  /** Refuses a request whose copy would be ready only after its caller left. */
  checkCopyWait(): CopyRefusal | undefined {
    const {context, request} = this.options;
    if (request.model === undefined) return undefined;
    const copyInMs = context.heldCopies.copyDelayMs(request.model);
    const view = {...this.remainingTimes(), copyInMs};
    const decision = decideWait(view);
    return decision.kind === 'refuse' ? {view, decision} : undefined;
  }

  private slotsOf(runnerId: string): number | undefined {
    const {view} = this.options.context;
    const service = view.runner(runnerId)?.service;
    return view.currentConfig?.services.get(service ?? '')?.engine?.slots;
  }

  private remainingTimes(): {leftMs: number; deadlineLeftMs: number} {
    const {context, deadlineMs, responseStartDeadlineMs} = this.options;
    const nowMs = context.clock.nowMs();
    return {
      leftMs: responseStartDeadlineMs - nowMs,
      deadlineLeftMs: deadlineMs - nowMs,
    };
  }
}
