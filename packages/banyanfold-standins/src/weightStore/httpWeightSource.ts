import {err, ok} from 'neverthrow';
import {request} from 'undici';
import {CONNECTION_CUT, type Answer} from '../common/refusal.js';
import type {LoadGrant, WeightSource} from './WeightStoreState.js';

const OK_STATUS = 200;

/**
 * A weight store over HTTP, as engines use it.
 *
 * @example httpWeightSource('http://127.0.0.1:8310')
 */
export function httpWeightSource(url: string): WeightSource {
  return {
    beginLoad: async (artifact, bytes): Promise<Answer<LoadGrant>> => {
      try {
        const answer = await request(`${url}/loads`, {
          method: 'POST',
          headers: {'content-type': 'application/json'},
          body: JSON.stringify({artifact, bytes}),
        });
        const body = await answer.body.json();
        if (answer.statusCode === OK_STATUS) return ok(body as LoadGrant);
        return err({status: answer.statusCode, code: 'load-refused'});
      } catch {
        return err({status: CONNECTION_CUT, code: 'weight-store-unreachable'});
      }
    },
    endLoad: async loadId => {
      try {
        const path = `${url}/loads/${encodeURIComponent(loadId)}`;
        const answer = await request(path, {method: 'DELETE'});
        await answer.body.dump();
      } catch {
        // The store frees the place by itself after a while.
      }
    },
  };
}
