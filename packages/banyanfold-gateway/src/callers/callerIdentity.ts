import type {FleetView} from '../view/fleetView.js';
import {decideCaller, type CallerDecision} from './decideCaller.js';

export interface CallerIdentityOptions {
  view: FleetView;
  isPublic: boolean;
  keyDigest: string | undefined;
  /**
   * How long keys are accepted after the configuration was last confirmed, in
   * ms; undefined if without limit.
   */
  keysTrustedMs: number | undefined;
  /** Time from its acknowledgement until a configuration applies everywhere. */
  configApplyMs: number;
}

/** Identifies the caller of a request by the current configuration. */
export class CallerIdentity {
  constructor(private readonly options: CallerIdentityOptions) {}

  decide(): CallerDecision {
    const {view, isPublic, keyDigest, keysTrustedMs, configApplyMs} =
      this.options;
    const isTrusted =
      keysTrustedMs === undefined || view.isConfigConfirmed(keysTrustedMs);
    return decideCaller({
      directory: view.organisations,
      isPublic,
      keyDigest,
      isConfigStale: !isTrusted,
      isConfigConfirmed: view.isConfigConfirmed(configApplyMs),
    });
  }
}
