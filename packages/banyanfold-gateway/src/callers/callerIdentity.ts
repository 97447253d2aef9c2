import type {FleetView} from '../view/fleetView.js';
import {decideCaller, type CallerDecision} from './decideCaller.js';

export interface CallerIdentityOptions {
  view: FleetView;
  isPublic: boolean;
  keyDigest: string | undefined;
  /** Keys are accepted so long after the configuration was last confirmed. */
  keysTrustedMs: number | undefined;
  /** So long after its acknowledgement a configuration is in force everywhere. */
  configApplyMs: number;
}

/** Who sent a request, by the configuration in force when it is asked. */
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
