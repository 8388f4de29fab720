/** Roll-outs of good and bad versions over whole fleets, with disturbances beside them. */
import t from 'tap';
import {
  crashingServers,
  failing,
  failingLater,
  good,
  killedGateways,
  killedHolder,
  limitedServers,
  nothing,
  playRollout,
  restoredStore,
  slow,
  storeAway,
  type VersionBehaviour,
  type Disturbance,
} from '../support/RolloutPlay.js';

t.test('a bad version gets too many requests in a roll-out', async t => {
  const doTest = (
    name: string,
    gatewayCount: number,
    behaviour: VersionBehaviour,
    disturb: Disturbance,
    seeds: readonly number[] = [1],
  ) => {
    t.test(`${name}, ${gatewayCount} gateways`, async t => {
      for (const seed of seeds) {
        const result = await playRollout({gatewayCount, seed, behaviour, disturb});
        const {exposed, allowed, tooLate, targetAfterwards, verdict, finalVerdict} = result;
        const note = `seed ${seed}: ${exposed} of ${Math.floor(allowed)}, ${result.badResponses} bad`;
        t.ok(exposed <= allowed, note);
        t.equal(tooLate, 0, `seed ${seed}: requests after the bound`);
        t.equal(targetAfterwards, 0, `seed ${seed}: requests after the deadline`);
        t.equal(verdict?.phase, 'rolled-back', `seed ${seed}: verdict at the deadline`);
        t.equal(finalVerdict?.phase, 'rolled-back', `seed ${seed}: verdict afterwards`);
      }
    });
  };
  doTest('failing at once', 7, failing, nothing, [1, 2, 3]);
  doTest('failing at once', 91, failing, nothing);
  doTest('failing later', 7, failingLater, nothing, [1, 2, 3]);
  doTest('slow', 7, slow, nothing, [1, 2, 3]);
  doTest('failing beside limited servers', 7, failing, limitedServers, [1, 2, 3]);
  doTest('failing beside crashing servers', 7, failing, crashingServers, [1, 2, 3]);
  doTest('failing while the duty holder is killed', 7, failing, killedHolder, [1, 2, 3]);
  doTest('failing while the store is away', 7, failing, storeAway, [1, 2, 3]);
  doTest('failing while the store is restored from a copy', 7, failing, restoredStore, [1, 2, 3]);
  doTest('failing while gateways are killed', 7, failing, killedGateways, [1, 2, 3]);
  doTest('failing while gateways are killed', 91, failing, killedGateways);
});

t.test('a good version does not arrive by the deadline', async t => {
  const doTest = (
    name: string,
    gatewayCount: number,
    disturb: Disturbance,
    seeds: readonly number[],
  ) => {
    t.test(`${name}, ${gatewayCount} gateways`, async t => {
      for (const seed of seeds) {
        const {verdict, exposed} = await playRollout({
          gatewayCount,
          seed,
          behaviour: good,
          disturb,
          afterwardsMs: 0,
        });
        t.equal(verdict?.phase, 'done', `seed ${seed}: ${exposed} requests`);
      }
    });
  };
  doTest('undisturbed', 7, nothing, [1, 2, 3]);
  doTest('undisturbed', 91, nothing, [1]);
  doTest('beside crashing servers', 7, crashingServers, [1, 2, 3]);
  doTest('beside limited servers', 7, limitedServers, [1, 2, 3]);
});
