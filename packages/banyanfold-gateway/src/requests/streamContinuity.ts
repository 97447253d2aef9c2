import type {GatewayContext} from '../context.js';
import {versionOf} from '../streams/softwareVersion.js';
import type {ResolvedContinuation} from '../streams/streamOrigins.js';
import type {
  InferenceRequest,
  RoutePolicy,
  RunnerRegistration,
} from '../types.js';
import type {TargetChooser} from './targetChooser.js';

export interface StreamContinuityOptions {
  context: GatewayContext;
  request: InferenceRequest;
  route: RoutePolicy;
  service: string;
  targets: TargetChooser;
}

/** Keeps the events of one stream to runners of one software version. */
export class StreamContinuity {
  /** The runner changed its version under its id while it wrote events. */
  isVersionUncertain = false;
  /** When the records of this stream were last sent to peers. */
  private replicatedMs: number | undefined;

  constructor(private readonly options: StreamContinuityOptions) {}

  /** The caller has events of the stream from an earlier request. */
  get isTakenUp(): boolean {
    const {request, route} = this.options;
    const hasPosition =
      request.lastEventId !== undefined ||
      request.resumedRequestId !== undefined;
    return route.kind === 'streaming' && hasPosition;
  }

  /** Decides where a stream that is taken up goes on, and binds it to that. */
  async resolve(): Promise<ResolvedContinuation> {
    const {context, request, service, targets} = this.options;
    const resolved = await context.streamOrigins.resolve(
      request.resumedRequestId,
      service,
    );
    const {continuation} = resolved;
    if (continuation.kind === 'at-version') {
      targets.requiredVersion = continuation.version;
    }
    return resolved;
  }

  /** Called before events are forwarded: from now on the version is bound. */
  noteEvents(runner: RunnerRegistration): void {
    const {context, request, service, targets} = this.options;
    const version = versionOf(runner);
    const current = context.view.runner(runner.runnerId);
    const hasChanged = current !== undefined && versionOf(current) !== version;
    if (hasChanged) this.isVersionUncertain = true;
    if (this.isVersionUncertain) return;
    targets.requiredVersion = version;
    const {requestId, resumedRequestId} = request;
    let replicatedMs = this.replicatedMs;
    for (const id of [requestId, resumedRequestId]) {
      if (id === undefined) continue;
      replicatedMs = context.streamOrigins.noteEvents(
        id,
        service,
        version,
        this.replicatedMs,
      );
    }
    this.replicatedMs = replicatedMs;
  }

  /** Whether the stream is bound to a version that will not serve again. */
  get isVersionGone(): boolean {
    const {context, service, targets} = this.options;
    const {requiredVersion} = targets;
    if (requiredVersion === undefined) return false;
    return context.streamOrigins.history.isGone(service, requiredVersion);
  }
}
