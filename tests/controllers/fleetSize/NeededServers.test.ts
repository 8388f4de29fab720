/** Tests how many servers a gap in the fleet is filled up to: expensive servers replace only what the load needs. */
import t from 'tap';
import {NeededServers, type NeedView} from '../../../src/controllers/fleetSize/index.js';

const VIEW: NeedView = {
  load: {openRequests: 20, promptTokensPerSecond: 80_000, pendingPromptTokens: 4_000},
  slotsPerServer: 32,
  availableServers: 20,
  failureDomains: 4,
  latencyTargetMs: 1_000,
};
const STEP_MS = 400;

function updateUntil(need: NeededServers, endMs: number, view: NeedView, startMs = 0) {
  let result = need.update(view, startMs);
  for (let nowMs = startMs + STEP_MS; nowMs <= endMs; nowMs += STEP_MS) {
    result = need.update(view, nowMs);
  }
  return result;
}

t.test('NeededServers', t => {
  t.test('counts all servers as needed until the load has been observed', t => {
    const {servers, leastServers} = updateUntil(new NeededServers(), 4_000, VIEW);
    t.equal(servers, 15);
    t.equal(leastServers, 15);
    t.end();
  });
  t.test('needs only the servers of the present load to fill a gap', t => {
    const {servers, leastServers, loadServers} = updateUntil(new NeededServers(), 12_000, VIEW);
    t.equal(servers, 15);
    t.equal(leastServers, 6);
    t.equal(loadServers, 2);
    t.end();
  });
  t.test('needs more to fill a gap while prompts wait too long', t => {
    const need = new NeededServers();
    updateUntil(need, 12_000, VIEW);
    const waiting = {...VIEW.load, pendingPromptTokens: 120_000};
    const view = {...VIEW, availableServers: 10, load: waiting};
    const {leastServers} = updateUntil(need, 18_000, view, 12_000);
    t.equal(leastServers, 13);
    t.end();
  });
  t.end();
});
