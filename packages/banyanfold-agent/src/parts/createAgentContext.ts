import type {AgentBasis, AgentContext, Leaving} from '../agentContext.js';
import {createAdmissionParts} from './createAdmissionParts.js';
import {createControlParts} from './createControlParts.js';
import {createDataParts} from './createDataParts.js';
import {createMemoryParts} from './createMemoryParts.js';

/** Builds the parts of an agent and connects them; nothing runs yet. */
export function createAgentContext(basis: AgentBasis): AgentContext {
  const leaving = createLeaving();
  const memory = createMemoryParts(basis, leaving);
  const admission = createAdmissionParts(basis, memory);
  const lower = {...basis, ...leaving, ...memory, ...admission};
  const control = createControlParts(lower);
  const data = createDataParts({...lower, ...control});
  return {...lower, ...control, ...data};
}

function createLeaving(): Leaving {
  let leaving = false;
  return {
    isLeaving: () => leaving,
    setLeaving: () => {
      leaving = true;
    },
  };
}
