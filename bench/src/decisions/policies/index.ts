import type {Policy} from '../types.js';
import {
  decisionAdmission,
  decisionPlacement,
  decisionRouting,
  staticPlacement,
} from './decisionPolicies.js';
import {fifoAdmission} from './fifoAdmission.js';
import {PREVIOUS_OPTIONS} from './previous.js';
import {reactivePlacement} from './reactivePlacement.js';
import {
  leastConnectionsRouting,
  roundRobinRouting,
  stickyLeastLoadedRouting,
} from './simpleRouting.js';

/** Ours first, then what it is compared with. */
export const POLICIES: Policy[] = [
  {
    name: 'banyanfold',
    createRouting: random => decisionRouting(random),
    admission: decisionAdmission(),
    createPlacement: limits => decisionPlacement(limits),
  },
  {
    name: 'previous',
    createRouting: random => decisionRouting(random, PREVIOUS_OPTIONS),
    admission: decisionAdmission(PREVIOUS_OPTIONS),
    createPlacement: limits => decisionPlacement(limits, PREVIOUS_OPTIONS),
  },
  {
    name: 'round-robin',
    createRouting: roundRobinRouting,
    admission: fifoAdmission,
    createPlacement: reactivePlacement,
  },
  {
    name: 'least-connections',
    createRouting: leastConnectionsRouting,
    admission: fifoAdmission,
    createPlacement: reactivePlacement,
  },
  {
    name: 'sticky-least-loaded',
    createRouting: stickyLeastLoadedRouting,
    admission: fifoAdmission,
    createPlacement: reactivePlacement,
  },
  {
    name: 'static',
    createRouting: random => decisionRouting(random),
    admission: decisionAdmission(),
    createPlacement: () => staticPlacement,
  },
];
