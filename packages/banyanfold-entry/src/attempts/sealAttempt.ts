import type {EntryContext} from '../context.js';
import type {AgentState} from '../view/agentState.js';

/** The attempt to seal, and the incarnation it was addressed to. */
export interface SealTarget {
  agent: AgentState;
  attemptId: string;
  incarnation: number;
}

/**
 * Stops an attempt, or keeps it from starting when it is still on its way.
 *
 * @returns true when it is proved that it never started and never will.
 */
export async function sealAttempt(
  context: EntryContext,
  target: SealTarget,
): Promise<boolean> {
  const {agent, attemptId, incarnation} = target;
  try {
    const client = context.clients.clientFor(agent);
    const {state} = await client.seal.mutate({attemptId, incarnation});
    context.logger.info('attempt-sealed', {
      attempt: attemptId,
      agent: agent.vmId,
      state,
    });
    return state === 'never-started';
  } catch (error) {
    context.logger.warn('seal-failed', {
      step: 'seal',
      peer: agent.vmId,
      attempt: attemptId,
      error: error instanceof Error ? error.message : String(error),
    });
    return false;
  }
}
