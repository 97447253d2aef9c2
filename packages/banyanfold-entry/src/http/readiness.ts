import type {EntryContext} from '../context.js';

/** Whether the load balancer should send callers to this entry. */
export function isReady(context: EntryContext): boolean {
  const {configWatch, lifecycle, view} = context;
  if (lifecycle.leaving || !configWatch.ready || !view.hasVmList) return false;
  return view.agents().some(agent => agent.report !== undefined);
}
