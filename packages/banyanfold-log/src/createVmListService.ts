import {systemClock} from '@banyanfold/core';
import {
  DEFAULT_SERVICE_TIMEOUT_MS,
  type ServiceOptions,
} from './createLogService.js';
import {callJson} from './httpJson.js';
import {vmListSchema, type VmListService} from './types.js';

/**
 * Creates a client of the platform's VM list.
 *
 * @example
 * const vms = createVmListService({url: 'http://127.0.0.1:8301'});
 * const list = await vms.read();
 */
export function createVmListService(options: ServiceOptions): VmListService {
  const {clock = systemClock, timeoutMs = DEFAULT_SERVICE_TIMEOUT_MS} = options;
  const base = options.url.replace(/\/$/, '');
  const place = {step: 'read-vm-list', peer: `vm-list ${new URL(base).host}`};
  return {
    read: () =>
      callJson({
        method: 'GET',
        url: `${base}/vms`,
        schema: vmListSchema,
        place,
        clock,
        timeoutMs,
        dispatcher: options.dispatcher,
        notExecutedCode: 'vm-list-unavailable',
        outcomeUnknownCode: 'vm-list-unavailable',
      }),
  };
}
