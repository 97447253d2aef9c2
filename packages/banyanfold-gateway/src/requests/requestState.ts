import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AdmittedWork} from '../callers/admittedWork.js';
import type {CallerIdentity} from '../callers/callerIdentity.js';
import type {GatewayContext} from '../context.js';
import {poolOf} from '../callers/poolOf.js';
import {adapterKey} from '../runners/heldCopies.js';
import type {PromptPermit} from '../runners/promptGate.js';
import type {StartedWork} from '../runners/runnerStates.js';
import type {Holding} from '../resources/holding.js';
import type {DecodedRequest, Organisation, RoutePolicy} from '../types.js';
import {pickService} from './pickService.js';
import {
  fingerprintOf,
  sharedPartFingerprints,
} from '../crashes/requestFingerprint.js';
import {RequestPermits} from './requestPermits.js';
import {RequestLog, type AttemptCounts} from './requestLog.js';
import {ResponseRelay} from './responseRelay.js';
import {drawOf} from './serviceDraw.js';
import {StreamContinuity} from './streamContinuity.js';
import {SuspectStatus} from './suspectStatus.js';
import {TargetChooser} from './targetChooser.js';
import {UsageCharge} from './usageCharge.js';
import {WakeablePause} from './wakeablePause.js';
import {workOf} from './workOf.js';

export interface RequestHandlerOptions {
  context: GatewayContext;
  request: IncomingMessage;
  response: ServerResponse;
  decoded: DecodedRequest;
  /** Carries the priority of the caller's organisation, if that defines one. */
  route: RoutePolicy;
  identity: CallerIdentity;
  /** The caller's organisation on arrival; undefined if it has none. */
  organisation: Organisation | undefined;
  body: Buffer;
  /** Undefined if the memory held for callers is not limited. */
  holding?: Holding;
  /** When the head of the request was read, in ms of the clock. */
  startedMs: number;
}

/** One request, and what is known of it; shared by the stages that handle it. */
export class RequestState {
  readonly deadlineMs: number;
  /**
   * The caller disconnects at this time if no event has arrived. A request that
   * no runner can take is refused by then, so that the caller retries. When
   * such requests were held until their deadline instead, 1,279 of 7,995
   * requests of an overloaded day were lost.
   */
  readonly responseStartDeadlineMs: number;
  readonly service: string;
  readonly work: StartedWork;
  readonly fingerprint: string;
  /** Its own fingerprint, and those of the prompt parts that others share. */
  readonly fingerprints: readonly string[];
  readonly relay: ResponseRelay;
  readonly targets: TargetChooser;
  readonly log: RequestLog;
  readonly suspect: SuspectStatus;
  readonly usageCharge: UsageCharge;
  readonly pause: WakeablePause;
  isFinished = false;
  /** Attempts that a runner has answered or broken off. */
  attemptsMade = 0;
  sendCount = 0;
  /** The runner that the last attempt was sent to. */
  lastRunnerId: string | undefined;
  rejections = 0;
  mayHaveRun = false;
  readonly stream: StreamContinuity;
  readonly permits: RequestPermits;
  /** Turn of the prompt that waits or is being read. */
  promptTurn: PromptPermit | undefined;
  /** Undefined without fair shares. */
  admittedWork: AdmittedWork | undefined;
  private stopWaiting: (() => void) | undefined;

  constructor(readonly options: RequestHandlerOptions) {
    const {context, route, decoded, startedMs, response} = options;
    const waitMs = Math.min(
      route.timeoutMs,
      decoded.request.deadlineMs ?? route.timeoutMs,
    );
    this.deadlineMs = startedMs + waitMs - context.options.deadlineMarginMs;
    const {callerIdleTimeoutMs = waitMs} = route;
    const startsWithinMs = Math.min(waitMs, callerIdleTimeoutMs);
    this.responseStartDeadlineMs =
      startedMs + startsWithinMs - context.options.deadlineMarginMs;
    this.pause = new WakeablePause(context.clock);
    this.service = pickService(route.services, () =>
      drawOf(route, decoded.request, context.random),
    );
    this.permits = new RequestPermits(context.clock, () =>
      context.retryBudgetOf(this.service),
    );
    this.work = startedWorkOf(options);
    this.targets = new TargetChooser({
      context,
      request: decoded.request,
      service: this.service,
    });
    this.stream = new StreamContinuity({
      context,
      request: decoded.request,
      route,
      service: this.service,
      targets: this.targets,
    });
    this.fingerprint = fingerprintOf({
      method: options.request.method ?? 'GET',
      host: options.request.headers.host ?? '',
      target: options.request.url ?? '/',
      model: modelAndAdapterOf(decoded.request),
      promptParts: decoded.request.promptParts,
      body: options.body,
    });
    const sharedParts = sharedPartFingerprints(decoded.request.promptParts);
    this.fingerprints = [this.fingerprint, ...sharedParts];
    this.suspect = new SuspectStatus(context, this.fingerprints);
    this.log = new RequestLog({
      context,
      decoded,
      fingerprint: this.fingerprint,
      sharedParts,
      route,
      startedMs,
      deadlineMs: this.deadlineMs,
    });
    this.usageCharge = new UsageCharge({
      context,
      request: decoded.request,
      organisation: options.organisation,
      log: this.log,
    });
    this.relay = new ResponseRelay({
      context,
      route,
      response,
      holding: options.holding,
      decoded,
      startedMs,
    });
  }

  /** Whether a runner works on the request or may have worked on it. */
  get mayHaveStarted(): boolean {
    return this.relay.isSent || this.relay.hasStarted || this.mayHaveRun;
  }

  /** Time until the deadline, in ms. */
  get leftMs(): number {
    return this.deadlineMs - this.options.context.clock.nowMs();
  }

  /** The pool whose capacity the request uses. */
  get pool(): string {
    return poolOf(this.service, this.options.decoded.request.model);
  }

  /** The key may have moved to another organisation since the arrival. */
  get currentOrganisation(): Organisation | undefined {
    const caller = this.options.identity.decide();
    return caller.kind === 'admitted' ? caller.organisation : undefined;
  }

  get counts(): AttemptCounts {
    const {attemptsMade, rejections, mayHaveRun} = this;
    const {sendCount, lastRunnerId} = this;
    return {attemptsMade, rejections, mayHaveRun, sendCount, lastRunnerId};
  }

  /** Counts the request as waiting for a copy until it is sent or finished. */
  markWaiting(): void {
    const {context, decoded} = this.options;
    const {model} = decoded.request;
    if (model === undefined) return;
    this.stopWaiting ??= context.demand.trackWaiting(model);
  }

  clearWaiting(): void {
    this.stopWaiting?.();
    this.stopWaiting = undefined;
  }
}

function startedWorkOf({decoded, route}: RequestHandlerOptions): StartedWork {
  const {model, adapter, promptTokens, maxOutputTokens} = decoded.request;
  return {
    priority: model === undefined ? undefined : route.priority,
    work: workOf({requests: 1, promptTokens, outputTokens: maxOutputTokens}),
    model,
    adapter:
      model !== undefined && adapter !== undefined
        ? adapterKey(model, adapter)
        : undefined,
  };
}

function modelAndAdapterOf({
  model,
  adapter,
}: DecodedRequest['request']): string | undefined {
  if (model === undefined || adapter === undefined) return model;
  return adapterKey(model, adapter);
}
