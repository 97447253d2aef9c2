import type {
  AgentDependencies,
  AgentContext,
  LeavingFlag,
} from '../agentContext.js';
import {createAdmissionParts} from './createAdmissionParts.js';
import {createControlParts} from './createControlParts.js';
import {createDataPathParts} from './createDataPathParts.js';
import {createEngineParts} from './createEngineParts.js';

/** Creates the parts of an agent and connects them without starting any. */
export function createAgentContext(
  dependencies: AgentDependencies,
): AgentContext {
  const leavingFlag = createLeavingFlag();
  const engineParts = createEngineParts(dependencies, leavingFlag);
  const admissionParts = createAdmissionParts(dependencies, engineParts);
  const coreParts = {
    ...dependencies,
    ...leavingFlag,
    ...engineParts,
    ...admissionParts,
  };
  const controlParts = createControlParts(coreParts);
  const dataPathParts = createDataPathParts({...coreParts, ...controlParts});
  return {...coreParts, ...controlParts, ...dataPathParts};
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
