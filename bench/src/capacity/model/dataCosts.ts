import {atSize} from './fit.js';
import {slopeNamed, type Slopes} from './slope.js';
import {TARGET} from './target.js';

const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
const TOKENS_PER_REQUEST = TARGET.tokensPerSecond / TARGET.requestsPerSecond;

/** What the path bench has written, as far as it is used here. */
export interface PathFigures {
  latency: {
    direct: {firstTokenP50Ms: number; firstTokenP99Ms: number};
    through: {firstTokenP50Ms: number; firstTokenP99Ms: number};
  };
  throughput: Array<{tokens: number; agentMsPerRequest: number}>;
  agentMicrosPerToken: number;
}

/** What the callers' own traffic costs a node; no budget is set for it. */
export interface DataCost {
  role: 'entry' | 'agent';
  item: string;
  value: number;
  unit: string;
}

/** Requests and tokens of the letter, spread evenly over the nodes. */
export function dataCosts(
  slopes: Slopes,
  path: PathFigures | undefined,
): DataCost[] {
  const requests = TARGET.requestsPerSecond / TARGET.entries;
  const tokens = TARGET.tokensPerSecond / TARGET.entries;
  const streamMs = TARGET.betweenTokensMs * TOKENS_PER_REQUEST;
  const open = (requests * streamMs) / MS_PER_SECOND;
  const stream = slopeNamed(slopes, 'stream cpu at the entry');
  const view = slopeNamed(slopes, 'request cpu at the entry');
  const perOpen = slopeNamed(slopes, 'open request').slope;
  const costs: DataCost[] = [
    {role: 'entry', item: 'requests', value: requests, unit: '/s'},
    {role: 'entry', item: 'tokens', value: tokens, unit: '/s'},
    {role: 'entry', item: 'open requests', value: open, unit: ''},
    {role: 'entry', item: 'open requests', value: open * perOpen, unit: 'B'},
    {
      role: 'entry',
      item: 'cpu of tokens',
      value: tokens * stream.slope,
      unit: 'us/s',
    },
    {
      role: 'entry',
      item: 'cpu of requests, 2,000 runners in view',
      value: requests * atSize(view, TARGET.agents),
      unit: 'us/s',
    },
  ];
  return path ? [...costs, ...agentCosts(path)] : costs;
}

function agentCosts(path: PathFigures): DataCost[] {
  const requests = TARGET.requestsPerSecond / TARGET.agents;
  const tokens = TARGET.tokensPerSecond / TARGET.agents;
  const [few] = path.throughput;
  const requestUs = few
    ? few.agentMsPerRequest * US_PER_MS - few.tokens * path.agentMicrosPerToken
    : 0;
  return [
    {role: 'agent', item: 'tokens', value: tokens, unit: '/s'},
    {
      role: 'agent',
      item: 'cpu of tokens',
      value: tokens * path.agentMicrosPerToken,
      unit: 'us/s',
    },
    {
      role: 'agent',
      item: 'cpu of requests',
      value: requests * requestUs,
      unit: 'us/s',
    },
  ];
}
