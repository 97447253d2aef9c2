import type {
  AgentDependencies,
  AgentContext,
  LeavingFlag,
} from '../agentContext.js';
import {createAdmissionParts} from './createAdmissionParts.js';
import {createControlParts} from './createControlParts.js';
import {createDataPathParts} from './createDataPathParts.js';
import {createEngineParts} from './createEngineParts.js';

/** Builds the parts of an agent and connects them; nothing runs yet. */
export function createAgentContext(
  dependencies: AgentDependencies,
): AgentContext {
  const leavingFlag = createLeavingFlag();
  const engineParts = createEngineParts(dependencies, leavingFlag);
  const admissionParts = createAdmissionParts(dependencies, engineParts);
  const lowerParts = {
    ...dependencies,
    ...leavingFlag,
    ...engineParts,
    ...admissionParts,
  };
  const controlParts = createControlParts(lowerParts);
  const dataPathParts = createDataPathParts({...lowerParts, ...controlParts});
  return {...lowerParts, ...controlParts, ...dataPathParts};
}

function createLeavingFlag(): LeavingFlag {
  let leaving = false;
  return {
    isLeaving: () => leaving,
    markLeaving: () => {
      leaving = true;
    },
  };
}
