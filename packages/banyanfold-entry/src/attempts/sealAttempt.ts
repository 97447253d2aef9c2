import type {EntryContext} from '../context.js';
import type {AgentState} from '../view/agentState.js';

/** The attempt to seal, and the agent incarnation it was sent to. */
export interface SealTarget {
  agent: AgentState;
  attemptId: string;
  incarnation: number;
}

/**
 * Stops an attempt, or prevents it from starting if it has not arrived yet.
 *
 * @returns true if the agent confirms that the attempt never started and never
 *     will; false if it may have started or the agent can't be reached.
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
