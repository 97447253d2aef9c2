import {publishedConfigSchema, type PublishedConfig} from '../types.js';

const GIB = 2 ** 30;

/** Two versions of a drafting model, and a desk model with an adapter. */
export function exampleConfig(): PublishedConfig {
  return publishedConfigSchema.parse({
    models: [
      {name: 'drafting', version: '1', labels: {use: 'draft'}},
      {name: 'drafting', version: '2', labels: {use: 'draft'}},
      {name: 'desk', version: '1', labels: {use: 'desk', tier: 'counter'}},
      {name: 'unused', version: '1'},
    ].map(model => ({...model, weightBytes: 14 * GIB})),
    adapters: [
      {
        name: 'suva',
        version: '3',
        model: 'desk',
        modelVersion: '1',
        labels: {use: 'desk'},
        weightBytes: GIB,
      },
    ],
    services: [{name: 'lodging', labels: {use: 'lodge'}}],
    groups: [
      {name: 'drafters', labelSelector: {matchLabels: {use: 'draft'}}},
      {
        name: 'counter',
        labelSelector: {
          matchExpressions: [
            {key: 'use', operator: 'In', values: ['desk', 'lodge']},
          ],
        },
      },
    ],
    selectors: [
      {
        name: 'urgent-drafts',
        match: {callers: ['vanua'], headers: {'X-Urgent': 'yes'}},
        group: 'drafters',
        priority: 1,
      },
      {
        name: 'counter',
        match: {desks: ['claims'], names: ['desk', 'suva', 'lodging']},
        group: 'counter',
        priority: 0,
        runnerRole: 'desk',
      },
      {name: 'drafts', match: {callers: ['vanua']}, group: 'drafters'},
    ],
  });
}
