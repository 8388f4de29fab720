/** Routing policies under comparison: prefix-aware, least-loaded and round-robin. */
import {
  chooseBackendServer,
  getAllowedServers,
  type ChooseServer,
} from '../../../src/controllers/routing/index.js';

/** Name of a routing policy. */
export type PolicyName = 'prefix' | 'least-loaded' | 'round-robin';

/** Creates the policies with new state; the round-robin counter starts over. */
export function createPolicies(): Readonly<Record<PolicyName, ChooseServer>> {
  let turn = 0;
  return {
    prefix: chooseBackendServer,
    'least-loaded': (view, request, nowMs, random) =>
      chooseBackendServer({...view, getCachedTokens: () => 0}, request, nowMs, random),
    'round-robin': (view, request, nowMs, random) => {
      const allowed = getAllowedServers(view, request.service, nowMs);
      turn += 1;
      const servers = allowed.filter((unused, index) => index === turn % allowed.length);
      return chooseBackendServer({...view, servers}, request, nowMs, random);
    },
  };
}
