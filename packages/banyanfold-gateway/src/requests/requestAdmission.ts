import {AdmissionChecks} from './admissionChecks.js';
import {ERROR_STATUS} from './errorResponse.js';
import type {RequestEnding} from './requestEnding.js';
import type {RequestState} from './requestState.js';
import {retryAfterPauseMs} from './retryAfter.js';
import type {PausedState, Target} from './targetChooser.js';

/** A backoff of a runner up to this length is waited for; see `endIfPaused`. */
export const RUNNER_POLL_MS = 100;

/**
 * Refuses or ends a request as soon as it is known that it can't be served.
 * Each method returns true if it has ended the request.
 */
export class RequestAdmission {
  private readonly checks: AdmissionChecks;

  constructor(
    private readonly state: RequestState,
    private readonly ending: RequestEnding,
  ) {
    const {context, decoded, route, startedMs} = state.options;
    this.checks = new AdmissionChecks({
      context,
      request: decoded.request,
      route,
      startedMs,
      deadlineMs: state.deadlineMs,
      responseStartDeadlineMs: state.responseStartDeadlineMs,
    });
  }

  /** Refuses a request that could outlast this process, which is draining. */
  refuseIfOutlastsDrain(): boolean {
    if (!this.checks.outlastsDrain) return false;
    this.ending.refuse('leaving');
    return true;
  }

  /**
   * Refuses a request whose caller doesn't wait any more. Its timers run only
   * after the first attempt is sent, which a runner would work on in vain.
   */
  refuseIfDeadlineOver(): boolean {
    if (this.state.leftMs > 0) return false;
    this.ending.respond(ERROR_STATUS.notRun, 'deadline-over');
    return true;
  }

  /**
   * Refuses a request that no runner has the memory for. Runners reject it as
   * if they were full, so it would be counted as load and demand in vain.
   */
  refuseIfTooLargeForRunners(): boolean {
    const {state, ending} = this;
    const {context, decoded} = state.options;
    const {model, promptTokens, maxOutputTokens} = decoded.request;
    if (model === undefined) return false;
    const service = context.view.currentConfig?.services.get(state.service);
    // 0 if the configuration doesn't state it.
    const {kvCapacityTokens = 0} = service?.engine ?? {};
    const tokens = promptTokens + maxOutputTokens;
    if (kvCapacityTokens === 0 || tokens <= kvCapacityTokens) return false;
    state.log.refuseForSize(tokens, kvCapacityTokens);
    ending.respond(ERROR_STATUS.notRun, 'larger-than-runners');
    return true;
  }

  /** Refuses a request that exceeds the usage cap of its organisation. */
  async refuseIfOverCap(): Promise<boolean> {
    const {state, ending} = this;
    const retryAfterMs = await state.usageCharge.charge();
    if (state.isFinished) {
      // The caller left while the charge waited.
      state.usageCharge.refund();
      return true;
    }
    if (retryAfterMs === undefined) return false;
    ending.respond(ERROR_STATUS.overCap, 'usage-cap', retryAfterMs);
    return true;
  }

  /** Refuses a request above the share of its organisation. */
  refuseIfOverShare(): boolean {
    const {state, ending} = this;
    const {context, route, organisation} = state.options;
    const {prefill, decode} = state.work.work;
    const request = {
      pool: state.pool,
      organisation: organisation?.name,
      priority: route.priority,
      work: prefill + decode,
      targetMs: route.targetMs,
      leftMs: state.leftMs,
    };
    const admission = context.fairShares.decide(request);
    if (admission?.kind === 'admit') state.admittedWork = admission.admitted;
    if (admission?.kind !== 'refuse') return false;
    state.log.refuseOverShare(request, admission);
    context.metrics.count('over_share_total', {
      organisation: organisation?.name ?? '',
    });
    const {retryAfterMs} = admission;
    ending.respond(ERROR_STATUS.notRun, 'fair-share', retryAfterMs);
    return true;
  }

  /** Ends the request if its caller's key was revoked after it arrived. */
  endIfAccessRevoked(): boolean {
    const {state, ending} = this;
    const caller = state.options.identity.decide();
    if (caller.kind === 'admitted') return false;
    if (state.relay.hasStarted) {
      ending.cut('cut');
    } else if (caller.kind === 'unauthorized') {
      ending.respond(ERROR_STATUS.unauthorized, caller.reason);
    } else if (state.mayHaveRun) {
      ending.respond(ERROR_STATUS.unknown, 'config-stale');
    } else {
      ending.refuse('config-stale');
    }
    return true;
  }

  /**
   * Ends a request that is in quarantine for crashing several runners, without
   * a time to return: nobody knows when a runner can answer it.
   */
  endQuarantined(): void {
    const {state, ending} = this;
    const {quarantine} = state.suspect;
    if (quarantine) {
      state.log.refuseQuarantined(quarantine.key, quarantine.forMs);
    }
    if (state.relay.hasStarted) {
      ending.cut('cut');
    } else if (state.mayHaveRun) {
      ending.respond(ERROR_STATUS.unknown, 'quarantined');
    } else {
      ending.respond(ERROR_STATUS.notRun, 'quarantined');
    }
  }

  /**
   * Refuses a request to a plain service whose runners are all leaving. For a
   * model, the delay of its next copy decides.
   */
  refuseIfAllLeaving(): boolean {
    const {state} = this;
    const isPlain = state.options.decoded.request.model === undefined;
    if (!isPlain || state.relay.hasStarted || state.mayHaveRun) return false;
    const counts = state.targets.candidateCounts();
    if (counts.runners === 0 || counts.staying > 0) return false;
    state.log.wait(counts);
    this.ending.refuse('no-place');
    return true;
  }

  /**
   * Ends the request if the runners that could take it are paused for longer
   * than it can wait. A request that may have run waits up to its deadline,
   * because a 503 promises that it has not run.
   */
  endIfPaused({reason, forMs}: PausedState): boolean {
    const {state, ending} = this;
    const {context} = state.options;
    if (state.relay.hasStarted || state.mayHaveRun) {
      if (forMs < state.leftMs) return false;
      ending.endWithoutAnswer();
      return true;
    }
    const isShort = reason === 'runner-backoff' && forMs <= RUNNER_POLL_MS;
    if (isShort) return false;
    const retryAfterMs = retryAfterPauseMs(forMs, context.random);
    state.log.refuseByPause(reason, state.service, retryAfterMs);
    ending.respond(ERROR_STATUS.notRun, reason, retryAfterMs);
    return true;
  }

  /** Refuses a request that would queue until its caller disconnects. */
  refuseIfQueueTooLong({runner}: Target): boolean {
    const {state, ending} = this;
    if (state.relay.hasStarted) return false;
    const refusal = this.checks.checkQueue(runner.runnerId);
    if (!refusal) return false;
    const {retryAfterMs} = refusal.decision;
    state.log.refuseByQueue(runner.runnerId, refusal);
    if (state.mayHaveRun) ending.respond(ERROR_STATUS.unknown, 'runner-failed');
    else ending.respond(ERROR_STATUS.notRun, 'queue', retryAfterMs);
    return true;
  }

  /** Ends a stream whose version serves no more, without a time to return. */
  endIfVersionGone(): boolean {
    const {state, ending} = this;
    if (!state.stream.isVersionGone) return false;
    if (state.relay.hasStarted || state.mayHaveRun) ending.endWithoutAnswer();
    else ending.respond(ERROR_STATUS.notRun, 'version-gone');
    return true;
  }

  /** Ends a stream whose version has no copy of its model, and gets none. */
  endIfNoCopyOfVersion(): boolean {
    const {state, ending} = this;
    if (!state.targets.isHeldByOtherVersionsOnly) return false;
    if (state.relay.hasStarted || state.mayHaveRun) ending.endWithoutAnswer();
    else ending.refuse('no-copy-of-version');
    return true;
  }

  /** Refuses a request whose copy would be ready only after its caller left. */
  refuseIfCopyTooLate(): boolean {
    const {state, ending} = this;
    if (state.relay.hasStarted || state.mayHaveRun) return false;
    const refusal = this.checks.checkCopyWait();
    if (!refusal) return false;
    state.log.refuseWithoutCopy(refusal);
    const {retryAfterMs} = refusal.decision;
    ending.respond(ERROR_STATUS.notRun, 'no-copy-in-time', retryAfterMs);
    return true;
  }
}
