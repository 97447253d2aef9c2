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

export interface OwnRefusalsOptions {
  context: GatewayContext;
  request: InferenceRequest;
  route: RoutePolicy;
  startedMs: number;
  deadlineMs: number;
  /** When its caller leaves unless an answer has begun. */
  leavesMs: number;
}

/** A refusal by the queue of a runner, with what decided it. */
export interface QueueRefusal {
  view: SendView;
  decision: Extract<SendDecision, {kind: 'refuse'}>;
}

/** A refusal for want of a copy, likewise. */
export interface CopyRefusal {
  view: WaitView;
  decision: Extract<WaitDecision, {kind: 'refuse'}>;
}

/** What this process refuses by itself, for a request that no runner has. */
export class OwnRefusals {
  constructor(private readonly options: OwnRefusalsOptions) {}

  /**
   * A balancer with few entries left sends callers here to the end. A stream
   * that begins when this process is about to go would be cut off half-way;
   * its caller loses less by asking another entry at once. What ends in any
   * case before the process does is still served.
   */
  get isTooLate(): boolean {
    const cutOffMs = this.options.context.cutOffMs();
    return cutOffMs !== undefined && this.options.deadlineMs > cutOffMs;
  }

  /** Of what a full queue would hold until its caller gives up. */
  byQueue(runnerId: string): QueueRefusal | undefined {
    const {context, request, route, startedMs} = this.options;
    if (request.model === undefined) return undefined;
    const view = {
      workAhead: context.states.workAhead(runnerId, route.priority),
      workPerSecond: context.states.workPerSecond(runnerId),
      openRequests: context.states.openRequests(runnerId),
      slots: this.slotsOf(runnerId),
      ...this.left(),
      targetLeftMs: startedMs + route.targetMs - context.clock.nowMs(),
    };
    const decision = decideSend(view);
    return decision.kind === 'refuse' ? {view, decision} : undefined;
  }

  /** Of what its copy would reach only after its caller has given up. */
  withoutCopy(): CopyRefusal | undefined {
    const {context, request} = this.options;
    if (request.model === undefined) return undefined;
    const copyInMs = context.held.copyDelayMs(request.model);
    const view = {...this.left(), copyInMs};
    const decision = decideWait(view);
    return decision.kind === 'refuse' ? {view, decision} : undefined;
  }

  private slotsOf(runnerId: string): number | undefined {
    const {view} = this.options.context;
    const service = view.runner(runnerId)?.service;
    return view.currentConfig?.services.get(service ?? '')?.engine?.slots;
  }

  private left(): {leftMs: number; deadlineLeftMs: number} {
    const {context, deadlineMs, leavesMs} = this.options;
    const nowMs = context.clock.nowMs();
    return {leftMs: leavesMs - nowMs, deadlineLeftMs: deadlineMs - nowMs};
  }
}
